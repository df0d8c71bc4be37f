"""System: hosts of the system and the backend server beside this agent."""

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.slots import departures
from laburnumlatch.slots import documents
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases
from laburnumlatch.slots import proposals
from laburnumlatch.slots import rows
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import witnesses

TICKET = 'members/write'
# Shorter silences are left to retries.
FAILED_MS = 1000
# The planner looks each second, and a host changes its witnesses within two
# renewals; an agent does not wait longer than this for a store that is away.
REPLACE_MS = 5000

_log = logs.logger('members')


def run(world, now):
    """Take in announcements and keep this host's member row current."""
    for kind in (
        storemsg.StoreWritten,
        storemsg.StoreRefused,
        storemsg.StoreFailed,
    ):
        if world.inbox.take_answers(kind, TICKET):
            # The document that comes back shows what was written.
            proposals.read_back(world, now)
    for announced in world.inbox.take(servermsg.ServerAnnounced):
        _announce(world, announced, now)
    for leaving in world.inbox.take(servermsg.ServerLeaving):
        server = world.servers.get(leaving.server_id)
        if server is not None:
            server.state = rows.HostState.DRAINING
            departures.begin(world, 'its backend server drains', now)
    if world.inbox.take(servermsg.AgentStopping):
        world.standing.is_stopping = True
        departures.begin(world, 'its agent stops', now)
    server = world.local_server()
    if server is not None:
        _follow_server(world, server, now)
    if world.standing.is_stopping:
        _stop(world, server, now)
    is_stale = server is not None and _row_is_stale(world, server)
    if is_stale and world.due(TICKET, documents.POLL_MS, now):
        _write_row(world, server)


def _announce(world, announced, now):
    known = world.servers.get(announced.server_id)
    is_leaving = world.standing.departure != leaserows.Departure.NO
    if is_leaving and not world.standing.is_stopping:
        world.standing.rejoins = True
    elif known is not None and known.state == rows.HostState.READY:
        return
    running = 0 if known is None else known.running
    world.servers.put(
        announced.server_id,
        rows.Server(
            announced.server_id,
            announced.service,
            announced.address,
            announced.concurrent,
            announced.connections,
            state=(
                rows.HostState.DRAINING if is_leaving else rows.HostState.READY
            ),
            running=running,
            ready_since=now,
        ),
    )
    _log.info(
        'backend-announced',
        server=announced.server_id,
        service=announced.service,
        address=announced.address,
    )


def _follow_server(world, server, now):
    """Leave while the backend server is away, and join again after that."""
    standing = world.standing
    if standing.departure == leaserows.Departure.NO:
        failed_since = server.failed_since
        if failed_since is None:
            return
        if now - failed_since <= FAILED_MS:
            world.wake_at(failed_since + FAILED_MS + 1)
            return
        server.state = rows.HostState.DRAINING
        standing.rejoins = True
        departures.begin(world, 'its backend server does not answer', now)
    elif standing.is_stopping:
        server.state = rows.HostState.DRAINING
    if standing.departure != leaserows.Departure.DONE:
        return
    if standing.is_stopping or not standing.rejoins:
        server.state = rows.HostState.LEFT
    elif server.failed_since is None:
        server.state = rows.HostState.READY
        server.ready_since = now
        leases.start_anew(world, 'its backend server is back')


def _stop(world, server, now):
    """Report the end once this host has left and no request is left.

    Agents that stop one after another would otherwise take away a second
    witness of a host before the planner has replaced the first one.
    """
    if server is not None and not _has_left(world, now):
        return
    if not len(world.requests):
        world.outbox.post(servermsg.AgentStopped())


def _has_left(world, now):
    if world.standing.departure != leaserows.Departure.DONE:
        return False
    limit = world.standing.departure_since + REPLACE_MS
    if now >= limit or not witnesses.is_needed(world):
        return True
    world.wake_at(limit)
    return False


def _row_is_stale(world, server):
    host = world.hosts.get(world.settings.host_id)
    return (
        host is None
        or host.incarnation != world.incarnation.number
        or host.state != server.state
    )


def _write_row(world, server):
    own = world.settings
    body = wire.pack(
        rows.Host(
            own.host_id,
            world.incarnation.number,
            server.service,
            own.region,
            own.domain,
            own.address,
            own.datagram_address,
            own.peer_address,
            state=server.state,
            process=world.witness.number,
        )
    )
    known = world.documents.get((documents.MEMBER, own.host_id))
    world.outbox.post(
        storemsg.StorePut(
            TICKET,
            f'{documents.MEMBER}/{own.host_id}',
            body,
            known.version if known else 0,
        )
    )
