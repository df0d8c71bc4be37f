"""Grants of this host's slots to the backend server beside it."""

from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases
from laburnumlatch.slots import rows
from laburnumlatch.slots import servermsg

RENEW_MS = 300
TIMER = 'grants/renew'
# The front end answers within this time, or the grant counts as unanswered.
ANSWER_MS = 1000


def is_missing(world, row, now):
    """Tell whether the backend server would refuse work for a slot."""
    if not _checks(world, row.service):
        return False
    return row.accepted_token != row.epoch or now >= row.accepted_until


def is_withdrawn(world, row, now):
    """Tell whether no grant for a slot can be live any more."""
    if not _checks(world, row.service):
        return True
    if now >= max(row.granted_until, world.standing.unclear_until):
        return True
    is_revoked = row.granted_until == 0
    return is_revoked and now >= world.standing.unclear_until


def in_flight(world, service=None, slot=None):
    """Return how many requests run here, of one slot or of all."""
    return sum(
        1
        for request in world.requests
        if request.state in rows.AT_SERVER
        and request.target == world.settings.host_id
        and service in {None, request.service}
        and slot in {None, request.slot}
    )


def has_finished(world):
    """Tell whether no work of a leaving host is left to wait for.

    A failed backend server does not finish what it was sent.
    """
    server = world.local_server()
    has_failed = server is not None and server.failed_since is not None
    return has_failed or not in_flight(world)


def take_answers(world, now):
    """Note what the backend server has accepted.

    It may accept a part of the grants and refuse the rest.
    """
    for answer in world.inbox.take(servermsg.GrantsAnswered):
        given = world.standing.given
        if given is None:
            continue
        answered, left = given.split(answer.slots)
        world.standing.given = left
        if answer.accepted:
            _accept(world, answered)
        elif answered.ends:
            _doubt(world, answered)


def run(world, now):
    """Renew grants of held slots and revoke those of others."""
    server = world.local_server()
    if server is None or not _checks(world, server.service):
        return
    given = world.standing.given
    if given is not None:
        if given.sent + ANSWER_MS > now:
            world.wake_at(given.sent + ANSWER_MS)
            return
        world.standing.given = None
        _doubt(world, given)
    is_due = world.due(TIMER, RENEW_MS, now)
    until = leases.valid_until(world)
    ends = [
        entry
        for row in world.slots
        if row.service == server.service
        and (entry := _entry(world, row, until, is_due, now))
    ]
    if ends:
        _give(world, server, tuple(ends), now)


def _entry(world, row, until, is_due, now):
    """Return (slot, token, end) if the grant has to change, else None."""
    if row.is_held and not _is_ending(world, row):
        is_new = row.accepted_token != row.epoch
        if until > now and (is_due or is_new) and until > row.accepted_until:
            return (row.number, row.epoch, until)
        return None
    if row.granted_until > now:
        return (row.number, row.accepted_token or row.epoch, 0)
    return None


def _is_ending(world, row):
    """Tell whether the work of a slot has ended and its grant may go."""
    departure = world.standing.departure
    if departure == leaserows.Departure.FINISHING:
        return has_finished(world)
    plan = world.plans.get(row.service)
    return is_moving_away(world, plan, row.number) and not in_flight(
        world, row.service, row.number
    )


def is_moving_away(world, plan, number):
    """Tell whether a slot moves to another host and no work may start here.

    Until no older votes can fence this host it could not release the slot,
    so it goes on to serve it.
    """
    slot = plan.slots[number]
    return slot.previous == world.incarnation and leases.excludes_older(
        world, slot.since
    )


def _give(world, server, ends, now):
    world.standing.given = leaserows.Given(ends, now)
    world.wake_at(now + ANSWER_MS)
    for entry in ends:
        row = world.slots.get((server.service, entry[0]))
        row.granted_until = max(row.granted_until, entry[2])
    world.outbox.post(
        servermsg.GiveGrants(
            server.server_id,
            server.address,
            tuple(
                servermsg.Grant(number, token, end)
                for number, token, end in ends
            ),
        )
    )


def _accept(world, given):
    server = world.local_server()
    if server is None:
        return
    for number, token, end in given.ends:
        row = world.slots.get((server.service, number))
        if row is None:
            continue
        row.accepted_token = token
        row.accepted_until = end
        if not end:
            row.granted_until = 0


def _doubt(world, given):
    """Remember that a grant without an answer may take effect late."""
    last_end = max(entry[2] for entry in given.ends)
    world.standing.unclear_until = max(world.standing.unclear_until, last_end)


def _checks(world, name):
    service = world.services.get(name)
    return service is not None and service.checks_grants
