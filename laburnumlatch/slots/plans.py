"""Pure functions over plans."""

import collections
import itertools

import attrs

from laburnumlatch.core import hashing
from laburnumlatch.slots import candidates
from laburnumlatch.slots import planrows

SUCCESSORS = 2
WITNESSES = 3
# With fewer agents a host is its own witness; see the design page.
SELF_WITNESS_BELOW = 4
# Successors that have gone stay in the chain, where they cost nothing, until
# it is this long: taking them out changes `since`.
MAX_CHAIN = 9


def incarnation(host):
    """Return the `planrows.Incarnation` of a `rows.Host` row."""
    return planrows.Incarnation(host.host_id, host.incarnation)


def witness(host):
    """Return the identity of a `rows.Host` row's agent as a witness."""
    return planrows.Incarnation(host.host_id, host.process or host.incarnation)


def initial(service, hosts, region=()):
    """Return the first plan of a service for its ready `rows.Host` rows.

    `region` holds the hosts of all services, for witnesses. Slots are dealt
    out evenly, and each host's successors are spread over the others.
    """
    by_name = {host.host_id: host for host in hosts}
    names = itertools.cycle(hashing.rendezvous(service.name, by_name))
    slots = tuple(
        planrows.SlotPlan(incarnation(by_name[name]), (), 1, 1)
        for name in itertools.islice(names, service.slot_count)
    )
    plan = planrows.Plan(service.name, 1, slots)
    return with_successors(with_sets(plan, hosts, region or hosts), hosts)


def after(plan, host):
    """Return all incarnations that come after `host` in a chain."""
    later = set()
    for slot in plan.slots:
        if host in slot.chain:
            later.update(slot.chain[slot.chain.index(host) + 1 :])
    return later


def inherit(slot, old, new, version):
    """Return the slot's plan with `new` in the rights of `old`.

    Both are of one host, and a majority has voted for `new` as heir.
    """
    if not needs_claim(slot, old, new):
        return slot
    if slot.previous == old:
        return attrs.evolve(slot, previous=None, since=version)
    if slot.owner == old:
        if slot.previous is None:
            return attrs.evolve(slot, owner=new, epoch=slot.epoch + 1)
        # `previous` may have released to `old`, which served at the epoch:
        # it serves once more, at a higher one.
        return attrs.evolve(
            slot,
            owner=new,
            epoch=slot.epoch + 2,
            since=version,
        )
    others = tuple(host for host in slot.successors if host != new)
    place = others.index(old) + 1
    return attrs.evolve(
        slot,
        successors=(*others[:place], new, *others[place:]),
    )


def needs_claim(slot, old, new):
    """Tell whether `new` does not stand directly behind `old` yet."""
    chain = slot.chain
    return old in chain and new not in heirs(chain, chain.index(old))


def heirs(chain, place):
    """Return the incarnations of the same host directly behind a place."""
    return tuple(
        itertools.takewhile(
            lambda host: host.host_id == chain[place].host_id,
            chain[place + 1 :],
        )
    )


def take_over(slot, host, held, version):
    """Return the slot's plan with `host` as owner, which serves it.

    `held` is the `leaserows.Slot` of that host. Without the hosts before it
    the chain leads to the same hosts as before, so `since` stays, unless a
    move ended or the host holds the slot under an older chain.
    """
    chain = slot.chain
    place = chain.index(host) if host in chain else -1
    is_same = slot.previous is None and held.since == slot.since
    return planrows.SlotPlan(
        owner=host,
        successors=chain[place + 1 :] if host in chain else slot.successors,
        epoch=max(held.epoch, slot.epoch),
        since=slot.since if is_same and place >= 0 else version,
    )


