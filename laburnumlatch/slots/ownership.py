"""System: which slots this host serves, and who serves the others."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.slots import claims
from laburnumlatch.slots import departures
from laburnumlatch.slots import fences
from laburnumlatch.slots import grants
from laburnumlatch.slots import handover
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases
from laburnumlatch.slots import plans
from laburnumlatch.slots import recovery
from laburnumlatch.slots import takeover

_log = logs.logger('ownership')


def run(world, now):
    """Keep the slots held by this host current."""
    fences.take_votes(world)
    handover.take(world)
    _take_announcements(world)
    grants.take_answers(world, now)
    plan = leases.own_plan(world)
    if plan is None:
        recovery.run(world, now)
        departures.run(world, None, now)
        return
    _index(world, plan)
    if not world.standing.is_gone:
        _evaluate(world, plan, now)
        handover.run(world, plan, now)
        if len(world.retired):
            handover.repeat_retired(world, plan, now)
        takeover.record(world, plan, now)
        claims.run(world, plan, now)
    recovery.run(world, now)
    departures.run(world, plan, now)
    grants.run(world, now)


def is_releasing(world, service, slot):
    """Tell whether no new work may start for a slot held by this host."""
    if world.standing.departure == leaserows.Departure.FINISHING:
        return True
    row = world.slots.get((service, slot))
    if row is None or not row.is_held:
        return False
    return grants.is_moving_away(world, world.plans.get(service), slot)


def token(world, service, slot, now):
    """Return the fence token under which this host may serve, or None."""
    row = world.slots.get((service, slot))
    if row is None or not row.is_held or now < row.serve_from:
        return None
    if now >= leases.valid_until(world):
        return None
    if grants.is_missing(world, row, now):
        return None
    return row.epoch


def _take_announcements(world):
    for message in world.inbox.take(leasemsg.TakenOver):
        for number, epoch in message.slots:
            key = (message.service, number)
            known = world.taken.get(key)
            if known is None or known.epoch < epoch:
                world.taken.put(key, leaserows.Taken(message.host_id, epoch))


def _index(world, plan):
    """List anew the slots that concern this host if the plan is new."""
    standing = world.standing
    own = world.incarnation
    key = (plan.version, own)
    if standing.index_key == key:
        return
    standing.index_key = key
    standing.index = tuple(
        number for number, slot in enumerate(plan.slots) if own in slot.chain
    )
    standing.earlier = tuple(
        sorted(
            {
                host
                for slot in plan.slots
                for host in slot.chain
                if host.host_id == own.host_id
                and host != own
                and plans.needs_claim(slot, host, own)
            },
            key=attrs.astuple,
        ),
    )
    fences.forget_votes(world, plan)
    taken_keys = world.taken.keys()
    for service, number in taken_keys:
        if service == plan.service and _is_recorded(world, plan, number):
            world.taken.pop((service, number))


def _is_recorded(world, plan, number):
    taken = world.taken.get((plan.service, number))
    return number >= len(plan.slots) or taken.epoch <= plan.slots[number].epoch


def _evaluate(world, plan, now):
    """Take each slot that the chain rule gives to this host."""
    if now >= leases.valid_until(world):
        return
    for number in world.standing.index:
        key = (plan.service, number)
        row = world.slots.get(key)
        if row is None:
            row = world.slots.put(key, leaserows.Slot(plan.service, number))
        _decide(world, plan, row, now)


def _decide(world, plan, row, now):
    slot = plan.slots[row.number]
    if row.is_held:
        _follow(world, row, slot)
        return
    if recovery.is_barred(world, plan, row.number):
        return
    if row.state == leaserows.SlotState.RELEASED:
        if row.since == slot.since:
            return
        row.state = leaserows.SlotState.PENDING
    place = slot.chain.index(world.incarnation)
    if fences.is_clear(world, plan, row.number, place):
        _hold(world, row, slot, place, now)


def _follow(world, row, slot):
    """Serve at the plan's epoch once it names this host as owner."""
    if slot.owner == world.incarnation and slot.previous is None:
        row.epoch = max(row.epoch, slot.epoch)
        row.since = slot.since


def _hold(world, row, slot, place, now):
    row.state = leaserows.SlotState.HELD
    row.epoch = slot.epoch_at(place)
    row.since = slot.since
    row.acked.clear()
    row.serve_from = now
    is_takeover = place > int(slot.previous is not None)
    if is_takeover:
        row.serve_from += takeover.wait_ms(world, row.service)
        world.wake_at(row.serve_from)
    _log.info(
        'slot-owner',
        service=row.service,
        slot=row.number,
        owner=world.settings.host_id,
        epoch=row.epoch,
        reason='takeover' if is_takeover else 'plan',
    )
