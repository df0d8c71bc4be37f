"""Moves of slots between live hosts: releasing and taking a release."""

from laburnumlatch.core import logs
from laburnumlatch.slots import grants
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases

REPEAT_MS = 300
TIMER = 'handover/repeat'

_log = logs.logger('handover')


def take(world):
    """Keep releases by other hosts, and acknowledgements of own ones."""
    for release in world.inbox.take(leasemsg.Release):
        key = (release.service, release.slot, release.host)
        known = world.releases.get(key)
        if known is None or known.since < release.since:
            world.releases.put(key, release)
        leasemsg.send(
            world,
            release.host.host_id,
            leasemsg.ReleaseAck(
                release.service,
                release.slot,
                release.host,
                release.since,
                world.incarnation,
            ),
        )
    for ack in world.inbox.take(leasemsg.ReleaseAck):
        row = world.slots.get((ack.service, ack.slot))
        is_own = ack.host == world.incarnation
        if row is not None and is_own and row.since == ack.since:
            row.acked.add(ack.receiver)


def run(world, plan, now):
    """Release slots that move away, and repeat until it is known."""
    for number in world.standing.index:
        slot = plan.slots[number]
        row = world.slots.get((plan.service, number))
        if row is None or slot.previous != world.incarnation:
            continue
        if row.is_held and _may_release(world, row, slot, now):
            row.state = leaserows.SlotState.RELEASED
            row.since = slot.since
            row.acked.clear()
            _log.info(
                'slot-given',
                service=plan.service,
                slot=number,
                owner=slot.owner.host_id,
                epoch=slot.epoch,
                reason='release',
            )
            _send(world, row, slot)
    if world.due(TIMER, REPEAT_MS, now):
        _repeat(world, plan)


def repeat_retired(world, plan, now):
    """Release for earlier incarnations that nobody may be able to fence.

    A host that heads a chain says so only if no votes from before the chain
    can fence it; a later one does not decide who serves first.
    """
    named = set().union(*(slot.chain for slot in plan.slots))
    retired = [row for row in world.retired if row.service == plan.service]
    for row in retired:
        if row.host not in named:
            world.retired.pop(row.host)
        elif world.due(f'{TIMER}/{row.host.number}', REPEAT_MS, now):
            _release_retired(world, plan, row)


def _release_retired(world, plan, retired):
    for number, slot in enumerate(plan.slots):
        if retired.host not in slot.chain:
            continue
        place = slot.chain.index(retired.host)
        if place or slot.since <= retired.excluded:
            message = leasemsg.Release(
                plan.service,
                number,
                retired.host,
                slot.since,
                by_plan=True,
            )
            for host in slot.chain[place + 1 :]:
                leasemsg.send(world, host.host_id, message)


def _repeat(world, plan):
    for number in world.standing.index:
        slot = plan.slots[number]
        row = world.slots.get((plan.service, number))
        if row is None or slot.previous != world.incarnation:
            continue
        if row.state == leaserows.SlotState.RELEASED:
            _send(world, row, slot)


def _may_release(world, row, slot, now):
    return (
        leases.excludes_older(world, slot.since)
        and not grants.in_flight(world, row.service, row.number)
        and grants.is_withdrawn(world, row, now)
    )


def _send(world, row, slot):
    """Tell all later hosts: the new owner may be lost before it serves."""
    if row.since != slot.since:
        return
    for host in slot.chain[1:]:
        if host not in row.acked:
            leasemsg.send(
                world,
                host.host_id,
                leasemsg.Release(
                    row.service,
                    row.number,
                    world.incarnation,
                    row.since,
                ),
            )
