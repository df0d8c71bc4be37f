"""System: leases of hosts, requested and issued by datagrams.

Each host sends renewals to the planner, which responds with a lease. A host
holds its keys only while its lease lasts.

A lease is for one run of the host's backend server. A renewal that names
another run, or none since the server does not respond, gives up all leases
before it: the planner may then reassign the keys as soon as the grants that the
renewal reports have ended.
"""

from laburnumlatch.core import clock
from laburnumlatch.core import logs
from laburnumlatch.mesh import grantends
from laburnumlatch.mesh import handovers
from laburnumlatch.mesh import leaseends
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import planepochs
from laburnumlatch.mesh import planwrites
from laburnumlatch.mesh import role
from laburnumlatch.mesh import tableviews
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.pacing import coldness
from laburnumlatch.mesh.pacing import serverload

RENEW_MS = 400
# The send times of this many renewals are kept; leases in response to older
# ones are ignored.
MAX_KEPT_RENEWALS = 16
# A renewal must fit into one datagram. What is left out comes with a later one:
# the planner answers fences that are reported by a plan without them.
MAX_REPORTED_BUCKETS = 100
MAX_REPORTED_FENCES = 60
# A host is sent missing plans at most this often: a plan may take so long to
# arrive, behind others on a full link.
PLAN_RESEND_MS = 1200

_log = logs.logger('leases')


def run(agent, now):
    """Renew this host's lease; as the planner, respond to renewals."""
    for message in agent.inbox.take(leasemsg.PlannerIs):
        if role.follow_planner(
            agent, message.holder, message.address, message.term, now
        ):
            agent.timers.pop('leases/renew')
    for lease in agent.inbox.take(leasemsg.Lease):
        _process_lease(agent, lease, now)
    for renew in agent.inbox.take(leasemsg.Renew):
        _process_renewal(agent, renew, now)
    if _has_news(agent, now):
        agent.timers.pop('leases/renew')
    if agent.role.holder and agent.due('leases/renew', RENEW_MS, now):
        _send_renewal(agent, now)
    if agent.role.is_held:
        _update_majority(agent, now)


def _has_news(agent, now):
    """Return whether keys may be given away or leased by the next renewal."""
    lease = agent.lease
    if _usable_life(agent) != lease.life:
        return True
    return lease.reports_grants and grantends.grants_end(agent, now) <= now


def _send_renewal(agent, now):
    lease = agent.lease
    lease.sequence += 1
    lease.sent_at[lease.sequence] = now
    while len(lease.sent_at) > MAX_KEPT_RENEWALS:
        lease.sent_at.pop(min(lease.sent_at))
    life = _usable_life(agent)
    if life != lease.life:
        lease.give_up(life, lease.sequence)
    renew = _create_renewal(agent, now)
    if agent.role.is_held:
        _process_renewal(agent, renew, now)
    else:
        agent.outbox.post(leasemsg.SendDatagram(agent.role.address, renew))


def _create_renewal(agent, now):
    """Return the next renewal; the load report starts again from zero."""
    settings = agent.settings
    backend = agent.backend
    report = agent.load_report
    buckets = report.buckets.most_common(MAX_REPORTED_BUCKETS)
    agent.load_report = leaserows.LoadReport()
    life = agent.lease.life
    grants_end_ms = max(0, grantends.grants_end(agent, now) - now)
    agent.lease.reports_grants = grants_end_ms > 0
    return leasemsg.Renew(
        host_id=settings.host_id,
        address=settings.peer_address,
        term=agent.role.term,
        sequence=agent.lease.sequence,
        service=settings.service,
        life=life,
        slots=0 if life is None else serverload.usable_slots(backend),
        is_leaving=_is_leaving(agent),
        has_store=agent.role.has_store and agent.members_view.is_watched,
        plan_versions=_plan_versions(agent),
        busy_ms=round(report.busy_ms),
        done=report.done,
        wait_ms=forecast.expected_wait_ms(agent),
        grants_end_ms=grants_end_ms,
        buckets=tuple(buckets),
        held_fences=tuple(
            handovers.reported_fences(agent)[:MAX_REPORTED_FENCES]
        ),
        lease_issued_at=agent.lease.issued_at,
        cold_ms=coldness.remaining_ms(agent, now),
        slowness=serverload.usual_slowness(agent),
        busy_us=round(report.busy_ms * clock.US_PER_MS),
    )


