"""System: promises and votes that this agent gives to other hosts."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans
from laburnumlatch.slots import rows

# 5 % longer than the owner counts: clock rates differ by up to 4 % in all.
PROMISE_MS = 1050
GRACE_MS = 200
GRACE_CHURN_MS = 800
# A host that was named and never renewed within this time is lost as well.
JOIN_MS = 5000
REPEAT_MS = 300
TIMER = 'witnesses/repeat'

_log = logs.logger('witnesses')


def run(world, now):
    """Answer renewals, then vote on hosts whose promise has expired."""
    for plan in world.plans:
        _expect(world, plan, now)
    for renew in world.inbox.take(leasemsg.Renew):
        _renew(world, renew, now)
    for surrender in world.inbox.take(leasemsg.Surrender):
        _surrender(world, surrender, now)
    for claim in world.inbox.take(leasemsg.Claim):
        _claim(world, claim, now)
    for ack in world.inbox.take(leasemsg.VoteAck):
        row = world.promises.get(ack.host)
        if row is not None and ack.witness == world.witness:
            row.acked.add(ack.receiver)
    _vote_all(world, now)


def is_needed(world):
    """Tell whether a plan names this agent as witness of another host.

    Incarnations that are fenced already need no further votes.
    """
    return any(
        world.witness in witness_set.everyone
        and witness_set.host.host_id != world.settings.host_id
        and witness_set.host not in plan.fenced
        for plan in world.plans
        for witness_set in plan.witness_sets
    )


def _vote_all(world, now):
    has_voted = False
    for row in world.promises:
        if row.vote_version is None:
            _vote_if_due(world, row, now)
        else:
            has_voted = True
    if has_voted and world.due(TIMER, REPEAT_MS, now):
        for voted in world.promises:
            if voted.vote_version is not None:
                _repeat(world, voted)


def _is_witness(world, service, host):
    plan = world.plans.get(service)
    witness_set = None if plan is None else plan.witness_set(host)
    return witness_set is not None and (world.witness in witness_set.everyone)


def _expect(world, plan, now):
    """Note the hosts that a new plan names this agent a witness of."""
    if world.standing.scanned.get(plan.service) == plan.version:
        return
    world.standing.scanned[plan.service] = plan.version
    for witness_set in plan.witness_sets:
        if world.witness in witness_set.everyone:
            _row(world, plan.service, witness_set.host, now + JOIN_MS)
    past = [row for row in world.promises if _is_past(world, row)]
    for row in past:
        world.promises.pop(row.host)


def _is_past(world, row):
    """Tell whether a host cannot be named again; until then a vote stays."""
    host = world.hosts.get(row.host.host_id)
    if host is None or host.incarnation == row.host.number:
        return False
    return not _is_witness(world, row.service, row.host)


def _row(world, service, host, until):
    row = world.promises.get(host)
    if row is None:
        row = leaserows.Promised(host, service, until)
        world.promises.put(host, row)
    return row


def _accepts(world, message, host):
    own = world.witness
    is_own = message.witness in {own, own.number}
    if is_own and _is_witness(world, message.service, host):
        return True
    _log.debug('message-refused', message=message)
    return False


def _renew(world, renew, now):
    if not _accepts(world, renew, renew.host):
        return
    row = _row(world, renew.service, renew.host, now)
    if row.vote_version is None:
        row.until = now + PROMISE_MS
        answer = leasemsg.Promise(
            renew.host.number,
            world.witness,
            renew.sequence,
            world.plans.get(renew.service).version,
        )
    else:
        answer = leasemsg.Barred(renew.host, world.witness)
    leasemsg.send(world, renew.host.host_id, answer)


def _surrender(world, surrender, now):
    host = surrender.host
    # A host forgets its own votes when it restarts, so it never gives one.
    if host.host_id == world.settings.host_id:
        return
    if not _accepts(world, surrender, host):
        return
    row = _row(world, surrender.service, host, now)
    if row.vote_version is None:
        _vote(world, row, 0)
    leasemsg.send(
        world,
        host.host_id,
        leasemsg.Barred(host, world.witness),
    )


def _claim(world, claim, now):
    if not _accepts(world, claim, claim.old):
        return
    row = _row(world, claim.service, claim.old, now)
    row.claimant = claim.new.number
    if row.vote_version is None and row.until <= now:
        _vote(world, row, row.claimant)
    elif row.vote_version is not None:
        _send_vote(world, row, claim.new.host_id)


def _vote_if_due(world, row, now):
    if row.host.host_id == world.settings.host_id:
        return
    if not _is_witness(world, row.service, row.host):
        return
    due = row.until
    if not row.claimant:
        due += _grace(world, row.service)
    if due <= now:
        _vote(world, row, row.claimant)
    else:
        world.wake_at(due)


def _grace(world, name):
    service = world.services.get(name)
    if service is not None and service.prefer == rows.Prefer.CHURN:
        return GRACE_CHURN_MS
    return GRACE_MS


def _vote(world, row, heir):
    row.vote_version = world.plans.get(row.service).version
    row.heir = heir
    _log.info(
        'fence-voted',
        host=row.host.host_id,
        incarnation=row.host.number,
        plan=row.vote_version,
        heir=heir,
    )
    _repeat(world, row)


def _repeat(world, row):
    """Send the vote to those after the host in its chains who lack it."""
    plan = world.plans.get(row.service)
    if row.receivers_version != plan.version:
        row.receivers_version = plan.version
        row.receivers = frozenset(plans.after(plan, row.host))
    receivers = set(row.receivers)
    # The planner records hosts as fenced that have no successors.
    if world.role.planner is not None:
        receivers.add(world.role.planner)
    if row.heir:
        receivers.add(planrows.Incarnation(row.host.host_id, row.heir))
    for receiver in sorted(receivers - row.acked, key=attrs.astuple):
        _send_vote(world, row, receiver.host_id)


def _send_vote(world, row, receiver):
    leasemsg.send(
        world,
        receiver,
        leasemsg.Vote(
            row.service,
            row.host,
            world.witness,
            row.vote_version,
            row.heir,
        ),
    )
