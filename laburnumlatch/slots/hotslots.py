"""Which moves of slots pay for their churn; pure functions over a plan."""

import attrs

MAX_MOVES = 3
PRICES = (('availability', 0.02), ('churn', 0.1))


@attrs.define(frozen=True)
class Move:
    """One slot that should go from host `source` to host `target`."""

    slot: int
    source: str
    target: str


@attrs.define
class SlotLoad:
    """Work that a slot caused at the local backend server since a reset."""

    slot: int
    busy_ms: int = 0


def count(world, slot, busy_ms):
    """Add time of the local backend server to the load of a slot."""
    row = world.slot_loads.get(slot)
    if row is None:
        row = world.slot_loads.put(slot, SlotLoad(slot))
    row.busy_ms += busy_ms


def moves(plan, slot_loads, speeds, prefer, saturated=()):
    """Return up to `MAX_MOVES` moves that pay, the best first.

    `slot_loads` has a load for each slot number, `speeds` a measured speed
    for each host ID. With utilization u = load of a host / its speed and U the
    utilization if all hosts were equal, a move pays if

        (max(u_source, u_target) before - the same after) / U > price

    The price is 0.02 with `availability` and 0.1 with `churn`: every move
    holds up its keys, so a gain below it is not worth the move. Slots with
    `previous` set are moving already and stay. The hosts in `saturated` have
    more work offered than they can do and get no more.
    """
    if not speeds or not any(slot_loads.values()):
        return []
    owners = {
        number: slot.owner.host_id
        for number, slot in enumerate(plan.slots)
        if slot.owner.host_id in speeds
    }
    loads = _loads_by_host(owners, slot_loads, speeds)
    movable = {
        slot: owner
        for slot, owner in owners.items()
        if plan.slots[slot].previous is None and slot in slot_loads
    }
    price = _price(slot_loads, speeds, prefer)
    found = []
    while len(found) < MAX_MOVES:
        move = _best(movable, slot_loads, loads, speeds, price, saturated)
        if move is None:
            break
        found.append(move)
        movable.pop(move.slot)
        loads[move.source] -= slot_loads[move.slot]
        loads[move.target] += slot_loads[move.slot]
    return found


def _price(slot_loads, speeds, prefer):
    level = sum(slot_loads.values()) / sum(speeds.values())
    return dict(PRICES)[prefer] * level


def _loads_by_host(owners, slot_loads, speeds):
    loads = dict.fromkeys(speeds, 0)
    for slot, owner in owners.items():
        loads[owner] += slot_loads.get(slot, 0)
    return loads


def _best(movable, slot_loads, loads, speeds, price, saturated):
    """Return the best move from the busiest to the least busy host."""
    used = {host_id: loads[host_id] / speeds[host_id] for host_id in speeds}
    source = max(used, key=used.get)
    # In the order of the hosts, so that equal hosts rank the same each time.
    targets = [host_id for host_id in used if host_id not in saturated]
    target = min(targets, key=used.get, default=source)
    gains = {
        slot: used[source]
        - max(
            used[source] - slot_loads[slot] / speeds[source],
            used[target] + slot_loads[slot] / speeds[target],
        )
        for slot, owner in movable.items()
        if owner == source
    }
    best = max(gains, key=gains.get, default=None)
    if source == target or best is None or gains[best] <= price:
        return None
    return Move(best, source, target)
