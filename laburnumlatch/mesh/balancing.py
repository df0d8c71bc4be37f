"""Search for moves of keys that even out the load: pure functions.

The load of a host is in requests per second. Its relative load is load over
capacity divided by the mean of all hosts: 1 for each if spread by capacity.
"""

import enum
import math

from laburnumlatch.core import records
from laburnumlatch.mesh import movableranges
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import ranking

# Relative load at which keys begin to move away from a host, and at which they
# stop. The gap keeps noise from moving keys.
START_RATIO = 1.2
STOP_RATIO = 1.06
# Maximum moves per search, or moves per host if that is more. Requests for a
# moving key wait until the work on it has ended, so few keys move at once.
MAX_MOVES = 12
MAX_MOVES_PER_HOST = 0.5
# Beyond this mean number of pieces per host only whole pieces move: each plan
# change is sent to all hosts, and its row in the store has a size limit.
MAX_PIECES_PER_HOST = 12
# The load must also exceed the mean by this many standard deviations, so that
# a few requests that hit one host by chance move no keys.
MIN_EXCESS_DEVIATIONS = 1.5
# A bucket that is too hot for its host moves only to a host that is faster by
# this factor. Speeds are estimates, and a bucket is not served while it moves.
MIN_SPEEDUP_RATIO = 2
# Lower bound that avoids a division by zero for a service without load.
MIN_RATE = 1e-9


@records.define(frozen=True)
class Candidate:
    """A host that may own keys; `capacity` is in requests per ms.

    If its server `is_cold`, it gets no keys of a lost host that others can
    take.
    """

    host_id: str
    life: ranges.Life
    capacity: float
    is_cold: bool = False


@records.define(frozen=True)
class Move:
    """A move of keys `start` to `end`, both inclusive, to host `host_id`."""

    start: int
    end: int
    host_id: str


class Outcome(enum.StrEnum):
    """How a search for moves ended.

    `EVEN`: no host is far enough above the mean. `UNCLEAR`: some hosts are, but
    perhaps only by chance. `DONE`: the moves even out the load. `LIMITED`: the
    search reached the maximum number of moves. `STUCK`: no keys of an
    overloaded host fit on another; other hosts may have been relieved.
    """

    EVEN = 'even'
    UNCLEAR = 'unclear'
    DONE = 'done'
    LIMITED = 'limited'
    STUCK = 'stuck'


# Of the outcomes that apply to a search, the last in this order is returned.
_OUTCOME_RANKS = (Outcome.EVEN, Outcome.UNCLEAR, Outcome.DONE, Outcome.STUCK)


@records.define(frozen=True)
class SearchResult:
    """The moves that a search has chosen, and the highest load after them.

    `busiest` is the host with the highest relative load after the moves, even
    if none of its keys can move, and `relative_load` is its relative load.
    """

    outcome: Outcome
    busiest: str = ''
    relative_load: float = 0
    moves: tuple[Move, ...] = ()


def load_of(piece, rates):
    """Return the load of a piece in requests per second, from bucket rates."""
    first = ranges.bucket_of(piece.start)
    last = ranges.bucket_of(piece.end)
    size = last + 1 - first
    if len(rates) < size:
        # Most buckets have no rate, and the planner asks several times a
        # second for all of them.
        busy = sum(rates[bucket] for bucket in rates if first <= bucket <= last)
    else:
        busy = sum(rates.get(bucket, 0) for bucket in range(first, last + 1))
    return busy + size * movableranges.IDLE_RATE


def relative_load_by_host(pieces, rates, candidates):
    """Return the relative load of each candidate."""
    load = {host.host_id: 0 for host in candidates}
    for piece in pieces:
        load[piece.host_id] = load.get(piece.host_id, 0) + load_of(piece, rates)
    capacity = sum(host.capacity for host in candidates)
    mean = max(sum(load.values()) / capacity, MIN_RATE)
    return {
        host.host_id: load[host.host_id] / host.capacity / mean
        for host in candidates
    }


def find_moves(pieces, rates, candidates, window_s=math.inf):
    """Return a `SearchResult` with moves that bring hosts to the mean load.

    `rates` has requests per second by bucket, counted over `window_s` seconds.
    Pieces being handed over do not move. Each move takes keys from the busiest
    overloaded host with movable keys, usually to that with most spare capacity.
    """
    if len(candidates) < 2:
        return SearchResult(Outcome.EVEN)
    state = _SearchState(pieces, rates, candidates, window_s)
    limit = max(MAX_MOVES, int(len(candidates) * MAX_MOVES_PER_HOST))
    moves = []
    while len(moves) < limit:
        source, relative_load = state.sources.highest()
        if relative_load <= STOP_RATIO:
            return SearchResult(state.outcome(), *state.busiest(), tuple(moves))
        move = state.relieve(source)
        if move is not None:
            moves.append(move)
    return SearchResult(Outcome.LIMITED, *state.busiest(), tuple(moves))


def _load_of_range(movable):
    return movable.load


