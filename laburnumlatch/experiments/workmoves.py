"""Moves of hot slots in a workload run, as the planner would make them."""

import attrs

from laburnumlatch.slots import hotslots
from laburnumlatch.slots import planrows

INTERVAL_MS = 1000


def next_plan(worlds, plan, prefer):
    """Return the plan after the moves that pay, and reset the loads.

    `worlds` are those of the hosts of the service. Speed is the inverse of
    the measured service times of the operations that all hosts have served.
    """
    speeds = _speeds(worlds)
    saturated = {
        world.settings.host_id for world in worlds if _is_saturated(world)
    }
    loads = _take_loads(worlds, speeds)
    slots = list(plan.slots)
    for move in hotslots.moves(plan, loads, speeds, prefer, saturated):
        moved = slots[move.slot]
        slots[move.slot] = attrs.evolve(
            moved,
            owner=planrows.Incarnation(move.target, 1),
            epoch=moved.epoch + 1,
        )
    return attrs.evolve(plan, slots=tuple(slots), version=plan.version + 1)


def _take_loads(worlds, speeds):
    """Return the work by slot since the last call."""
    loads = {}
    for world in worlds:
        speed = speeds.get(world.settings.host_id, 0)
        for row in world.slot_loads:
            work = row.busy_ms * speed
            loads[row.slot] = loads.get(row.slot, 0) + work
            row.busy_ms = 0
    return loads


def _is_saturated(world):
    offered_ms = sum(row.busy_ms for row in world.slot_loads)
    return offered_ms >= INTERVAL_MS * world.local_server().concurrent


def _speeds(worlds):
    served = [set(world.service_times.keys()) for world in worlds]
    common = set.intersection(*served) - {''}
    if not common:
        return {}
    return {
        world.settings.host_id: 1
        / sum(world.service_times.get(name).mean for name in sorted(common))
        for world in worlds
    }
