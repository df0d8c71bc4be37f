"""System: assigns keys to hosts and writes the plans, as the role holder.

For each service divided by key it drafts the next plan and writes it to the
store. An error while one service is planned costs that service this round
(see `planfaults`).
"""

import functools

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.core import wire
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import plandraft
from laburnumlatch.mesh import planepochs
from laburnumlatch.mesh import planfaults
from laburnumlatch.mesh import planwrites
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.pacing import coldcapacity

TICKET = 'plan/'
READ_TICKET = 'plan/read/'
WRITTEN_TIMER = 'planner/written/'
READ_INTERVAL_MS = 200
PLAN_INTERVAL_MS = 200
# Keys move at most this often: a move takes about as long as a request.
BALANCE_INTERVAL_MS = 1000
# Delay before plans are reconsidered after the store rejected a write.
REJECTED_WRITE_RETRY_MS = 400
# The first plan is written once no further host has become ready for this
# time, so that it divides the keys among all hosts that start together.
FIRST_PLAN_QUIET_MS = 1500
# Latest time of the first plan, even if hosts keep becoming ready.
FIRST_PLAN_MAX_WAIT_MS = 8000
# Mean service time assumed before any request has finished.
DEFAULT_MEAN_MS = 200.0

_log = logs.logger('planner')


def run(agent, now):
    """Plan each service divided by key while this agent holds the role."""
    _process_store_responses(agent, now)
    if not agent.role.is_held or agent.configuration is None:
        return
    _read_plans_if_uncertain(agent, now)
    if agent.due('planner/plan', PLAN_INTERVAL_MS, now):
        for holder in agent.lease_holders:
            planfaults.attempt(
                agent,
                'report',
                holder.host_id,
                functools.partial(_count_reported_load, agent, holder, now),
            )
        _write_next_plan(agent, now)


def _process_store_responses(agent, now):
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        write = agent.plan_writes.pop(written.ticket)
        if write is not None:
            previous = agent.plan_of(write.plan.service)
            members.update_plan(agent, write.plan, written.version)
            planwrites.send_to_all(
                agent, previous, write.plan, written.version, now
            )
    for refused in agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        _log.info('plan-refused', ticket=refused.ticket)
        agent.plan_writes.pop(refused.ticket)
        agent.role.has_plans = False
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        _process_failed_write(agent, failed, now)
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        _process_read(agent, read)


def _process_failed_write(agent, failed, now):
    """Drop a rejected write to plan anew; keep one that may take effect."""
    write = agent.plan_writes.get(failed.ticket)
    if write is None:
        return
    if failed.is_rejected:
        agent.plan_writes.pop(failed.ticket)
        agent.timers.put('planner/plan', now + REJECTED_WRITE_RETRY_MS)
    else:
        write.failed_at = now


def _process_read(agent, read):
    """Update the plans, and drop writes whose outcome the read has shown."""
    sent_at = int(read.ticket.removeprefix(READ_TICKET))
    members.apply_rows(agent, read.rows)
    _forget_lost_rows(agent, read)
    if sent_at >= agent.role.taken_at:
        agent.role.has_plans = True
    for ticket, write in agent.plan_writes.items():
        if write.failed_at is not None and write.failed_at < sent_at:
            agent.plan_writes.pop(ticket)


def _forget_lost_rows(agent, read):
    """Note which plans have no row, as the store was restored."""
    epoch = versions.epoch_of(read.version)
    keys = {row.key for row in read.rows}
    for row in agent.plans:
        is_older = versions.epoch_of(row.row_version) < epoch
        if is_older and f'{members.PLAN_PREFIX}{row.plan.service}' not in keys:
            row.row_version = 0


def _read_plans_if_uncertain(agent, now):
    """Read the plans if this agent may not know the newest ones.

    That is so after the role was taken or a write failed without a response.
    A plan write requires the version of the role's row at that time, so once
    the role is renewed, such a write is too late and a read shows its outcome.
    """
    is_outcome_final = any(
        write.failed_at is not None and write.failed_at < agent.role.renewed_at
        for write in agent.plan_writes
    )
    is_uncertain = is_outcome_final or not agent.role.has_plans
    if is_uncertain and agent.due('planner/read', READ_INTERVAL_MS, now):
        agent.outbox.post(
            storemsg.StoreRead(f'{READ_TICKET}{now}', members.PLAN_PREFIX)
        )


def _write_next_plan(agent, now):
    """Write the first new plan needed, unless a write is still pending."""
    planner_role = agent.role
    may_write = planner_role.has_plans and not planner_role.pending
    may_write = may_write and not len(agent.plan_writes)
    if not may_write or not role.may_lease(planner_role, now):
        return
    services = _divided_services(agent)
    for service in services:
        has_written = planfaults.attempt(
            agent,
            planfaults.PLAN_STEP,
            service,
            functools.partial(_plan, agent, service, now),
        )
        if has_written:
            return
    if planfaults.can_plan_nothing(agent, services):
        role.give_up_if_steady(agent, now)


