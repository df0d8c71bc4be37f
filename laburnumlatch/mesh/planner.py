"""System: the planner writes who owns which keys, as holder of its role."""

import heapq

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import planwrites
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role

TICKET = 'plan/'
READ_TICKET = 'plan/read/'
READ_MS = 200
PLAN_MS = 200
# Load moves only this often: a move takes about a request's time.
BALANCE_MS = 1000
# A write that the store turned down is made again after this time.
REJECTED_MS = 400
# The first plan waits until for this time no further host became ready, so
# that it divides the keys among all hosts that start together.
FIRST_PLAN_MS = 1500
# A host that is always the next to become ready holds it up no longer.
LATEST_FIRST_PLAN_MS = 8000
DEFAULT_MEAN_MS = 200.0
SILENT_MS = 1500
# So many hosts and buckets are named in the line of a round.
TOLD = 4

_log = logs.logger('planner')


def run(agent, now):
    """Plan every divided service while this agent holds the role."""
    _answers(agent, now)
    if not agent.role.is_held or agent.configuration is None:
        return
    _read_if_unsure(agent, now)
    if agent.due('planner/plan', PLAN_MS, now):
        for lessee in agent.lessees:
            _learn(agent, lessee, now)
        _plan_all(agent, now)


def _answers(agent, now):
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        write = agent.plan_writes.pop(written.ticket)
        if write is not None:
            known = agent.plan_of(write.plan.service)
            members.take_plan(agent, write.plan, written.version)
            planwrites.tell_all(agent, known, write.plan, written.version, now)
    for refused in agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        _log.info('plan-refused', ticket=refused.ticket)
        agent.plan_writes.pop(refused.ticket)
        agent.role.has_plans = False
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        _write_failed(agent, failed, now)
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        _take_read(agent, read)


def _write_failed(agent, failed, now):
    write = agent.plan_writes.get(failed.ticket)
    if write is None:
        return
    if failed.is_rejected:
        agent.plan_writes.pop(failed.ticket)
        agent.timers.put('planner/plan', now + REJECTED_MS)
    else:
        write.failed = now


def _take_read(agent, read):
    """Settle what is known of the plans, and writes that had no answer."""
    asked = int(read.ticket.removeprefix(READ_TICKET))
    members.take_rows(agent, read.rows)
    if asked >= agent.role.taken:
        agent.role.has_plans = True
    for ticket, write in agent.plan_writes.items():
        if write.failed is not None and write.failed < asked:
            agent.plan_writes.pop(ticket)


def _read_if_unsure(agent, now):
    """Read the plans after the role was taken, or a write had no answer.

    Every plan write is bound to the version of the role's row. Once that has
    changed, an earlier write can no longer take effect.
    """
    is_settled = any(
        write.failed is not None and write.failed < agent.role.renewed
        for write in agent.plan_writes
    )
    is_unsure = is_settled or not agent.role.has_plans
    if is_unsure and agent.due('planner/read', READ_MS, now):
        agent.outbox.post(
            storemsg.StoreRead(f'{READ_TICKET}{now}', members.PLAN_PREFIX)
        )


def _plan_all(agent, now):
    own_role = agent.role
    is_free = own_role.has_plans and not own_role.pending
    is_free = is_free and not len(agent.plan_writes)
    if not is_free or not role.may_lease(own_role, now):
        return
    for service in agent.configuration.services.values():
        if service.is_divided:
            plan = _next_plan(agent, service.name, now)
            if plan is not None:
                _write(agent, plan)
                return


def _write(agent, plan):
    row = agent.plans.get(plan.service)
    ticket = f'{TICKET}{agent.next_ticket()}'
    agent.plan_writes.put(ticket, leaserows.PlanWrite(plan))
    agent.outbox.post(
        storemsg.StorePut(
            ticket,
            f'{members.PLAN_PREFIX}{plan.service}',
            # A row of the store holds 64 KB, some 500 pieces as they are.
            wire.pack_compressed(plan),
            0 if row is None else row.row_version,
            ((role.ROW, agent.role.row_version),),
        )
    )


def _next_plan(agent, service, now):
    """Return the plan to write next, or None if the present one is good."""
    candidates = _candidates(agent, service, now)
    plan = agent.plan_of(service)
    if plan is None:
        if not candidates or not _are_all_ready(agent, candidates, now):
            return None
        owners = [(one.host_id, one.life) for one in candidates]
        _log.info('first-plan', service=service, hosts=len(owners))
        return ranges.Plan(service, 1, ranges.equal(owners))
    if not candidates:
        return None
    version = plan.version + 1
    draft = _Draft(agent, service, candidates, now)
    pieces = tuple(draft.renewed(piece) for piece in plan.pieces)
    if agent.due(f'planner/balance/{service}', BALANCE_MS, now):
        pieces = draft.balanced(pieces)
    pieces = ranges.join(pieces)
    if pieces == plan.pieces:
        return None
    return ranges.Plan(service, version, pieces)


def _are_all_ready(agent, candidates, now):
    """Tell whether it is likely that no further host becomes ready soon."""
    taken = agent.role.taken
    last = max(agent.lessees.get(one.host_id).ready_since for one in candidates)
    settled = max(taken, last) + FIRST_PLAN_MS
    return now >= min(settled, taken + LATEST_FIRST_PLAN_MS)


