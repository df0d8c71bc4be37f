"""The store of the deployment in memory."""

from laburnumlatch.core import storemsg
from laburnumlatch.mesh import messages

ANSWER_MS = 4
# A watch looks for something new this often.
WATCH_MS = 40


class Store:
    """Rows with versions; calls of cut hosts have no answer.

    The next `rejects` writes of a key are turned down by saying so. `calls`
    counts those about rows, `configuration_reads` those of the configuration.
    """

    def __init__(self):
        """Start without rows."""
        self.rows = {}
        self.version = 0
        self.refused_hosts = set()
        self.is_down = False
        self.writes_to_reject = {}
        self.writes = 0
        self.calls = 0
        self.configuration_reads = 0

    def answer(self, host_id, message):
        """Return the answer to a call, or None while a watch waits."""
        if self.is_down or host_id in self.refused_hosts:
            return storemsg.StoreFailed(message.ticket, 'refused')
        if isinstance(message, storemsg.StorePut):
            if self._is_rejected(message.key):
                return storemsg.StoreFailed(
                    message.ticket, 'status 503', is_rejected=True
                )
            return self._put(message)
        after = getattr(message, 'after', 0)
        rows = self.newer(message.table, after)
        if isinstance(message, storemsg.StoreWatch) and not rows:
            return None
        return storemsg.StoreChanges(message.ticket, rows, self.version)

    def newer(self, table, after):
        """Return rows of a table above a version, oldest first."""
        found = [
            row
            for row in self.rows.values()
            if row.key.startswith(table) and row.version > after
        ]
        return tuple(sorted(found, key=lambda row: row.version))

    def _is_rejected(self, key):
        left = self.writes_to_reject.get(key, 0)
        self.writes_to_reject[key] = max(0, left - 1)
        return left > 0

    def _put(self, message):
        wanted = [(message.key, message.expected_version), *message.guards]
        for key, version in wanted:
            known = self.rows.get(key)
            known_version = known.version if known else 0
            if version != known_version:
                return storemsg.StoreRefused(message.ticket)
        self.writes += 1
        self.version += 1
        self.rows[message.key] = storemsg.StoreRow(
            message.key, self.version, message.body
        )
        return storemsg.StoreWritten(message.ticket, self.version)


class Link:
    """Carries calls of all agents to the store, and answers back."""

    def __init__(self, fleet):
        """Serve the agents of a `fleetsim.Fleet`."""
        self._fleet = fleet

    def carry_out(self, host_id, outbox):
        """Carry out what the agent of a host asks of the store."""
        for kind in (
            storemsg.StoreRead,
            storemsg.StoreWatch,
            storemsg.StorePut,
        ):
            for message in outbox.take(kind):
                self._fleet.store.calls += 1
                self._later(ANSWER_MS, self._ask, host_id, message)
        for read in outbox.take(messages.ReadConfiguration):
            self._later(ANSWER_MS, self._read_configuration, host_id, read)
        for watch in outbox.take(messages.WatchConfiguration):
            self._later(ANSWER_MS, self._watch_configuration, host_id, watch)

    def _later(self, delay_ms, act, host_id, message):
        self._fleet.schedule(delay_ms, act, host_id, message)

    def _ask(self, host_id, message):
        answer = self._fleet.store.answer(host_id, message)
        if answer is None:
            # A watch: asked again until there is something new.
            self._later(ANSWER_MS, self._ask, host_id, message)
        else:
            self._fleet.post(host_id, answer)

    def _read_configuration(self, host_id, asked):
        newest = self._fleet.configuration
        store = self._fleet.store
        store.configuration_reads += 1
        answer = messages.ConfigurationRead(
            asked.ticket, (newest,), newest.version
        )
        if host_id in store.refused_hosts or store.is_down:
            answer = storemsg.StoreFailed(asked.ticket, 'refused')
        self._fleet.post(host_id, answer)

    def _watch_configuration(self, host_id, watch):
        is_newer = self._fleet.configuration.version > watch.after
        if is_newer or self._fleet.store.is_down:
            self._read_configuration(host_id, watch)
        else:
            self._later(WATCH_MS, self._watch_configuration, host_id, watch)