def _divided_services(agent):
    """Return the names of divided services, the longest without a plan first.

    Only one plan is written at a time, and an evacuation changes those of all
    services.
    """
    services = agent.configuration.services.values()
    return sorted(
        (service.name for service in services if service.is_divided),
        key=lambda name: agent.timers.get(f'{WRITTEN_TIMER}{name}') or 0,
    )


def _plan(agent, service, now):
    """Write the next plan of a service, if any; return whether it did."""
    plan = _next_plan(agent, service, now)
    if plan is None:
        return False
    write_plan(agent, plan)
    agent.timers.put(f'{WRITTEN_TIMER}{service}', now)
    return True


def write_plan(agent, plan):
    """Write the next plan of a service to the store, as the role holder."""
    row = agent.plans.get(plan.service)
    put = storemsg.StorePut(
        f'{TICKET}{agent.next_ticket()}',
        f'{members.PLAN_PREFIX}{plan.service}',
        # A row of the store holds 64 KB: about 500 pieces uncompressed.
        wire.pack_compressed(plan),
        0 if row is None else row.row_version,
        ((role.ROW, agent.role.row_version),),
    )
    agent.plan_writes.put(put.ticket, leaserows.PlanWrite(plan))
    agent.outbox.post(put)


def _next_plan(agent, service, now):
    """Return the next plan of a service, or None if none is to be written."""
    plan = agent.plan_of(service)
    term = agent.role.term
    if planepochs.must_wait_for_leases(agent, plan, now):
        return None
    if plan is not None and not planepochs.is_confirmed(plan, term):
        _log.info('plan-confirmed', service=service, former=plan.version)
        return planepochs.confirm(plan, term)
    candidates = _candidates(agent, service, now)
    if plan is None:
        if not candidates or not _is_first_plan_due(agent, candidates, now):
            return None
        owners = [(host.host_id, host.life) for host in candidates]
        _log.info('first-plan', service=service, hosts=len(owners))
        first = versions.following(0, versions.epoch_of(term))
        return ranges.Plan(service, first, ranges.divide_equally(owners, first))
    if not candidates:
        return None
    pieces = _next_pieces(agent, plan, candidates, now)
    if pieces == plan.pieces:
        return None
    return ranges.Plan(service, plan.version + 1, pieces)


def _next_pieces(agent, plan, candidates, now):
    """Return the pieces of the next plan of a service.

    Neither a failed evacuation nor a failed search for moves keeps lost owners
    from being replaced.
    """
    service = plan.service
    draft = plandraft.PlanDraft(agent, service, candidates, now)
    pieces = tuple(draft.with_usable_owner(piece) for piece in plan.pieces)
    interval_ms = PLAN_INTERVAL_MS * len(_divided_services(agent))
    evacuate = functools.partial(draft.evacuate, pieces, interval_ms)
    pieces = planfaults.attempt(agent, 'evacuate', service, evacuate, pieces)
    if agent.due(f'planner/balance/{service}', BALANCE_INTERVAL_MS, now):
        balance = functools.partial(draft.balance, pieces)
        pieces = planfaults.attempt(agent, 'balance', service, balance, pieces)
    return ranges.join(pieces)


def _is_first_plan_due(agent, candidates, now):
    """Return whether no further host is likely to become ready soon."""
    role_taken_at = agent.role.taken_at
    last_ready_at = max(
        agent.lease_holders.get(host.host_id).ready_since for host in candidates
    )
    quiet_until = max(role_taken_at, last_ready_at) + FIRST_PLAN_QUIET_MS
    return now >= min(quiet_until, role_taken_at + FIRST_PLAN_MAX_WAIT_MS)


def _candidates(agent, service, now):
    """Return the hosts that may own keys of a service, sorted by ID.

    A host without finished requests gets the mean service time of the others.
    """
    loads = agent.bucket_loads.get(service)
    mean_ms = {} if loads is None else loads.mean_ms
    default_ms = (
        sum(mean_ms.values()) / len(mean_ms) if mean_ms else DEFAULT_MEAN_MS
    )
    candidates = [
        balancing.Candidate(
            holder.host_id,
            holder.life,
            holder.slots
            / mean_ms.get(holder.host_id, default_ms)
            / holder.slowness,
        )
        for holder in sorted(agent.lease_holders, key=lambda host: host.host_id)
        if holder.service == service and _can_own_keys(agent, holder, now)
    ]
    limit = functools.partial(
        coldcapacity.limit, agent, service, candidates, now
    )
    return planfaults.attempt(
        agent, 'cold-capacity', service, limit, candidates
    )


def _can_own_keys(agent, holder, now):
    has_backend = holder.life is not None and holder.slots > 0
    return (
        has_backend
        and not holder.is_leaving
        and not domains.is_host_evacuated(agent, holder.host_id)
        and now < holder.last_contact + plandraft.SILENT_MS
    )


def _count_reported_load(agent, holder, now):
    """Count the load that a host has reported since the last call."""
    reports = holder.reports
    if not reports:
        return
    holder.reports = []
    loads = agent.bucket_loads.get(holder.service)
    if loads is None:
        loads = agent.bucket_loads.put(holder.service, bucketloads.create(now))
    for renew in reports:
        bucketloads.add(loads, renew, now)
