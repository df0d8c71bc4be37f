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


def run(world, now):
    """Take what the server says, in the order in which it spoke."""
    spoken = world.inbox.take(
        backendmsg.BackendAnnounced, backendmsg.BackendLeft
    )
    for told in spoken:
        if isinstance(told, backendmsg.BackendLeft):
            is_accepted = _left(world, told, now)
        else:
            is_accepted = _announced(world, told, now)
            outcome = 'accepted' if is_accepted else 'refused'
            counting.count(world, 'announcements', outcome=outcome)
        world.outbox.post(
            backendmsg.AnnouncementAnswered(told.ask, is_accepted),
        )
    closing_at = None if world.backend is None else world.backend.closing_at
    if closing_at is not None and now < closing_at:
        world.wake_at(closing_at)


def recall_leaving(world, record, now):
    """Go on with a leaving that an earlier process on this host confirmed.

    `record` is the own row of the store, a `rows.HostRecord`. The drain time
    has begun before that process ended, so the server gets no more work.
    """
    backend = world.backend
    if backend is None or backend.closing_at is not None:
        return
    is_leaving = record.state == rows.HostState.DRAINING
    if is_leaving and record.life == backend.life:
        _close_at(backend, now)


def _left(world, left, now):
    """Close the server that leaves, also if it is not known yet."""
    backend = world.backend
    closing_at = now + _drain_ms(world)
    if backend is not None and backend.life.server_id == left.server_id:
        _begin_closing(world, now)
        closing_at = backend.closing_at
    world.departures.put(
        left.server_id, rows.Departure(left.said_at, closing_at)
    )
    while len(world.departures) > MAX_DEPARTURES:
        world.departures.pop(world.departures.keys()[0])
    return True


def _announced(world, told, now):
    own = world.settings
    is_own = told.service == own.service and told.address == own.backend_address
    if not is_own:
        _log.warning(
            'announcement-refused',
            server=told.life.server_id,
            service=told.service,
            address=told.address,
        )
        return False
    backend = world.backend
    if backend is not None and told.life.born < backend.life.born:
        return True
    if backend is None or backend.life != told.life:
        _begin_life(world, told, now)
        return True
    if told.sequence <= backend.sequence:
        return True
    backend.sequence = told.sequence
    backend.slots = told.slots
    backend.heard = now
    if told.is_draining:
        _begin_closing(world, now)
    return True


def _begin_life(world, told, now):
    running = 0 if world.backend is None else world.backend.running
    world.backend = rows.Backend(
        life=told.life,
        address=told.address,
        slots=told.slots,
        sequence=told.sequence,
        joined=now,
        running=running,
        heard=now,
    )
    _log.info(
        'backend-announced', server=told.life.server_id, born=told.life.born
    )
    departure = world.departures.get(told.life.server_id)
    if departure is not None and told.life.born <= departure.said_at:
        # Confirmed before this life had announced itself here.
        _close_at(world.backend, departure.closing_at)
    elif told.is_draining:
        _begin_closing(world, now)
    own_row = world.hosts.get(world.host_id)
    if own_row is not None:
        recall_leaving(world, own_row.record, now)


def _begin_closing(world, now):
    if world.backend.closing_at is None:
        _close_at(world.backend, now + _drain_ms(world))


def _close_at(backend, closing_at):
    backend.closing_at = closing_at
    _log.info('backend-leaving', server=backend.life.server_id)


def _drain_ms(world):
    return world.settings.bounds.drain_ms - DRAIN_MARGIN_MS
