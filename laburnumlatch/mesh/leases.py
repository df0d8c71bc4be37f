"""System: leases of owners, asked for and given by datagrams."""

from laburnumlatch.core import logs
from laburnumlatch.mesh import holdings
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import planwrites
from laburnumlatch.mesh import role
from laburnumlatch.mesh import worktimes

RENEW_MS = 400
# Renewals that are not answered by then are forgotten.
MAX_SENT = 16
MAX_BUCKETS = 120
# A plan may be on its way for this time, behind others on a full link.
RETELL_MS = 1200

_log = logs.logger('leases')


def run(agent, now):
    """Ask for the own lease; as the planner, answer those who ask."""
    for told in agent.inbox.take(leasemsg.PlannerIs):
        if role.adopt(agent, told.holder, told.address, told.term, now):
            agent.timers.pop('leases/renew')
    for lease in agent.inbox.take(leasemsg.Lease):
        _take(agent, lease, now)
    for renew in agent.inbox.take(leasemsg.Renew):
        _answer(agent, renew, now)
    if agent.role.holder and agent.due('leases/renew', RENEW_MS, now):
        _renew(agent, now)
    if agent.role.is_held:
        _count_majority(agent, now)


def _renew(agent, now):
    lease = agent.lease
    lease.sequence += 1
    lease.sent[lease.sequence] = now
    while len(lease.sent) > MAX_SENT:
        lease.sent.pop(min(lease.sent))
    renew = _own_renew(agent, now)
    if agent.role.is_held:
        _answer(agent, renew, now)
    else:
        agent.outbox.post(leasemsg.SendDatagram(agent.role.address, renew))


def _own_renew(agent, now):
    own = agent.settings
    backend = agent.backend
    report = agent.report
    buckets = report.buckets.most_common(MAX_BUCKETS)
    agent.report = leaserows.LoadReport()
    is_usable = backend is not None and backend.failed_since is None
    return leasemsg.Renew(
        host_id=own.host_id,
        address=own.peer_address,
        term=agent.role.term,
        sequence=agent.lease.sequence,
        service=own.service,
        life=backend.life if is_usable else None,
        slots=backend.slots if is_usable else 0,
        is_leaving=_is_leaving(agent),
        has_store=agent.role.has_store and agent.is_watching,
        plan_versions=_plan_versions(agent),
        busy_ms=report.busy_ms,
        done=report.done,
        wait_ms=worktimes.expected_wait_ms(agent),
        grants_end_ms=max(0, holdings.grants_end(agent, now) - now),
        buckets=tuple(buckets),
        taken=tuple(
            holding.fence
            for holding in agent.holdings
            if holding.state == leaserows.HoldingState.HELD
        ),
        lease_made=agent.lease.made,
    )


def _is_leaving(agent):
    backend = agent.backend
    is_closing = backend is not None and backend.closing_at is not None
    return is_closing or agent.stopping_since is not None


def _take(agent, lease, now):
    role.adopt(agent, lease.holder, lease.address, lease.term, now)
    sent = agent.lease.sent.get(lease.sequence)
    if lease.term != agent.role.term or sent is None:
        return
    agent.lease.answered = now
    agent.lease.planner_has_store = lease.has_store
    if lease.valid_ms:
        agent.lease.expires = max(agent.lease.expires, sent + lease.valid_ms)
    if lease.sequence > agent.lease.newest:
        # Answers may overtake each other; the newest knows the newest plans.
        agent.lease.newest = lease.sequence
        agent.lease.made = lease.made
        agent.lease.plan_versions = lease.plan_versions
        agent.lease.configuration_version = lease.configuration_version


def _answer(agent, renew, now):
    own_role = agent.role
    if not own_role.is_held:
        _redirect(agent, renew)
        return
    if renew.term > own_role.term:
        # Another planner has taken the role; the row will say who.
        _log.warning('term-outdated', newer=renew.term, own=own_role.term)
        own_role.renewed = 0
        return
    valid_ms = _valid_ms(agent, renew, now)
    lessee = _lessee(agent, renew, now)
    if valid_ms:
        lessee.expires = now + leaserows.latest_end_ms()
    answer = leasemsg.Lease(
        holder=own_role.holder,
        address=own_role.address,
        term=own_role.term,
        sequence=renew.sequence,
        valid_ms=valid_ms,
        # A planner that stops lets another one take the role at once.
        has_store=own_role.has_store and agent.stopping_since is None,
        plan_versions=_plan_versions(agent),
        configuration_version=agent.configuration_version,
        made=now,
    )
    if renew.host_id == agent.host_id:
        _take(agent, answer, now)
        return
    agent.outbox.post(leasemsg.SendDatagram(renew.address, answer))
    _tell_plans(agent, renew, lessee, now)


def _tell_plans(agent, renew, lessee, now):
    """Send the plans that a host does not know and has not just been sent."""
    if lessee.told_at is not None and now < lessee.told_at + RETELL_MS:
        return
    known = dict(renew.plan_versions)
    for row in agent.plans:
        if known.get(row.plan.service, 0) < row.plan.version:
            lessee.told_at = now
            planwrites.send_plan(
                agent, renew.host_id, renew.address, row.plan, row.row_version
            )


def _plan_versions(agent):
    return tuple((row.plan.service, row.plan.version) for row in agent.plans)


def _valid_ms(agent, renew, now):
    """Return how long the lease may last, 0 if none may be given."""
    own_role = agent.role
    if not own_role.has_plans or not role.may_lease(own_role, now):
        return 0
    for write in agent.plan_writes:
        if planwrites.loses_keys(agent, write, renew.host_id):
            # The write may take effect, and the host does not know it.
            return 0
    return leaserows.LEASE_MS


def _redirect(agent, renew):
    known = agent.role
    if known.holder and renew.term < known.term:
        told = leasemsg.PlannerIs(known.holder, known.address, known.term)
        agent.outbox.post(leasemsg.SendDatagram(renew.address, told))


def _lessee(agent, renew, now):
    lessee = agent.lessees.get(renew.host_id)
    if lessee is None:
        lessee = agent.lessees.put(
            renew.host_id,
            leaserows.Lessee(renew.host_id, renew.address, renew.service),
        )
    if renew.term == agent.role.term:
        lessee.heard = now
        # The renewal itself may have waited here for any time.
        is_own = renew.host_id == agent.host_id
        spoke_after = now if is_own else renew.lease_made
        lessee.spoke_after = max(lessee.spoke_after, spoke_after)
        if lessee.first_heard is None:
            lessee.first_heard = now
    lessee.address = renew.address
    lessee.service = renew.service
    lessee.life = renew.life
    if renew.life is not None and lessee.ready_since is None:
        lessee.ready_since = now
    lessee.slots = renew.slots
    lessee.is_leaving = renew.is_leaving
    lessee.grants_end = now + int(
        renew.grants_end_ms * leaserows.LATEST_END_RATE
    )
    lessee.has_store = renew.has_store
    lessee.wait_ms = renew.wait_ms
    lessee.taken = frozenset(renew.taken)
    lessee.reports.append(renew)
    return lessee


def _count_majority(agent, now):
    known = {host.host_id for host in members.live_hosts(agent)}
    known.add(agent.host_id)
    spoke_after = [
        lessee.spoke_after
        for lessee in agent.lessees
        if lessee.host_id in known and lessee.heard
    ]
    needed = len(known) // 2 + 1
    if len(spoke_after) < needed:
        return
    agent.role.majority_at = sorted(spoke_after, reverse=True)[needed - 1]
    if agent.role.majority_since is None:
        agent.role.majority_since = now
