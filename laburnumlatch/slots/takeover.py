"""Takeovers: waiting times, announcement, and recording in the plan."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.slots import fences
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases
from laburnumlatch.slots import plans
from laburnumlatch.slots import proposals

# An heir gets this long to write its claim before a successor does.
HEIR_MS = 3000
ANNOUNCE_MS = 1000
# Bounds the traffic of announcements; a plan document follows anyway.
ANNOUNCE_TO = 16
ANNOUNCE_SLOTS = 64
TIMER = 'takeover/announce'

_log = logs.logger('takeover')


def wait_ms(world, name):
    """Return how long a takeover waits out requests sent under old fences.

    A backend server that checks grants refuses them itself.
    """
    service = world.services.get(name)
    if service is None or service.checks_grants or not service.divided_by_key:
        return 0
    return max(
        (
            operation.deadline_ms
            for operation in service.operations.values()
            if not operation.repeatable
        ),
        default=0,
    )


def record(world, plan, now):
    """Write the plan where it does not name this host for what it serves."""
    if now >= leases.valid_until(world):
        return
    unrecorded = [
        number
        for number in world.standing.index
        if _is_unrecorded(world, plan, number)
    ]
    unrecorded += _dropped(world, plan)
    contested = _contested(world, plan, now)
    if unrecorded and world.due(TIMER, ANNOUNCE_MS, now):
        _announce(world, plan, unrecorded)
    needs_write = unrecorded or contested or leases.is_settled(world)
    if needs_write and proposals.is_open(world, plan.service, now):
        _write(world, plan, (*unrecorded, *contested), now)


def _is_unrecorded(world, plan, number):
    row = world.slots.get((plan.service, number))
    slot = plan.slots[number]
    own = world.incarnation
    if row is None or not row.is_held or slot.previous == own:
        return False
    return slot.owner != own or slot.previous is not None


def _dropped(world, plan):
    """Return slots held by proof that a newer plan gives to others."""
    return [
        row.number
        for row in world.slots
        if row.is_held
        and row.service == plan.service
        and row.number < len(plan.slots)
        and world.incarnation not in plan.slots[row.number].chain
    ]


def _contested(world, plan, now):
    """Return slots whose earlier hosts are out by votes for an heir too.

    No majority may exist without the heir's votes; compare-and-set decides
    between the heir and this host.
    """
    found = []
    for number in world.standing.index:
        row = world.slots.get((plan.service, number))
        if row is not None and _has_waited(world, plan, row, now):
            found.append(number)
    return found


def _has_waited(world, plan, row, now):
    if row.state != leaserows.SlotState.PENDING:
        return False
    place = plan.slots[row.number].chain.index(world.incarnation)
    if not place:
        return False
    if not fences.is_clear(world, plan, row.number, place, any_heir=True):
        row.heir_wait = None
        return False
    if row.heir_wait is None:
        row.heir_wait = now + HEIR_MS
    if row.heir_wait > now:
        world.wake_at(row.heir_wait)
    return row.heir_wait <= now


def _write(world, plan, numbers, now):
    own = world.incarnation
    slots = list(plan.slots)
    out = set(plan.fenced)
    for number in numbers:
        out.update(_fenced_before(world, plan, slots[number]))
        slots[number] = _recorded(world, plan, number)
    sets = plan.witness_sets
    if leases.is_settled(world):
        sets = tuple(
            attrs.evolve(row, former=()) if row.host == own else row
            for row in sets
        )
    proposals.propose(
        world,
        attrs.evolve(
            plan,
            slots=tuple(slots),
            witness_sets=sets,
            fenced=tuple(sorted(out, key=attrs.astuple)),
        ),
        now,
    )


def _fenced_before(world, plan, slot):
    """Return the hosts before this one in a chain that are fenced."""
    if world.incarnation not in slot.chain:
        return []
    return [
        host
        for host in slot.chain[: slot.chain.index(world.incarnation)]
        if fences.is_fenced(world, plan, host, 0, None)
    ]


def _recorded(world, plan, number):
    slot = plan.slots[number]
    row = world.slots.get((plan.service, number))
    if not row.is_held:
        place = slot.chain.index(world.incarnation)
        row = attrs.evolve(
            row,
            epoch=slot.epoch_at(place),
            since=slot.since,
        )
    taken = plans.take_over(slot, world.incarnation, row, plan.version + 1)
    _log.info(
        'slot-owner',
        service=plan.service,
        slot=number,
        owner=world.settings.host_id,
        epoch=taken.epoch,
        reason='record',
    )
    return taken


def _announce(world, plan, numbers):
    own = world.settings.host_id
    others = [host.host_id for host in world.hosts if host.host_id != own]
    slots = tuple(
        (number, world.slots.get((plan.service, number)).epoch)
        for number in numbers[:ANNOUNCE_SLOTS]
    )
    message = leasemsg.TakenOver(plan.service, own, slots)
    for host_id in world.rng.sample(others, min(len(others), ANNOUNCE_TO)):
        leasemsg.send(world, host_id, message)
