"""System: tracks the backend server beside this agent by its announcements.

A backend server announces itself repeatedly while it runs, and announces when
it is leaving. It then drains: it still gets requests for a short time.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import rows

# The agent stops sending this long before the drain time ends, so that requests
# in transit to a leaving backend server reach it in time.
DRAIN_MARGIN_MS = 400
# A backend server that has not announced itself for this time, several times
# the usual interval, may have ended without notice.
SILENT_MS = 4000
# Number of leaving backend servers whose identities are kept.
MAX_DEPARTURES = 20

_log = logs.logger('members')


def run(agent, now):
    """Process the messages of the backend server in the order of sending."""
    messages = agent.inbox.take(
        backendmsg.BackendAnnounced, backendmsg.BackendLeft
    )
    for message in messages:
        if isinstance(message, backendmsg.BackendLeft):
            is_accepted = _process_departure(agent, message, now)
        else:
            is_accepted = _process_announcement(agent, message, now)
            outcome = 'accepted' if is_accepted else 'refused'
            counting.count(agent, 'announcements', outcome=outcome)
        agent.outbox.post(
            backendmsg.AnnouncementAnswered(message.call_number, is_accepted),
        )
    closing_at = None if agent.backend is None else agent.backend.closing_at
    if closing_at is not None and now < closing_at:
        agent.wake_at(closing_at)


def resume_draining(agent, record, now):
    """Keep draining a server if an earlier process on this host began to.

    `record` is this host's row of the store, a `rows.HostRecord`. The drain
    time began before that process ended, so the server gets no more work.
    """
    backend = agent.backend
    if backend is None or backend.closing_at is not None:
        return
    is_leaving = record.state == rows.HostState.DRAINING
    if is_leaving and record.life == backend.life:
        _close_at(backend, now)


def _process_departure(agent, departure, now):
    """Drain the leaving server, and record its departure.

    The record is for a server whose first announcement has not arrived yet.
    """
    backend = agent.backend
    closing_at = now + _drain_ms(agent)
    if backend is not None and backend.life.server_id == departure.server_id:
        _start_draining(agent, now)
        closing_at = backend.closing_at
    agent.departures.put(
        departure.server_id,
        rows.Departure(departure.announced_at, closing_at),
    )
    while len(agent.departures) > MAX_DEPARTURES:
        agent.departures.pop(agent.departures.keys()[0])
    return True


def _process_announcement(agent, announcement, now):
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
    if backend is not None and _is_outdated(backend, announcement, now):
        return True
    if backend is None or backend.life != announcement.life:
        _start_life(agent, announcement, now)
        return True
    if announcement.sequence <= backend.sequence:
        return True
    backend.sequence = announcement.sequence
    backend.slots = announcement.slots
    backend.last_announced = now
    if announcement.is_draining:
        _start_draining(agent, now)
    return True


def _is_outdated(backend, announcement, now):
    """Return whether an announcement is a late one of an earlier life.

    The time of day may have jumped back between two lives. So a life with an
    earlier start replaces one that has stopped announcing itself.
    """
    is_earlier = announcement.life.born < backend.life.born
    return is_earlier and now < backend.last_announced + SILENT_MS


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
    )
    _log.info(
        'backend-announced',
        server=announcement.life.server_id,
        born=announcement.life.born,
    )
    departure = agent.departures.get(announcement.life.server_id)
    if (
        departure is not None
        and announcement.life.born <= departure.announced_at
    ):
        # This life left before its first announcement arrived here.
        _close_at(agent.backend, departure.closing_at)
    elif announcement.is_draining:
        _start_draining(agent, now)
    own_row = agent.hosts.get(agent.host_id)
    if own_row is not None:
        resume_draining(agent, own_row.record, now)


def _start_draining(agent, now):
    if agent.backend.closing_at is None:
        _close_at(agent.backend, now + _drain_ms(agent))


def _close_at(backend, closing_at):
    backend.closing_at = closing_at
    _log.info('backend-leaving', server=backend.life.server_id)


def _drain_ms(agent):
    return agent.settings.bounds.drain_ms - DRAIN_MARGIN_MS
