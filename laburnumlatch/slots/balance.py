"""Pure functions: which moves of slots pay for their churn."""

import collections

import attrs

from laburnumlatch.slots import plans
from laburnumlatch.slots import rows

# A host below this part of its share is filled up; less is not worth a move.
FILL_BELOW = 0.75
# Moves in progress at once, by what the service prefers.
MOVES = 4
MOVES_CHURN = 2


def with_moves(plan, service, hosts):
    """Start moves to hosts that have clearly fewer slots than their share.

    `hosts` are ready `rows.Host` rows of the service.
    """
    ready = {
        host for host in map(plans.incarnation, hosts) if _may_own(plan, host)
    }
    # Counted by host: one that has restarted still claims its old slots.
    owned = collections.Counter(slot.owner.host_id for slot in plan.slots)
    slots = list(plan.slots)
    bound = MOVES_CHURN if service.prefer == rows.Prefer.CHURN else MOVES
    bound -= sum(1 for slot in slots if slot.previous is not None)
    for _ in range(bound):
        move = _best_move(slots, owned, ready)
        if move is None:
            break
        number, target = move
        owned[slots[number].owner.host_id] -= 1
        owned[target.host_id] += 1
        slots[number] = _moved(slots[number], target, plan.version + 1)
    return attrs.evolve(plan, slots=tuple(slots))


def _may_own(plan, host):
    """Tell whether a host can hold a lease and is not about to change it."""
    witness_set = plan.witness_set(host)
    if witness_set is None or witness_set.former:
        return False
    return host not in plan.fenced


def _best_move(slots, owned, ready):
    """Return (slot number, target), or None if no move pays."""
    if not ready:
        return None
    share = len(slots) // len(ready)
    ranked = sorted(
        ready,
        key=lambda host: (owned[host.host_id], host.host_id),
    )
    target, source = ranked[0], ranked[-1]
    fewest = owned[target.host_id]
    # A smaller difference only swaps which host has more.
    if fewest >= share * FILL_BELOW or owned[source.host_id] - fewest < 2:
        return None
    for number, slot in enumerate(slots):
        if slot.owner == source and slot.previous is None:
            return number, target
    return None


def _moved(slot, target, version):
    return attrs.evolve(
        slot,
        previous=slot.owner,
        owner=target,
        successors=tuple(host for host in slot.successors if host != target),
        epoch=slot.epoch + 1,
        since=version,
    )