def _usable_life(agent):
    """Return the run of the backend server, None unless it responds."""
    backend = agent.backend
    if backend is None or backend.failed_since is not None:
        return None
    return backend.life


def _is_leaving(agent):
    backend = agent.backend
    is_closing = backend is not None and backend.closing_at is not None
    return is_closing or agent.stopping_since is not None


def _process_lease(agent, lease, now):
    role.follow_planner(agent, lease.holder, lease.address, lease.term, now)
    sent_at = agent.lease.sent_at.get(lease.sequence)
    if lease.term != agent.role.term or sent_at is None:
        return
    agent.lease.planner_contact_at = now
    agent.lease.planner_has_store = lease.has_store
    is_for_life = (
        agent.lease.life is not None
        and lease.sequence >= agent.lease.life_since
    )
    if lease.valid_ms and is_for_life:
        agent.lease.expires = max(agent.lease.expires, sent_at + lease.valid_ms)
    if lease.sequence > agent.lease.newest_sequence:
        # Leases may arrive out of order; the one for the newest renewal has the
        # newest plan versions.
        agent.lease.newest_sequence = lease.sequence
        agent.lease.issued_at = lease.issued_at
        agent.lease.plan_versions = lease.plan_versions
        agent.lease.configuration_version = lease.configuration_version
        agent.lease.is_provisional = lease.is_provisional
        tableviews.compare(agent.operator_view, lease.operator_version, now)
        tableviews.compare(agent.members_view, lease.members_version, now)
        _send_newer_plans(agent, lease, now)


def _process_renewal(agent, renew, now):
    planner_role = agent.role
    if not planner_role.is_held:
        _redirect(agent, renew)
        return
    if renew.term > planner_role.term:
        # Another planner has taken the role; the next read of the role's row
        # tells which.
        _log.warning('term-outdated', newer=renew.term, own=planner_role.term)
        planner_role.renewed_at = 0
        return
    if renew.term < planner_role.term:
        # It may have been sent long ago; `PlannerIs` brings the next one.
        _redirect(agent, renew)
        return
    lease_holder = _update_lease_holder(agent, renew, now)
    valid_ms = _valid_ms(agent, renew, lease_holder, now)
    if valid_ms:
        leaseends.record_lease(lease_holder, now)
    lease = leasemsg.Lease(
        holder=planner_role.holder,
        address=planner_role.address,
        term=planner_role.term,
        sequence=renew.sequence,
        valid_ms=valid_ms,
        # False while this agent stops, so that another one takes the role at
        # once.
        has_store=planner_role.has_store and agent.stopping_since is None,
        plan_versions=_plan_versions(agent),
        configuration_version=agent.configuration_version,
        issued_at=now,
        is_provisional=planepochs.are_leases_provisional(agent),
        operator_version=agent.operator_view.changed_in,
        members_version=agent.members_view.changed_in,
    )
    if renew.host_id == agent.host_id:
        _process_lease(agent, lease, now)
        return
    agent.outbox.post(leasemsg.SendDatagram(renew.address, lease))
    _send_missing_plans(agent, renew, lease_holder, now)


def _send_missing_plans(agent, renew, lease_holder, now):
    """Send the plans that a host lacks, unless a plan was sent just before."""
    if (
        lease_holder.plan_sent_at is not None
        and now < lease_holder.plan_sent_at + PLAN_RESEND_MS
    ):
        return
    host_versions = dict(renew.plan_versions)
    for row in agent.plans:
        if host_versions.get(row.plan.service, 0) < row.plan.version:
            lease_holder.plan_sent_at = now
            planwrites.send_plan(
                agent, renew.host_id, renew.address, row.plan, row.row_version
            )


