"""System: assigns keys to hosts and writes the plans, as the role holder.

For each service divided by key it replaces owners that are gone or leaving,
moves keys to even out the load, and writes the resulting plan to the store.
"""

import heapq

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import leaseends
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import planwrites
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role

TICKET = 'plan/'
READ_TICKET = 'plan/read/'
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
# A host without contact for this time gets no keys.
SILENT_MS = 1500
# Hosts and buckets named in the log line of a balancing round.
MAX_LOGGED_ENTRIES = 4

_log = logs.logger('planner')


def run(agent, now):
    """Plan each service divided by key while this agent holds the role."""
    _process_store_responses(agent, now)
    if not agent.role.is_held or agent.configuration is None:
        return
    _read_plans_if_uncertain(agent, now)
    if agent.due('planner/plan', PLAN_INTERVAL_MS, now):
        for holder in agent.lease_holders:
            _count_reported_load(agent, holder, now)
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
    if sent_at >= agent.role.taken_at:
        agent.role.has_plans = True
    for ticket, write in agent.plan_writes.items():
        if write.failed_at is not None and write.failed_at < sent_at:
            agent.plan_writes.pop(ticket)


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
    for service in agent.configuration.services.values():
        if service.is_divided:
            plan = _next_plan(agent, service.name, now)
            if plan is not None:
                _write_plan(agent, plan)
                return


def _write_plan(agent, plan):
    row = agent.plans.get(plan.service)
    ticket = f'{TICKET}{agent.next_ticket()}'
    agent.plan_writes.put(ticket, leaserows.PlanWrite(plan))
    agent.outbox.post(
        storemsg.StorePut(
            ticket,
            f'{members.PLAN_PREFIX}{plan.service}',
            # A row of the store holds 64 KB: about 500 pieces uncompressed.
            wire.pack_compressed(plan),
            0 if row is None else row.row_version,
            ((role.ROW, agent.role.row_version),),
        )
    )


def _next_plan(agent, service, now):
    """Return the next plan of a service, or None if none is to be written."""
    candidates = _candidates(agent, service, now)
    plan = agent.plan_of(service)
    if plan is None:
        if not candidates or not _is_first_plan_due(agent, candidates, now):
            return None
        owners = [(host.host_id, host.life) for host in candidates]
        _log.info('first-plan', service=service, hosts=len(owners))
        return ranges.Plan(service, 1, ranges.divide_equally(owners))
    if not candidates:
        return None
    version = plan.version + 1
    draft = _PlanDraft(agent, service, candidates, now)
    pieces = tuple(draft.with_usable_owner(piece) for piece in plan.pieces)
    if agent.due(f'planner/balance/{service}', BALANCE_INTERVAL_MS, now):
        pieces = draft.balance(pieces)
    pieces = ranges.join(pieces)
    if pieces == plan.pieces:
        return None
    return ranges.Plan(service, version, pieces)


def _is_first_plan_due(agent, candidates, now):
    """Return whether no further host is likely to become ready soon."""
    role_taken_at = agent.role.taken_at
    last_ready_at = max(
        agent.lease_holders.get(host.host_id).ready_since for host in candidates
    )
    quiet_until = max(role_taken_at, last_ready_at) + FIRST_PLAN_QUIET_MS
    return now >= min(quiet_until, role_taken_at + FIRST_PLAN_MAX_WAIT_MS)


