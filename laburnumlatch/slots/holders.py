"""Which host serves a slot, as far as this agent knows."""

import attrs

from laburnumlatch.slots import fences
from laburnumlatch.slots import leaserows


@attrs.define(frozen=True)
class Holding:
    """The host that serves a slot, as far as this agent knows."""

    host_id: str
    epoch: int


def holding(world, service, slot):
    """Return the `Holding` of a slot, or None if no plan names one."""
    plan = world.plans.get(service)
    if plan is None or slot >= len(plan.slots):
        return None
    own = world.slots.get((service, slot))
    if own is not None and own.is_held and not world.standing.is_gone:
        return Holding(world.settings.host_id, own.epoch)
    planned = plan.slots[slot]
    taken = world.taken.get((service, slot))
    if taken is not None and taken.epoch > planned.epoch:
        return Holding(taken.host_id, taken.epoch)
    return _planned(world, plan, slot, own)


def _planned(world, plan, slot, own):
    """Return the first host of the chain that is not known to be out."""
    planned = plan.slots[slot]
    last = len(planned.chain) - 1
    place = 0
    while place < last and _is_out(world, plan, slot, place, own):
        place += 1
    return Holding(planned.chain[place].host_id, planned.epoch_at(place))


def _is_out(world, plan, slot, place, own):
    if plan.slots[slot].chain[place] != world.incarnation:
        return fences.is_clear(world, plan, slot, place + 1)
    has_released = own is not None and own.state == leaserows.SlotState.RELEASED
    return world.standing.is_gone or has_released