def _send_newer_plans(agent, lease, now):
    """Send the planner the plans that it lacks as the store was restored."""
    known_versions = dict(lease.plan_versions)
    newer = [
        row
        for row in agent.plans
        if not planepochs.is_confirmed(row.plan, lease.term)
        and row.plan.version > known_versions.get(row.plan.service, 0)
    ]
    if newer and agent.due('leases/plans', PLAN_RESEND_MS, now):
        for row in newer:
            planwrites.send_plan(
                agent, lease.holder, lease.address, row.plan, row.row_version
            )


def _plan_versions(agent):
    return tuple((row.plan.service, row.plan.version) for row in agent.plans)


def _valid_ms(agent, renew, lease_holder, now):
    """Return how long the lease may last, 0 if none may be issued."""
    planner_role = agent.role
    if not planner_role.has_plans or not role.may_lease(planner_role, now):
        return 0
    if not leaseends.may_renew(lease_holder, now):
        return 0
    if _knows_newer_plan(agent, renew):
        # The store was restored, and the plan that the host sends is lost.
        return 0
    for write in agent.plan_writes:
        if planwrites.loses_keys(agent, write, renew.host_id):
            # The write may take effect without the host's knowledge.
            return 0
    return leaserows.LEASE_MS


def _knows_newer_plan(agent, renew):
    """Return whether the host has a plan that this planner does not know."""
    own_versions = dict(_plan_versions(agent))
    newer = [
        (service, version)
        for service, version in renew.plan_versions
        if version > own_versions.get(service, 0)
    ]
    if newer:
        _log.warning('plan-behind', host=renew.host_id, newer=newer[0])
    return bool(newer)


def _redirect(agent, renew):
    """Send the present planner's address to a host that has an older term."""
    planner_role = agent.role
    if planner_role.holder and renew.term < planner_role.term:
        message = leasemsg.PlannerIs(
            planner_role.holder, planner_role.address, planner_role.term
        )
        agent.outbox.post(leasemsg.SendDatagram(renew.address, message))


def _update_lease_holder(agent, renew, now):
    """Update the row of the host that sent `renew` and return it."""
    lease_holder = agent.lease_holders.get(renew.host_id)
    if lease_holder is None:
        lease_holder = agent.lease_holders.put(
            renew.host_id,
            leaserows.LeaseHolder(renew.host_id, renew.address, renew.service),
        )
    lease_holder.last_contact = now
    # The renewal may have been waiting here for any time, if this process was
    # paused. It was certainly sent after the lease whose time of issue it
    # returns.
    is_own = renew.host_id == agent.host_id
    confirmed_contact = now if is_own else renew.lease_issued_at
    lease_holder.confirmed_contact = max(
        lease_holder.confirmed_contact, confirmed_contact
    )
    leaseends.end_if_given_up(lease_holder, renew)
    lease_holder.address = renew.address
    lease_holder.service = renew.service
    lease_holder.life = renew.life
    if renew.life is not None and lease_holder.ready_since is None:
        lease_holder.ready_since = now
    lease_holder.slots = renew.slots
    lease_holder.is_leaving = renew.is_leaving
    leaseends.update_grants_end(lease_holder, renew, now)
    lease_holder.has_store = renew.has_store
    lease_holder.wait_ms = renew.wait_ms
    lease_holder.cold_until = now + renew.cold_ms
    lease_holder.slowness = renew.slowness
    lease_holder.held_fences = frozenset(renew.held_fences)
    lease_holder.reports.append(renew)
    return lease_holder


def _update_majority(agent, now):
    """Compute the time after which a majority of hosts was in contact."""
    host_ids = {host.host_id for host in members.live_hosts(agent)}
    host_ids.add(agent.host_id)
    contacts = [
        lease_holder.confirmed_contact
        for lease_holder in agent.lease_holders
        if lease_holder.host_id in host_ids and lease_holder.last_contact
    ]
    majority = len(host_ids) // 2 + 1
    if len(contacts) < majority:
        return
    agent.role.majority_contact = sorted(contacts, reverse=True)[majority - 1]
    if agent.role.majority_since is None:
        agent.role.majority_since = now