class _SearchState:
    """Load and keys of each host while moves are being chosen.

    `sources` ranks the hosts that keys may be taken from by relative load.
    """

    def __init__(self, pieces, rates, candidates, window_s):
        self._rates = rates
        self._window_s = window_s
        self._capacity = {host.host_id: host.capacity for host in candidates}
        self._ranges = {host.host_id: [] for host in candidates}
        self._loads = {host.host_id: 0 for host in candidates}
        for piece in pieces:
            if piece.host_id not in self._loads:
                continue
            self._loads[piece.host_id] += load_of(piece, rates)
            if not piece.former:
                self._ranges[piece.host_id].append((piece.start, piece.end))
        capacity = sum(self._capacity.values())
        self._mean = max(sum(self._loads.values()) / capacity, MIN_RATE)
        max_pieces = MAX_PIECES_PER_HOST * len(candidates)
        self._movable = movableranges.MovableRanges(
            rates, is_split_forbidden=len(pieces) >= max_pieces
        )
        self._hottest_by_host = {}
        self._relieved = set()
        self._outcomes = {Outcome.EVEN}
        self.sources = ranking.Ranking({
            host_id: self._relative_load(host_id) for host_id in self._loads
        })
        self._targets = ranking.Ranking({
            host_id: -self._excess(host_id) for host_id in self._loads
        })

    def busiest(self):
        """Return the host with the highest relative load, and that load."""
        host_id = max(self._loads, key=self._relative_load)
        return host_id, self._relative_load(host_id)

    def outcome(self):
        """Return the outcome of a search that did not reach its limit."""
        return max(self._outcomes, key=_OUTCOME_RANKS.index)

    def relieve(self, source):
        """Return a move of keys away from an overloaded host.

        Returns None if the host is not overloaded or none of its keys can
        move, and removes the host from `sources`.
        """
        move = None
        if source in self._relieved or self._is_overloaded(source):
            move = self._choose_move(source)
            self._outcomes.add(Outcome.STUCK if move is None else Outcome.DONE)
        elif self._relative_load(source) > START_RATIO:
            self._outcomes.add(Outcome.UNCLEAR)
        if move is None:
            self.sources.remove(source)
        else:
            self._relieved.add(source)
        return move

    def _is_overloaded(self, host_id):
        """Return whether the load is above the mean, and hardly by chance.

        The standard deviation is that of a Poisson process over the window.
        """
        if self._relative_load(host_id) <= START_RATIO:
            return False
        deviation = math.sqrt(self._loads[host_id] / self._window_s)
        return self._excess(host_id) >= MIN_EXCESS_DEVIATIONS * deviation

    def _choose_move(self, source):
        """Apply and return the best move from a host, or None if none fits."""
        move = self._move_hot_bucket(source)
        if move is not None:
            return move
        target, spare = self._targets.highest()
        wanted = min(self._excess(source), spare)
        fitting = [
            movable
            for keys in self._ranges[source]
            for movable in self._movable.fitting(keys, wanted)
        ]
        if not fitting:
            return self._move_second_hottest_bucket(source, target)
        return self._apply_move(source, target, min(fitting))

    def _relative_load(self, host_id):
        return self._loads[host_id] / self._capacity[host_id] / self._mean

    def _excess(self, host_id):
        """Return the load above the host's share of the total load."""
        return self._loads[host_id] - self._mean * self._capacity[host_id]

    def _move_hot_bucket(self, source):
        """Move a bucket to a faster host if it overloads its host by itself.

        Nothing else can relieve its host. Other keys of the faster host move
        away in later moves, since it is then overloaded itself.
        """
        if not self._hottest_ranges(source):
            return None
        hot = self._hottest_ranges(source)[0]
        if hot.load <= self._capacity[source] * self._mean:
            return None
        faster = [
            host_id
            for host_id, capacity in self._capacity.items()
            if capacity > self._capacity[source] * MIN_SPEEDUP_RATIO
        ]
        if not faster:
            return None
        load_ratio, target = min(
            (self._load_ratio(host_id, hot.load), host_id) for host_id in faster
        )
        if load_ratio * START_RATIO >= hot.load / self._capacity[source]:
            return None
        return self._apply_move(source, target, hot)

    def _move_second_hottest_bucket(self, source, target):
        """Move the second hottest bucket of a host, although it does not fit.

        Otherwise its requests would queue behind those of the hottest bucket.
        Other keys of `target` move away in later moves. Returns None if there
        is no such bucket or `target` would not keep less load over capacity.
        """
        others = self._hottest_ranges(source)[1:]
        if not others:
            return None
        movable = others[0]
        source_load = self._loads[source] - movable.load
        target_load = self._loads[target] + movable.load
        load_ratio = target_load / self._capacity[target]
        if load_ratio * START_RATIO >= source_load / self._capacity[source]:
            return None
        return self._apply_move(source, target, movable)

    def _load_ratio(self, host_id, load):
        """Return load over capacity of a host that gets `load` in addition.

        It keeps only its hottest bucket: other keys move away in later moves.
        """
        hot_load = sum(hot.load for hot in self._hottest_ranges(host_id)[:1])
        return (load + hot_load) / self._capacity[host_id]

    def _hottest_ranges(self, host_id):
        """Return the movable buckets or ranges of a host, the hottest first."""
        if host_id not in self._hottest_by_host:
            movables = [
                movable
                for keys in self._ranges[host_id]
                for movable in self._movable.all_of(keys)
            ]
            movables.sort(key=_load_of_range, reverse=True)
            self._hottest_by_host[host_id] = movables
        return self._hottest_by_host[host_id]

    def _apply_move(self, source, target, moved):
        """Return the move of a range and update the state for it.

        The range is not added to those of `target`, so it moves only once.
        """
        for host_id, change in ((source, -moved.load), (target, moved.load)):
            self._loads[host_id] += change
            self._hottest_by_host.pop(host_id, None)
            self.sources.change(host_id, self._relative_load(host_id))
            self._targets.change(host_id, -self._excess(host_id))
        kept = []
        for start, end in self._ranges[source]:
            if end < moved.start or moved.end < start:
                kept.append((start, end))
                continue
            if start < moved.start:
                kept.append((start, moved.start - 1))
            if moved.end < end:
                kept.append((moved.end + 1, end))
        self._ranges[source] = kept
        return Move(moved.start, moved.end, target)