class _PlanDraft:
    """Decides the owners of all pieces of one service for the next plan."""

    def __init__(self, agent, service, candidates, now):
        self._agent = agent
        self._service = service
        self._now = now
        self._candidate_by_id = {host.host_id: host for host in candidates}
        self._candidates = candidates
        loads = agent.bucket_loads.get(service) or bucketloads.create(now)
        bucketloads.decay(loads, now)
        self._rates = bucketloads.rates(loads, now)
        self._window_s = bucketloads.effective_window_s(loads, now)
        plan = agent.plan_of(service)
        self._last_fence = max(piece.fence for piece in plan.pieces)
        self._relative_loads = balancing.relative_load_by_host(
            plan.pieces, self._rates, candidates
        )
        self._total_rate = max(
            sum(balancing.load_of(piece, self._rates) for piece in plan.pieces),
            balancing.MIN_RATE,
        )

    def with_usable_owner(self, piece):
        """Return the piece, with a new owner if the present one cannot serve.

        A piece whose owner may still hold its keys stays as it is, unless the
        owner is leaving and can hand them over.
        """
        piece = self._without_released_former(piece)
        owner = self._candidate_by_id.get(piece.host_id)
        if owner is not None and owner.life == piece.life:
            return piece
        if self._holds_no_keys(piece.host_id, piece.life):
            return self._assign(piece, piece.former)
        holder = self._agent.lease_holders.get(piece.host_id)
        is_leaving = (
            holder is not None
            and holder.is_leaving
            and holder.life == piece.life
        )
        if is_leaving and not piece.former:
            return self._assign(piece, piece.host_id)
        return piece

    def balance(self, pieces):
        """Return the pieces after the moves that even out the load.

        Pieces being handed over neither move nor block other moves: otherwise
        one owner that does not release its keys would stop all balancing.
        """
        search_result = balancing.find_moves(
            pieces, self._rates, self._candidates, self._window_s
        )
        self._record_round(search_result)
        for move in search_result.moves:
            pieces = ranges.split(pieces, (move.start, move.end + 1))
            pieces = tuple(
                self._apply_move(piece, move)
                if move.start <= piece.start <= move.end
                else piece
                for piece in pieces
            )
        return pieces

    def _record_round(self, search_result):
        """Count a balancing round, and log it unless the load was even."""
        counting.count(
            self._agent,
            'balance_rounds',
            service=self._service,
            outcome=search_result.outcome,
        )
        if search_result.outcome == balancing.Outcome.EVEN:
            return
        _log.info(
            'balanced',
            outcome=search_result.outcome,
            moves=len(search_result.moves),
            use_before=_highest(self._relative_loads),
            busiest_after=search_result.busiest,
            use_after=round(search_result.relative_load, 2),
            hosts=len(self._candidates),
            cells=_highest(self._rates),
            counted_s=round(self._window_s, 1),
        )

    def _next_fence(self):
        """Return a fencing token above all earlier ones, for one piece."""
        self._last_fence += 1
        return self._last_fence

    def _apply_move(self, piece, move):
        target = self._candidate_by_id[move.host_id]
        return attrs.evolve(
            piece,
            host_id=target.host_id,
            life=target.life,
            fence=self._next_fence(),
            former=piece.host_id,
        )

    def _without_released_former(self, piece):
        """Return the piece without its former owner if that has released it.

        The new owner must report the piece as held, or the former hold no keys.
        """
        if not piece.former:
            return piece
        owner = self._agent.lease_holders.get(piece.host_id)
        is_held = owner is not None and piece.fence in owner.held_fences
        if is_held or self._holds_no_keys(piece.former, None):
            return attrs.evolve(piece, former='')
        return piece

    def _assign(self, piece, former):
        """Return the piece with the host of the lowest relative load as owner.

        `former` is the host that must release the piece first, or empty.
        """
        others = [host for host in self._candidates if host.host_id != former]
        if not others:
            return piece
        target = min(others, key=self._relative_load_of)
        share = balancing.load_of(piece, self._rates) / self._total_rate
        capacity = sum(host.capacity for host in self._candidates)
        self._relative_loads[target.host_id] += (
            share * capacity / target.capacity
        )
        _log.info(
            'piece-given',
            start=piece.start,
            end=piece.end,
            owner=piece.host_id,
            next_owner=target.host_id,
            former=former,
        )
        return attrs.evolve(
            piece,
            host_id=target.host_id,
            life=target.life,
            fence=self._next_fence(),
            former=former,
        )

    def _relative_load_of(self, candidate):
        return self._relative_loads[candidate.host_id]

    def _holds_no_keys(self, host_id, life):
        """Return whether a host certainly holds no keys.

        `life` is the run of its backend server that owned the keys, None for
        any. A host with recent contact holds none if it reports another run or
        none, and its leases and grants for the owning one have ended. For any
        other host all leases must have expired, also those from earlier
        planners.
        """
        holder = self._agent.lease_holders.get(host_id)
        if holder is not None and self._now < holder.last_contact + SILENT_MS:
            return leaseends.holds_no_keys(holder, life, self._now)
        leases_end = role.former_leases_end(
            self._agent.role,
            self._agent.lease_holders,
            leaserows.latest_end_ms(),
        )
        if holder is not None:
            leases_end = max(leases_end, holder.expires)
        return self._now >= leases_end


def _highest(values):
    """Return the few highest values by name, for a log line."""
    names = heapq.nlargest(MAX_LOGGED_ENTRIES, values, key=values.get)
    return {name: round(values[name], 2) for name in names}


def _candidates(agent, service, now):
    """Return the hosts that may own keys of a service, sorted by ID.

    A host without finished requests gets the mean service time of the others.
    """
    loads = agent.bucket_loads.get(service)
    mean_ms = {} if loads is None else loads.mean_ms
    default_ms = (
        sum(mean_ms.values()) / len(mean_ms) if mean_ms else DEFAULT_MEAN_MS
    )
    return [
        balancing.Candidate(
            holder.host_id,
            holder.life,
            holder.slots / mean_ms.get(holder.host_id, default_ms),
        )
        for holder in sorted(agent.lease_holders, key=lambda host: host.host_id)
        if holder.service == service and _can_own_keys(holder, now)
    ]


def _can_own_keys(holder, now):
    has_backend = holder.life is not None and holder.slots > 0
    return (
        has_backend
        and not holder.is_leaving
        and now < holder.last_contact + SILENT_MS
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
