"""Recovery of slots that no chain leads to; the store is the arbiter."""

import collections

import attrs

from laburnumlatch.core import logs
from laburnumlatch.slots import fences
from laburnumlatch.slots import grants
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import planrows
from laburnumlatch.slots import proposals
from laburnumlatch.slots import rows
from laburnumlatch.slots import takeover

INTERVAL_MS = 500
TIMER = 'recovery/look'
# Votes, claims and contested takeovers have had their turn by then.
AFTER_MS = 4000
# Grants of an earlier process of this agent have ended by then.
STARTED_MS = 1500
# Bounds the size of an inquiry, which is a datagram.
MAX_SLOTS = 64
# More than the length of any chain: no earlier takeover had a higher epoch.
EPOCH_STEP = 16

_log = logs.logger('recovery')


def run(world, now):
    """Answer inquiries; inquire about slots that nobody can serve."""
    for inquiry in world.inbox.take(leasemsg.Inquire):
        _answer(world, inquiry, now)
    for answer in world.inbox.take(leasemsg.Free):
        _count(world, answer)
    if world.due(TIMER, INTERVAL_MS, now):
        for plan in world.plans:
            _recover(world, plan, now)


def is_barred(world, plan, number):
    """Tell whether this host has confirmed not to take a slot as planned."""
    return plan.version <= world.standing.confirmed.get(number, 0)


def _answer(world, inquiry, now):
    """Confirm what this host does not hold, and will not under this plan."""
    plan = world.plans.get(inquiry.service)
    if plan is None or plan.version != inquiry.version:
        return
    clear_from = max(
        world.started + STARTED_MS,
        world.standing.unclear_until,
    )
    if now < clear_from:
        return
    free = tuple(
        number
        for number in inquiry.slots
        if _is_free(world, inquiry.service, number, now)
    )
    if not free:
        return
    world.standing.confirmed.update(dict.fromkeys(free, plan.version))
    leasemsg.send(
        world,
        inquiry.asker.host_id,
        leasemsg.Free(plan.service, plan.version, free, world.incarnation),
    )


def _is_free(world, service, number, now):
    if grants.in_flight(world, service, number):
        return False
    row = world.slots.get((service, number))
    if row is None:
        return True
    if row.is_held and not world.standing.is_gone:
        return False
    return grants.is_withdrawn(world, row, now)


def _count(world, answer):
    for number in answer.slots:
        row = world.recoveries.get((answer.service, number))
        if row is not None and row.version == answer.version:
            row.free[answer.host.host_id] = answer.host


def _recover(world, plan, now):
    stuck = _stuck(world, plan, now)[:MAX_SLOTS]
    if not stuck:
        return
    for row in stuck:
        if row.version != plan.version:
            row.version = plan.version
            row.free.clear()
    ready = [found for found in stuck if _is_complete(world, plan, found)]
    if ready and proposals.is_open(world, plan.service, now):
        _write(world, plan, ready, now)
        return
    numbers = tuple(found.number for found in stuck)
    inquiry = leasemsg.Inquire(
        plan.service, plan.version, numbers, world.incarnation
    )
    for host_id in sorted(_incarnations(world, plan)):
        leasemsg.send(world, host_id, inquiry)


def _stuck(world, plan, now):
    """Return the rows of slots that this host has to recover by now."""
    numbers = world.standing.index
    planner = world.role.planner
    own_server = world.local_server()
    is_own = own_server is not None and own_server.service == plan.service
    if planner == world.incarnation:
        numbers = range(len(plan.slots))
    elif not is_own:
        return []
    found = []
    for number in numbers:
        key = (plan.service, number)
        if not _is_mine(world, plan, number):
            world.recoveries.pop(key)
            continue
        row = world.recoveries.get(key)
        if row is None:
            wait_ms = AFTER_MS + takeover.wait_ms(world, plan.service)
            row = leaserows.Recovery(plan.service, number, now + wait_ms)
            world.recoveries.put(key, row)
        if now >= row.due:
            found.append(row)
    return found


def _is_mine(world, plan, number):
    """Tell whether this host comes next in a chain, or a planner no one."""
    for host in plan.slots[number].chain:
        if host == world.incarnation:
            row = world.slots.get((plan.service, number))
            return row is None or not row.is_held
        if not _seems_out(world, plan, number, host):
            return False
    return world.role.planner == world.incarnation


def _seems_out(world, plan, number, host):
    """Tell whether a host of a chain looks gone; proof comes later."""
    if host in plan.fenced or (plan.service, number, host) in world.releases:
        return True
    return not _is_ready(world, host)


def _is_ready(world, host):
    if host.host_id == world.settings.host_id and host != world.incarnation:
        return False
    known = world.hosts.get(host.host_id)
    return (
        known is not None
        and known.incarnation == host.number
        and known.state == rows.HostState.READY
    )


def _incarnations(world, plan):
    """Return all known incarnations of hosts of the service, by host ID."""
    found = collections.defaultdict(set)
    for row in plan.witness_sets:
        found[row.host.host_id].add(row.host)
    for slot in plan.slots:
        for one in slot.chain:
            found[one.host_id].add(one)
    for host in world.hosts:
        if host.service == plan.service:
            found[host.host_id].add(
                planrows.Incarnation(host.host_id, host.incarnation)
            )
    return found


def _is_complete(world, plan, row):
    """Tell whether no host can hold the slot under this or an older plan.

    Each has confirmed that, or has left, or all its incarnations are fenced.
    """
    return bool(row.free) and all(
        host_id in row.free
        or all(_has_ended(world, plan, one) for one in incarnations)
        for host_id, incarnations in _incarnations(world, plan).items()
    )


def _has_ended(world, plan, host):
    known = world.hosts.get(host.host_id)
    has_left = (
        known is not None
        and known.incarnation == host.number
        and known.state == rows.HostState.LEFT
    )
    return (
        has_left
        or host in plan.fenced
        or fences.is_fenced(world, plan, host, 0, None)
    )


def _write(world, plan, ready, now):
    slots = list(plan.slots)
    owned = collections.Counter(slot.owner for slot in slots)
    for row in ready:
        old = slots[row.number]
        able = [
            host for host in row.free.values() if _may_own(world, plan, host)
        ]
        if not able:
            continue
        in_chain = [host for host in old.chain if host in able]
        owner = in_chain[0] if in_chain else min(able, key=owned.__getitem__)
        owned[owner] += 1
        epoch = old.epoch + EPOCH_STEP
        slots[row.number] = planrows.SlotPlan(
            owner, (), epoch, plan.version + 1
        )
        _log.info(
            'slot-owner',
            service=plan.service,
            slot=row.number,
            owner=owner.host_id,
            epoch=epoch,
            reason='recovery',
        )
    if slots != list(plan.slots):
        proposals.propose(world, attrs.evolve(plan, slots=tuple(slots)), now)


def _may_own(world, plan, host):
    if host in plan.fenced or plan.witness_set(host) is None:
        return False
    return _is_ready(world, host)
