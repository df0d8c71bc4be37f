"""System: the backend server beside this agent, by what it says of itself."""

from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import rows

# Work that is under way to a leaving backend server must reach it in time.
DRAIN_MARGIN_MS = 400
# Identities of servers that have said that they leave.
MAX_DEPARTURES = 20

_log = logs.logger('members')


def run(agent, now):
    """Take what the server says, in the order in which it spoke."""
    spoken = agent.inbox.take(
        backendmsg.BackendAnnounced, backendmsg.BackendLeft
    )
    for told in spoken:
        if isinstance(told, backendmsg.BackendLeft):
            is_accepted = _left(agent, told, now)
        else:
            is_accepted = _announced(agent, told, now)
            outcome = 'accepted' if is_accepted else 'refused'
            counting.count(agent, 'announcements', outcome=outcome)
        agent.outbox.post(
            backendmsg.AnnouncementAnswered(told.ask, is_accepted),
        )
    closing_at = None if agent.backend is None else agent.backend.closing_at
    if closing_at is not None and now < closing_at:
        agent.wake_at(closing_at)


def recall_leaving(agent, record, now):
    """Go on with a leaving that an earlier process on this host confirmed.

    `record` is the own row of the store, a `rows.HostRecord`. The drain time
    has begun before that process ended, so the server gets no more work.
    """
    backend = agent.backend
    if backend is None or backend.closing_at is not None:
        return
    is_leaving = record.state == rows.HostState.DRAINING
    if is_leaving and record.life == backend.life:
        _close_at(backend, now)


def _left(agent, left, now):
    """Close the server that leaves, also if it is not known yet."""
    backend = agent.backend
    closing_at = now + _drain_ms(agent)
    if backend is not None and backend.life.server_id == left.server_id:
        _begin_closing(agent, now)
        closing_at = backend.closing_at
    agent.departures.put(
        left.server_id, rows.Departure(left.said_at, closing_at)
    )
    while len(agent.departures) > MAX_DEPARTURES:
        agent.departures.pop(agent.departures.keys()[0])
    return True


def _announced(agent, told, now):
    own = agent.settings
    is_own = told.service == own.service and told.address == own.backend_address
    if not is_own:
        _log.warning(
            'announcement-refused',
            server=told.life.server_id,
            service=told.service,
            address=told.address,
        )
        return False
    backend = agent.backend
    if backend is not None and told.life.born < backend.life.born:
        return True
    if backend is None or backend.life != told.life:
        _begin_life(agent, told, now)
        return True
    if told.sequence <= backend.sequence:
        return True
    backend.sequence = told.sequence
    backend.slots = told.slots
    backend.last_announced = now
    if told.is_draining:
        _begin_closing(agent, now)
    return True


def _begin_life(agent, told, now):
    running = 0 if agent.backend is None else agent.backend.running
    agent.backend = rows.Backend(
        life=told.life,
        address=told.address,
        slots=told.slots,
        sequence=told.sequence,
        joined_at=now,
        running=running,
        last_announced=now,
    )
    _log.info(
        'backend-announced', server=told.life.server_id, born=told.life.born
    )
    departure = agent.departures.get(told.life.server_id)
    if departure is not None and told.life.born <= departure.announced_at:
        # Confirmed before this life had announced itself here.
        _close_at(agent.backend, departure.closing_at)
    elif told.is_draining:
        _begin_closing(agent, now)
    own_row = agent.hosts.get(agent.host_id)
    if own_row is not None:
        recall_leaving(agent, own_row.record, now)


def _begin_closing(agent, now):
    if agent.backend.closing_at is None:
        _close_at(agent.backend, now + _drain_ms(agent))


def _close_at(backend, closing_at):
    backend.closing_at = closing_at
    _log.info('backend-leaving', server=backend.life.server_id)


def _drain_ms(agent):
    return agent.settings.bounds.drain_ms - DRAIN_MARGIN_MS
