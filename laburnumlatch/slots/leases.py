"""System: the lease of this host, renewed with its witnesses."""

import functools

from laburnumlatch.core import logs
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import planrows

LEASE_MS = 1000
RENEW_MS = 300
TIMER = 'leases/renew'
# Renewals still unanswered after this many would not extend the lease.
MAX_UNANSWERED = 4
# Witnesses that can still vote have done so long before, so what is left is
# a host with too few witnesses, which nobody can fence.
RETIRE_MS = 4000
NUMBER_BITS = 48

_log = logs.logger('leases')


def run(world, now):
    """Count promises, renew when due, start anew if fenced."""
    for promise in world.inbox.take(leasemsg.Promise):
        _count(world, promise)
    for barred in world.inbox.take(leasemsg.Barred):
        lease = world.leases.get(barred.witness)
        if lease is not None and barred.host == world.incarnation:
            lease.barred = True
    if is_fenced(world):
        if world.standing.departure == leaserows.Departure.NO:
            start_anew(world, 'fenced')
        return
    witness_set = own_set(world)
    if witness_set is None or world.standing.is_gone:
        return
    _settle(world, witness_set, now)
    if _is_lost(world, now):
        _retire(world)
    elif world.due(TIMER, RENEW_MS, now):
        _renew(world, witness_set, now)


def _is_lost(world, now):
    """Tell whether renewing has been in vain for RETIRE_MS."""
    standing = world.standing
    if valid_until(world) > now:
        standing.unleased_since = None
        return False
    if standing.unleased_since is None:
        standing.unleased_since = now
    is_staying = standing.departure == leaserows.Departure.NO
    return is_staying and now - standing.unleased_since >= RETIRE_MS


def _retire(world):
    """End an incarnation that too few witnesses are left to fence."""
    retired = leaserows.Retired(
        world.incarnation,
        own_plan(world).service,
        _excluded(world),
    )
    world.retired.put(retired.host, retired)
    start_anew(world, 'no lease')


def _excluded(world):
    """Return the newest plan version of which `excludes_older` holds."""
    versions = {lease.version for lease in world.leases}
    return max(
        filter(functools.partial(excludes_older, world), versions), default=0
    )


def own_plan(world):
    """Return the plan of the local backend server's service, or None."""
    server = world.local_server()
    return None if server is None else world.plans.get(server.service)


def own_set(world):
    """Return the `planrows.WitnessSet` of this incarnation, or None."""
    plan = own_plan(world)
    return None if plan is None else plan.witness_set(world.incarnation)


def valid_until(world):
    """Return the time in ms at which this host's lease ends."""
    witness_set = own_set(world)
    if witness_set is None:
        return 0
    if world.standing.is_gone:
        return 0
    until = _group_until(world, witness_set.witnesses)
    if not witness_set.former or _is_settled(world, witness_set):
        return until
    former_until = _group_until(world, witness_set.former)
    # The new set counts only once votes for an older plan are excluded.
    if has_promised(world, witness_set.former, witness_set.since):
        return max(until, former_until)
    return former_until


def has_promised(world, witnesses, version):
    """Tell whether a majority has promised at plan `version` or later."""
    ready = [
        witness
        for witness in witnesses
        if (lease := world.leases.get(witness)) and lease.version >= version
    ]
    return len(ready) >= planrows.majority(len(witnesses))


def excludes_older(world, version):
    """Tell whether votes before `version` can no longer fence this host."""
    witness_set = own_set(world)
    if witness_set is None:
        return False
    if witness_set.former and has_promised(world, witness_set.former, version):
        return True
    changed_over = not witness_set.former or has_promised(
        world, witness_set.former, witness_set.since
    )
    return changed_over and has_promised(world, witness_set.witnesses, version)


def is_fenced(world):
    """Tell whether this incarnation can never hold its lease again."""
    plan = own_plan(world)
    if plan is None:
        return False
    if world.incarnation in plan.fenced:
        return True
    witness_set = plan.witness_set(world.incarnation)
    return witness_set is not None and all(
        _barred(world, group) for group in witness_set.groups
    )


def is_settled(world):
    """Tell whether this host no longer needs its former witness set."""
    witness_set = own_set(world)
    return (
        witness_set is not None
        and bool(witness_set.former)
        and _is_settled(world, witness_set)
    )


def start_anew(world, reason):
    """Drop all that this incarnation had and take a new number."""
    old = world.incarnation
    world.incarnation = planrows.Incarnation(
        old.host_id,
        world.rng.getrandbits(NUMBER_BITS),
    )
    # Promises and votes to others stay: the witness is the process.
    for table in (world.leases, world.slots):
        table.clear()
    # Grants of the old incarnation may still be live at the backend server.
    given = world.standing.given
    given_ends = [end for _slot, _token, end in given.ends] if given else []
    world.standing = leaserows.Standing(
        unclear_until=max(world.standing.unclear_until, *given_ends, 0),
    )
    world.wake_at(0)
    _log.warning(
        'incarnation-ended',
        incarnation=old.number,
        next=world.incarnation.number,
        reason=reason,
    )


def _barred(world, group):
    votes = sum(
        1
        for witness in group
        if (lease := world.leases.get(witness)) and lease.barred
    )
    return votes >= planrows.majority(len(group))


def _is_settled(world, witness_set):
    return world.standing.settled >= witness_set.since


def _settle(world, witness_set, now):
    """Give up the former set once the new one alone carries the lease."""
    if not witness_set.former or _is_settled(world, witness_set):
        return
    since = witness_set.since
    if (
        has_promised(world, witness_set.former, since)
        and has_promised(world, witness_set.witnesses, since)
        and _group_until(world, witness_set.witnesses) > now
    ):
        world.standing.settled = since


def _group_until(world, witnesses):
    ends = sorted(
        (
            lease.until if (lease := world.leases.get(witness)) else 0
            for witness in witnesses
        ),
        reverse=True,
    )
    return ends[planrows.majority(len(ends)) - 1] if ends else 0


def _count(world, promise):
    lease = world.leases.get(promise.witness)
    if lease is None or promise.host != world.incarnation.number:
        return
    sent = lease.sent.pop(promise.sequence, None)
    if sent is not None:
        # Counted from before the send: the witness counts from later on.
        lease.until = max(lease.until, sent + LEASE_MS)
        lease.version = max(lease.version, promise.plan_version)


def _renew(world, witness_set, now):
    plan = own_plan(world)
    world.standing.sequence += 1
    sequence = world.standing.sequence
    for witness in witness_set.everyone:
        lease = world.leases.get(witness)
        if lease is None:
            lease = world.leases.put(witness, leaserows.Lease(witness))
        if lease.barred:
            continue
        lease.sent[sequence] = now
        lease.sent.pop(sequence - MAX_UNANSWERED, None)
        leasemsg.send(
            world,
            witness.host_id,
            leasemsg.Renew(
                plan.service,
                world.incarnation,
                witness.number,
                sequence,
                plan.version,
            ),
        )