class _Draft:
    """Decisions on the pieces of one service, for one write."""

    def __init__(self, agent, service, candidates, now):
        self._agent = agent
        self._service = service
        self._now = now
        self._by_id = {one.host_id: one for one in candidates}
        self._candidates = candidates
        loads = agent.bucket_loads.get(service) or bucketloads.create(now)
        bucketloads.decay(loads, now)
        self._by_bucket = bucketloads.rates(loads, now)
        self._counted_s = bucketloads.counted_s(loads, now)
        plan = agent.plan_of(service)
        self._last_fence = max(piece.fence for piece in plan.pieces)
        self._use = balancing.use_by_host(
            plan.pieces, self._by_bucket, candidates
        )
        self._total = max(
            sum(
                balancing.load_of(piece, self._by_bucket)
                for piece in plan.pieces
            ),
            balancing.MIN_RATE,
        )

    def renewed(self, piece):
        """Return the piece with an owner that can serve it."""
        piece = self._settled(piece)
        owner = self._by_id.get(piece.host_id)
        if owner is not None and owner.life == piece.life:
            return piece
        if self._is_out(piece.host_id, piece.life):
            return self._given(piece, piece.former)
        lessee = self._agent.lessees.get(piece.host_id)
        is_leaving = (
            lessee is not None
            and lessee.is_leaving
            and lessee.life == piece.life
        )
        if is_leaving and not piece.former:
            return self._given(piece, piece.host_id)
        return piece

    def balanced(self, pieces):
        """Return the pieces after the moves that pay.

        Pieces on their way stay, and hold up no others: one owner that does
        not let go would keep all hosts as they are.
        """
        found = balancing.search(
            pieces, self._by_bucket, self._candidates, self._counted_s
        )
        self._tell_round(found)
        for move in found.moves:
            pieces = ranges.split(pieces, (move.start, move.end + 1))
            pieces = tuple(
                self._moved(piece, move)
                if move.start <= piece.start <= move.end
                else piece
                for piece in pieces
            )
        return pieces

    def _tell_round(self, found):
        """Count a round of balancing, and log one that leaves load uneven."""
        counting.count(
            self._agent,
            'balance_rounds',
            service=self._service,
            outcome=found.outcome,
        )
        if found.outcome == balancing.Outcome.EVEN:
            return
        _log.info(
            'balanced',
            outcome=found.outcome,
            moves=len(found.moves),
            use_before=_highest(self._use),
            busiest_after=found.busiest,
            use_after=round(found.use, 2),
            hosts=len(self._candidates),
            cells=_highest(self._by_bucket),
            counted_s=round(self._counted_s, 1),
        )

    def _next_fence(self):
        """Return a fence above all earlier ones; it names one piece."""
        self._last_fence += 1
        return self._last_fence

    def _moved(self, piece, move):
        target = self._by_id[move.host_id]
        return attrs.evolve(
            piece,
            host_id=target.host_id,
            life=target.life,
            fence=self._next_fence(),
            former=piece.host_id,
        )

    def _settled(self, piece):
        """Return the piece without its former owner, once that is out."""
        if not piece.former:
            return piece
        owner = self._agent.lessees.get(piece.host_id)
        is_taken = owner is not None and piece.fence in owner.taken
        if is_taken or self._is_out(piece.former, None):
            return attrs.evolve(piece, former='')
        return piece

    def _given(self, piece, former):
        """Return the piece with the host that has most room as owner."""
        others = [one for one in self._candidates if one.host_id != former]
        if not others:
            return piece
        target = min(others, key=self._use_of)
        share = balancing.load_of(piece, self._by_bucket) / self._total
        capacity = sum(one.capacity for one in self._candidates)
        self._use[target.host_id] += share * capacity / target.capacity
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

    def _use_of(self, candidate):
        return self._use[candidate.host_id]

    def _is_out(self, host_id, life):
        """Tell whether a host holds nothing for certain.

        `life` is the run of its backend server that had the keys, None if
        any run counts.
        """
        lessee = self._agent.lessees.get(host_id)
        if lessee is not None and self._now < lessee.heard + SILENT_MS:
            is_same = lessee.life is not None and life in {None, lessee.life}
            return not is_same and self._now >= lessee.grants_end
        ends = role.former_planners_end(
            self._agent.role,
            self._agent.lessees,
            leaserows.latest_end_ms(),
        )
        if lessee is not None:
            ends = max(ends, lessee.expires)
        return self._now >= ends


def _highest(figures):
    """Return the few highest figures by name, for a log line."""
    names = heapq.nlargest(TOLD, figures, key=figures.get)
    return {name: round(figures[name], 2) for name in names}


def _candidates(agent, service, now):
    loads = agent.bucket_loads.get(service)
    known = {} if loads is None else loads.mean_ms
    usual = sum(known.values()) / len(known) if known else DEFAULT_MEAN_MS
    return [
        balancing.Candidate(
            lessee.host_id,
            lessee.life,
            lessee.slots / known.get(lessee.host_id, usual),
        )
        for lessee in sorted(agent.lessees, key=lambda one: one.host_id)
        if lessee.service == service and _is_usable(lessee, now)
    ]


def _is_usable(lessee, now):
    has_backend = lessee.life is not None and lessee.slots > 0
    return (
        has_backend and not lessee.is_leaving and now < lessee.heard + SILENT_MS
    )


def _learn(agent, lessee, now):
    reports = lessee.reports
    if not reports:
        return
    lessee.reports = []
    loads = agent.bucket_loads.get(lessee.service)
    if loads is None:
        loads = agent.bucket_loads.put(lessee.service, bucketloads.create(now))
    for renew in reports:
        bucketloads.add(loads, renew, now)
