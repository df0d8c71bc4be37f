"""Decides the owners of all pieces of a service for the next plan.

It replaces owners that are gone or leaving, and moves keys to even out the
load.
"""

import heapq

import attrs

from laburnumlatch.core import logs
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import leaseends
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.evacuation import keymoves

# A host without contact for this time gets no keys.
SILENT_MS = 1500
# Hosts and buckets named in the log line of a balancing round.
MAX_LOGGED_ENTRIES = 4

_log = logs.logger('planner')


class PlanDraft:
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

    def evacuate(self, pieces, interval_ms):
        """Return the pieces after the next step of all evacuations.

        A plan is written every `interval_ms`. The keys are handed over as by
        a leaving owner; those that are being handed over stay as they are.
        """
        movable = [piece for piece in pieces if self._must_leave(piece)]
        if not movable:
            return pieces
        step = keymoves.next_step(
            self._agent,
            pieces,
            movable,
            self._rates,
            len(self._candidates),
            interval_ms,
        )
        pieces = ranges.split(pieces, step.cuts())
        piece_by_start = {piece.start: piece for piece in pieces}
        moved = {
            start: self._assign(
                piece_by_start[start], piece_by_start[start].host_id
            )
            for start, _end in step.ranges
        }
        return tuple(moved.get(piece.start, piece) for piece in pieces)

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
        now = self._now
        # A whole piece may be far more than a cold server bears.
        warm = [host for host in others if not host.is_cold]
        target = min(warm or others, key=self._relative_load_of)
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
            **_owner_facts(self._agent.lease_holders.get(piece.host_id), now),
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

    def _must_leave(self, piece):
        """Return whether a piece is to leave a host in an evacuated domain.

        If the owner does not respond any more, `with_usable_owner` replaces it
        once its leases have ended.
        """
        if piece.former or self._agent.hosts.get(piece.host_id) is None:
            return False
        holder = self._agent.lease_holders.get(piece.host_id)
        return (
            holder is not None
            and holder.life == piece.life
            and domains.is_host_evacuated(self._agent, piece.host_id)
        )

    def _holds_no_keys(self, host_id, life):
        """Return whether a host certainly holds no keys.

        `life` is the run of its backend server that owned the keys, None for
        any. A host with recent contact holds none if it reports another run or
        none, and its leases and grants for the owning one have ended. For any
        other host all leases must have expired, also those from earlier
        planners, and the grants that it has reported.
        """
        holder = self._agent.lease_holders.get(host_id)
        if holder is not None and self._now < holder.last_contact + SILENT_MS:
            return leaseends.holds_no_keys(holder, life, self._now)
        leases_end = role.former_leases_end(self._agent.role)
        return leaseends.silent_holds_no_keys(holder, leases_end, self._now)


def _owner_facts(holder, now):
    """Return what decided that an owner is replaced, for a log line.

    `holder` is its `leaserows.LeaseHolder`, None if it never renewed a lease.
    """
    if holder is None:
        return {'contact_age_ms': None}
    return {
        'contact_age_ms': now - holder.last_contact,
        'has_server': holder.life is not None,
        'is_leaving': holder.is_leaving,
        'lease_left_ms': max(0, holder.expires - now),
        'grants_left_ms': max(0, holder.grants_end - now),
    }


def _highest(values):
    """Return the few highest values by name, for a log line."""
    names = heapq.nlargest(MAX_LOGGED_ENTRIES, values, key=values.get)
    return {name: round(values[name], 2) for name in names}
