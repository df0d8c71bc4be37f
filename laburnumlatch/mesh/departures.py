"""System: keeps which runs of the backend server beside this agent have left.

A run that has left gets no request again, however late an earlier announcement
of it comes, and whichever process serves this host then. So its departure is
kept in a row of the store, and acknowledged once it is there.
"""

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.core import wire
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import departurerows
from laburnumlatch.mesh import ranges

TICKET = 'departures/'
READ_TICKET = 'departures/read'
WRITE_TICKET = 'departures/write'
ROW_PREFIX = 'departures/'
# A store call without a response is retried after this time.
CALL_TIMEOUT_MS = 2000
# A departure is acknowledged after this time even if the store does not
# respond: the server waits for that, and drains in any case.
MAX_ANSWER_MS = 600
# Announcements come seconds late at most, so these many runs are enough.
MAX_DEPARTURES = 20

_log = logs.logger('members')


@attrs.define(frozen=True)
class DepartedLives:
    """The row of a host: runs of its backend servers that have left."""

    lives: tuple[ranges.Life, ...]


def run(agent, now):
    """Read the row at the start, write what is new, and answer departures."""
    _process_store_responses(agent, now)
    log = agent.departure_log
    if log.version is None:
        _read(agent, now)
    elif not _saved(agent) and agent.due(WRITE_TICKET, CALL_TIMEOUT_MS, now):
        _write(agent)
    _answer_calls(agent, now)


def read_again(agent):
    """Read the row, as the store may have lost what was written there."""
    agent.departure_log.version = None
    agent.timers.pop(READ_TICKET)


def record(agent, life, closing_at):
    """Keep that a run has left; no request reaches it from `closing_at` on.

    The first time counts, if it announces that more than once.
    """
    if life in agent.departures:
        return
    agent.departures.put(life, departurerows.Departure(life, closing_at))
    while len(agent.departures) > MAX_DEPARTURES:
        agent.departures.pop(agent.departures.keys()[0])
    agent.timers.pop(WRITE_TICKET)


def close_if_departed(agent):
    """Send no more requests to the backend server if its run has left."""
    backend = agent.backend
    if backend is None or backend.closing_at is not None:
        return
    departure = agent.departures.get(backend.life)
    if departure is not None:
        backend.closing_at = departure.closing_at
        _log.info('backend-leaving', server=backend.life.server_id)


def answer_when_saved(agent, call_number, now):
    """Acknowledge a departure once it is kept in the store."""
    agent.departure_calls.put(call_number, now + MAX_ANSWER_MS)


def _row_key(agent):
    return f'{ROW_PREFIX}{agent.host_id}'


def _saved(agent):
    """Return whether the row holds all departures."""
    return set(agent.departures.keys()) <= agent.departure_log.saved_lives


def _read(agent, now):
    if agent.due(READ_TICKET, CALL_TIMEOUT_MS, now):
        agent.outbox.post(storemsg.StoreRead(READ_TICKET, _row_key(agent)))


def _write(agent):
    log = agent.departure_log
    log.lives_in_write = agent.departures.keys()
    agent.outbox.post(
        storemsg.StorePut(
            WRITE_TICKET,
            _row_key(agent),
            wire.pack(DepartedLives(log.lives_in_write)),
            log.version,
        )
    )


def _process_store_responses(agent, now):
    log = agent.departure_log
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        _process_read(agent, read, now)
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        if versions.epoch_of(written.version) < agent.current_epoch:
            # The store was restored since, and may have lost it.
            log.version = None
            continue
        log.version = written.version
        log.saved_lives = frozenset(log.lives_in_write)
        agent.timers.pop(WRITE_TICKET)
    if agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        # An earlier process on this host wrote it late.
        log.version = None
        agent.timers.pop(READ_TICKET)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        retry_at = now + log.retry.record_failure(agent.rng)
        agent.timers.put(failed.ticket, retry_at)
        agent.wake_at(retry_at)
        if failed.ticket == WRITE_TICKET and not failed.is_rejected:
            # The row may have been written and then has another version.
            log.version = None


def _process_read(agent, read, now):
    """Take over the departures that earlier processes have kept."""
    log = agent.departure_log
    log.retry.record_success()
    log.version = 0
    log.is_known = True
    log.saved_lives = frozenset()
    for row in read.rows:
        if row.key != _row_key(agent):
            continue
        log.version = row.version
        try:
            departed = wire.unpack(row.body, DepartedLives)
        except errors.WireError as error:
            _log.error('row-ignored', row=row.key, detail=error)
            continue
        log.saved_lives = frozenset(departed.lives)
        for life in departed.lives:
            record(agent, life, now)
    close_if_departed(agent)


def _answer_calls(agent, now):
    """Answer the calls of servers that leave, once that is saved, or late."""
    is_saved = agent.departure_log.is_known and _saved(agent)
    for call_number, due in agent.departure_calls.items():
        if is_saved or now >= due:
            agent.departure_calls.pop(call_number)
            agent.outbox.post(
                backendmsg.AnnouncementAnswered(call_number, is_accepted=True)
            )
        else:
            agent.wake_at(due)