def with_sets(plan, hosts, region, voted=()):
    """Add and mend witness sets; `hosts` are ready hosts of the service.

    `voted` holds (host, witness) pairs of votes: such a witness never
    promises to that host again. A set with a former one is left alone until
    its host has changed over.
    """
    alive = candidates.Ring({
        witness(host): host for host in _unfenced(plan, region).values()
    })
    named = {host for slot in plan.slots for host in slot.chain}
    named.update(map(incarnation, hosts))
    sets = {row.host: row for row in plan.witness_sets if row.host in named}
    load = collections.Counter(
        itertools.chain.from_iterable(
            row.witnesses for row in plan.witness_sets
        ),
    )
    for own, row in _unfenced(plan, hosts).items():
        known = sets.get(own)
        if known is not None and known.former:
            continue
        kept = () if known is None else known.witnesses
        chosen = _choose_witnesses(own, witness(row), alive, voted, kept, load)
        if set(chosen) != set(kept):
            sets[own] = planrows.WitnessSet(own, chosen, plan.version + 1, kept)
    return attrs.evolve(plan, witness_sets=tuple(sets.values()))


def _unfenced(plan, hosts):
    """Return rows of hosts by incarnation, without those fenced."""
    return {
        incarnation(host): host
        for host in hosts
        if incarnation(host) not in plan.fenced
    }


def _choose_witnesses(host, own, alive, voted, kept, load):
    """Keep what is alive of `kept` and fill up from other domains.

    `host` is the incarnation that holds the lease, `own` its witness identity.
    """
    chosen = [
        key
        for key in kept
        if key in alive and key != own and (host, key) not in voted
    ]
    if len(chosen) >= WITNESSES:
        return kept
    others = [
        key
        for key in alive.near(f'witness/{own.host_id}', WITNESSES)
        if key != own and (host, key) not in voted
    ]
    if len(others) + 1 < SELF_WITNESS_BELOW:
        if len(others) < 2:
            # With one other agent a majority would need both.
            return (own,)
        return (own, *sorted(others, key=attrs.astuple))
    while len(chosen) < WITNESSES:
        used = collections.Counter(alive.rows[key].domain for key in chosen)
        costs = {
            key: (used[alive.rows[key].domain], load[key], place)
            for place, key in enumerate(others)
            if key not in chosen
        }
        best = min(costs, key=costs.__getitem__)
        load[best] += 1
        chosen.append(best)
    return tuple(chosen)


def with_successors(plan, hosts):
    """Fill up the chains with ready hosts, spread over each owner's slots.

    A new successor is appended: votes that were given already lead to the
    same host as before, so `since` stays.
    """
    ready = candidates.Ring(_unfenced(plan, hosts))
    spread = collections.Counter(
        (slot.owner, successor)
        for slot in plan.slots
        for successor in slot.successors
    )
    slots = tuple(
        _fill_up(plan, _compacted(plan, slot, ready), ready, spread)
        if slot.previous is None
        else slot
        for slot in plan.slots
    )
    return attrs.evolve(plan, slots=slots)


def _compacted(plan, slot, ready):
    """Drop successors that have gone from a chain that is too long."""
    live = tuple(host for host in slot.successors if host in ready)
    if len(slot.chain) < MAX_CHAIN or live == slot.successors:
        return slot
    return attrs.evolve(slot, successors=live, since=plan.version + 1)


def _may_follow(plan, slot, host):
    """Tell whether `host` may be appended to a chain.

    A restarted host first claims the place of its earlier incarnation,
    unless that was fenced without an heir.
    """
    if host in slot.chain:
        return False
    return all(
        other.host_id != host.host_id or other in plan.fenced
        for other in slot.chain
    )


def _fill_up(plan, slot, ready, spread):
    live = [host for host in slot.successors if host in ready]
    if len(live) >= SUCCESSORS:
        return slot
    near = ready.near(f'{slot.owner.host_id}/{slot.since}', SUCCESSORS + 1)
    for _ in range(SUCCESSORS - len(live)):
        used = collections.Counter(ready.rows[host].domain for host in live)
        owner = ready.rows.get(slot.owner)
        if owner is not None:
            used[owner.domain] += SUCCESSORS
        costs = {
            host: (
                used[ready.rows[host].domain],
                spread[slot.owner, host],
                place,
            )
            for place, host in enumerate(near)
            if _may_follow(plan, slot, host)
        }
        if costs:
            best = min(costs, key=costs.__getitem__)
            spread[slot.owner, best] += 1
            live.append(best)
            slot = attrs.evolve(slot, successors=(*slot.successors, best))
    return slot
