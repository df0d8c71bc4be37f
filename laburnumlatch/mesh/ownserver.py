"""System: tracks the backend server beside this agent by its announcements.

A backend server announces itself repeatedly while it runs, and announces when
it is leaving. It then drains: it still gets requests for a short time.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import departurerows
from laburnumlatch.mesh import departures
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import rows
from laburnumlatch.mesh.pacing import coldness

# The agent stops sending this long before the drain time ends, so that requests
# in transit to a leaving backend server reach it in time.
DRAIN_MARGIN_MS = 400
# A backend server that has not announced itself for this time, several times
# the usual interval, may have ended without notice.
SILENT_MS = 4000
# Number of leaving backend servers of which only the identities are known.
MAX_NAMED_DEPARTURES = 20

_log = logs.logger('members')


def run(agent, now):
    """Process the messages of the backend server in the order of sending."""
    messages = agent.inbox.take(
        backendmsg.BackendAnnounced, backendmsg.BackendLeft
    )
    for message in messages:
        if isinstance(message, backendmsg.BackendLeft):
            _process_departure(agent, message, now)
        else:
            _process_announcement(agent, message, now)
    closing_at = None if agent.backend is None else agent.backend.closing_at
    if closing_at is not None and now < closing_at:
        agent.wake_at(closing_at)


def resume_draining(agent, record, now):
    """Keep draining a server if an earlier process on this host began to.

    `record` is this host's row of the store, a `rows.HostRecord`. The drain
    time began before that process ended, so the server gets no more work.
    """
    if record.state == rows.HostState.DRAINING and record.life is not None:
        departures.record(agent, record.life, now)
        departures.close_if_departed(agent)


def _process_departure(agent, departure, now):
    """Drain the leaving server, and record its departure.

    The record is also for announcements of it that come later.
    """
    closing_at = now + _drain_ms(agent)
    life = _departing_life(agent, departure)
    if life is None:
        _record_name(agent, departure, closing_at)
        _answer(agent, departure, is_accepted=True)
        return
    departures.record(agent, life, closing_at)
    departures.close_if_departed(agent)
    departures.answer_when_saved(agent, departure.call_number, now)


def _departing_life(agent, departure):
    """Return the run that leaves; None if the server did not say which."""
    if departure.born is not None:
        return ranges.Life(departure.server_id, departure.born)
    backend = agent.backend
    if backend is None or backend.life.server_id != departure.server_id:
        return None
    return backend.life


def _record_name(agent, departure, closing_at):
    agent.named_departures.put(
        departure.server_id,
        departurerows.NamedDeparture(departure.announced_at, closing_at),
    )
    while len(agent.named_departures) > MAX_NAMED_DEPARTURES:
        agent.named_departures.pop(agent.named_departures.keys()[0])


def _answer(agent, message, *, is_accepted):
    agent.outbox.post(
        backendmsg.AnnouncementAnswered(message.call_number, is_accepted)
    )


def _process_announcement(agent, announcement, now):
    """Update the row of the backend server, and answer the call.

    If the server is leaving, that is answered like a departure.
    """
    is_accepted = _accept(agent, announcement, now)
    outcome = 'accepted' if is_accepted else 'refused'
    counting.count(agent, 'announcements', outcome=outcome)
    if is_accepted and announcement.is_draining:
        closing_at = now + _drain_ms(agent)
        departures.record(agent, announcement.life, closing_at)
        departures.close_if_departed(agent)
        departures.answer_when_saved(agent, announcement.call_number, now)
    else:
        _answer(agent, announcement, is_accepted=is_accepted)


def _accept(agent, announcement, now):
    """Update the row of the backend server; return whether to accept the call.

    An announcement from another agent's backend server is refused.
    """
    settings = agent.settings
    is_local = (
        announcement.service == settings.service
        and announcement.address == settings.backend_address
    )
    if not is_local:
        _log.warning(
            'announcement-refused',
            server=announcement.life.server_id,
            service=announcement.service,
            address=announcement.address,
        )
        return False
    backend = agent.backend
    if _is_outdated(agent, announcement, now):
        return True
    if backend is None or backend.life != announcement.life:
        _start_life(agent, announcement, now)
        return True
    if announcement.sequence <= backend.sequence:
        return True
    backend.sequence = announcement.sequence
    backend.slots = announcement.slots
    backend.last_announced = now
    coldness.update(agent, announcement.cold_ms, now)
    return True


def _is_outdated(agent, announcement, now):
    """Return whether an announcement is a late one of an earlier life.

    The time of day may have jumped back between two lives. So a life with an
    earlier start replaces one that has stopped announcing itself, unless it
    has left. After a restart of the agent the life in its row counts.
    """
    life = announcement.life
    backend = agent.backend
    if backend is not None:
        is_earlier = life.born < backend.life.born
        has_left = life in agent.departures
        is_silent = now >= backend.last_announced + SILENT_MS
        return is_earlier and (has_left or not is_silent)
    own_row = agent.hosts.get(agent.host_id)
    known_life = None if own_row is None else own_row.record.life
    if known_life is None or now >= agent.started + SILENT_MS:
        return False
    return life.born < known_life.born


def _start_life(agent, announcement, now):
    """Replace the backend server by the announced run of it."""
    running = 0 if agent.backend is None else agent.backend.running
    agent.backend = rows.Backend(
        life=announcement.life,
        address=announcement.address,
        slots=announcement.slots,
        sequence=announcement.sequence,
        joined_at=now,
        running=running,
        last_announced=now,
        tokens_at=now,
    )
    _log.info(
        'backend-announced',
        server=announcement.life.server_id,
        born=announcement.life.born,
    )
    coldness.update(agent, announcement.cold_ms, now)
    named = agent.named_departures.get(announcement.life.server_id)
    if named is not None and announcement.life.born <= named.announced_at:
        # This life left before its first announcement arrived here.
        departures.record(agent, announcement.life, named.closing_at)
    departures.close_if_departed(agent)
    own_row = agent.hosts.get(agent.host_id)
    if own_row is not None:
        resume_draining(agent, own_row.record, now)


def _drain_ms(agent):
    return agent.settings.bounds.drain_ms - DRAIN_MARGIN_MS
