"""Simulated store, and the transport of the agents' calls to it."""

from collections import abc

import attrs

from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.mesh import configmsg

CALL_DURATION_MS = 4
# A client gives a call up this long after the store was to answer it.
CALL_TIMEOUT_MS = 1500
# Interval at which a watch of the configuration checks for a new version.
WATCH_POLL_MS = 40


def rows_in_epoch(rows, epoch):
    """Return the rows, a dict by key, as a restored store has them."""
    return {
        key: attrs.evolve(
            row, version=versions.carried_over(row.version, epoch)
        )
        for key, row in rows.items()
    }


class Store:
    """Rows with versions.

    `evacuated` are the failure domains that the operator has evacuated,
    `ended_evacuations` those for which that was withdrawn, and
    `evacuation_changes` counts the changes of both.

    All calls of `refused_hosts` fail, and those of all hosts while `is_down`.
    Responses to `silent_hosts` are lost.
    `writes_to_reject` maps a key to the number of its next writes that get
    status 503. `calls` counts calls about rows, `writes` the writes among
    them that succeeded, and `configuration_reads` reads of the configuration.
    `copy` and `restore` lose all writes in between and give their numbers out
    again, in the next `epoch`. As with a real store, a write whose versions
    are equal by chance takes effect, and its caller learns no outcome.
    """

    def __init__(self):
        """Create a store without rows."""
        self.rows = {}
        self.epoch = 0
        self._number = 0
        self.refused_hosts = set()
        self.silent_hosts = set()
        self.is_down = False
        self.writes_to_reject = {}
        self.writes = 0
        self.calls = 0
        self.configuration_reads = 0
        self.evacuated = set()
        self.ended_evacuations = set()
        self.evacuation_changes = 0

    @property
    def version(self):
        """The newest version."""
        return versions.join(self.epoch, self._number)

    def answer(self, host_id, message):
        """Return the response to a call, or None if a watch has nothing new."""
        if self.is_down or host_id in self.refused_hosts:
            return storemsg.StoreFailed(message.ticket, 'refused')
        if isinstance(message, storemsg.StorePut):
            if self._is_rejected(message.key):
                return storemsg.StoreFailed(
                    message.ticket, 'status 503', is_rejected=True
                )
            return self._put(message)
        after = getattr(message, 'after', self.version)
        if versions.epoch_of(after) != self.epoch:
            return storemsg.StoreFailed(message.ticket, 'history gone')
        rows = self.newer(message.table, getattr(message, 'after', 0))
        if isinstance(message, storemsg.StoreWatch) and not rows:
            return None
        return storemsg.StoreChanges(message.ticket, rows, self.version)

    def evacuate(self, *domains):
        """Write the operator's requests to evacuate failure domains."""
        self.evacuation_changes += 1
        self.evacuated.update(domains)
        self.ended_evacuations.difference_update(domains)

    def end_evacuation(self, domain):
        """Remove the operator's request to evacuate a failure domain."""
        self.evacuation_changes += 1
        self.evacuated.discard(domain)
        self.ended_evacuations.add(domain)

    def configuration_read(self, request, configuration):
        """Return the `configmsg.ConfigurationRead` for a read or a watch."""
        is_complete = isinstance(request, configmsg.ReadConfiguration)
        version = self.configuration_version(configuration)
        return configmsg.ConfigurationRead(
            request.ticket,
            (configuration,),
            version,
            evacuated=tuple(sorted(self.evacuated)),
            ended_evacuations=tuple(sorted(self.ended_evacuations)),
            is_complete=is_complete,
            changed_in=version,
            is_prompt=not is_complete and request.wait_ms > 0,
        )

    def configuration_version(self, configuration):
        """Return the version of the table with the configuration's row."""
        number = configuration.version + self.evacuation_changes
        return versions.join(self.epoch, number)

    def copy(self):
        """Return a copy of all rows, for `restore`."""
        return self._number, dict(self.rows), set(self.evacuated)

    def restore(self, copy):
        """Go back to a copy from `copy`; all later writes are lost."""
        number, rows, evacuated = copy
        self._number = number
        self.evacuated = set(evacuated)
        self.epoch += 1
        self.rows = rows_in_epoch(rows, self.epoch)

    def newer(self, table, after):
        """Return rows of a table newer than version `after`, oldest first."""
        newer_rows = [
            row
            for row in self.rows.values()
            if row.key.startswith(table) and row.version > after
        ]
        return tuple(sorted(newer_rows, key=lambda row: row.version))

    def _is_rejected(self, key):
        remaining = self.writes_to_reject.get(key, 0)
        self.writes_to_reject[key] = max(0, remaining - 1)
        return remaining > 0

    def _has_number(self, key, number):
        row = self.rows.get(key)
        if row is None:
            return not number
        return number == versions.number_of(row.version)

    def _put(self, message):
        expected_versions = [
            (message.key, message.expected_version),
            *message.guards,
        ]
        if not all(
            self._has_number(key, versions.number_of(version))
            for key, version in expected_versions
        ):
            return storemsg.StoreRefused(message.ticket)
        self.writes += 1
        self._number += 1
        self.rows[message.key] = storemsg.StoreRow(
            message.key, self.version, message.body
        )
        if any(
            version and versions.epoch_of(version) != self.epoch
            for _key, version in expected_versions
        ):
            return storemsg.StoreFailed(message.ticket, 'restored')
        return storemsg.StoreWritten(message.ticket, self.version)


class StoreTransport:
    """Delivers the agents' calls to the store, and its responses.

    Responses to `Store.silent_hosts` are lost: their calls take effect, and
    fail once the client gives them up.
    """

    def __init__(self, fleet):
        """Create the transport for the agents of a `fleetsim.Fleet`."""
        self._fleet = fleet

    def process_outbox(self, host_id, outbox):
        """Schedule the store and configuration calls in an agent's outbox."""
        for kind in (
            storemsg.StoreRead,
            storemsg.StoreWatch,
            storemsg.StorePut,
        ):
            for message in outbox.take(kind):
                self._fleet.store.calls += 1
                self._start(host_id, message, self._answer)
        for read in outbox.take(configmsg.ReadConfiguration):
            self._start(host_id, read, self._answer_read)
        for watch in outbox.take(configmsg.WatchConfiguration):
            self._start(host_id, watch, self._answer_watch)

    def _start(self, host_id, message, answer):
        """Start a call; `answer` returns its response, None to ask again."""
        wait_ms = getattr(message, 'wait_ms', 0)
        call = _Call(
            host_id,
            self._fleet.agents.get(host_id),
            message,
            answer,
            self._fleet.now + wait_ms,
            self._fleet.now + wait_ms + CALL_TIMEOUT_MS,
        )
        self._fleet.schedule(CALL_DURATION_MS, self._try, call)

    def _try(self, call):
        """Post the response to a call, or try again while a watch waits."""
        response = call.answer(call)
        if response is None:
            self._fleet.schedule(call.poll_ms, self._try, call)
        elif call.host_id in self._fleet.store.silent_hosts:
            lost = storemsg.StoreFailed(call.message.ticket, 'no response')
            self._fleet.schedule(
                call.gives_up_at - self._fleet.now, self._post, call, lost
            )
        else:
            self._post(call, response)

    def _post(self, call, response):
        """Deliver a response, unless the process that made the call ended."""
        if self._fleet.agents.get(call.host_id) is call.agent:
            self._fleet.post(call.host_id, response)

    def _answer(self, call):
        store = self._fleet.store
        response = store.answer(call.host_id, call.message)
        if response is None and self._fleet.now >= call.answers_by:
            return storemsg.StoreChanges(call.message.ticket, (), store.version)
        return response

    def _answer_read(self, call):
        store = self._fleet.store
        store.configuration_reads += 1
        if self._is_refused(call):
            return storemsg.StoreFailed(call.message.ticket, 'refused')
        return store.configuration_read(call.message, self._fleet.configuration)

    def _answer_watch(self, call):
        store = self._fleet.store
        watch = call.message
        if self._is_refused(call):
            return storemsg.StoreFailed(watch.ticket, 'refused')
        if versions.epoch_of(watch.after) != store.epoch:
            return storemsg.StoreFailed(watch.ticket, 'history gone')
        version = store.configuration_version(self._fleet.configuration)
        if version > watch.after:
            return store.configuration_read(watch, self._fleet.configuration)
        if self._fleet.now >= call.answers_by:
            return configmsg.ConfigurationRead(watch.ticket, (), version)
        return None

    def _is_refused(self, call):
        store = self._fleet.store
        return store.is_down or call.host_id in store.refused_hosts


@attrs.define(frozen=True)
class _Call:
    """A call of the process `agent` of a host to the store.

    `answer` is called with it. The store answers at `answers_by` even if a
    watch has nothing new, and the client gives the call up at `gives_up_at`.
    """

    host_id: str
    agent: object
    message: object
    answer: abc.Callable
    answers_by: int
    gives_up_at: int

    @property
    def poll_ms(self):
        """How long a watch without news waits before it looks again."""
        is_configuration = isinstance(
            self.message, configmsg.WatchConfiguration
        )
        return WATCH_POLL_MS if is_configuration else CALL_DURATION_MS
