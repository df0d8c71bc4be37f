"""Which keys should move so that load follows capacity: pure functions."""

import enum
import math

import attrs

from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import ranking

BUCKET_COUNT = ranges.KEY_COUNT // ranges.KEYS_PER_BUCKET
# Keys move from a host that has this much more than the mean, until it has
# this much. The gap keeps noise from moving keys.
START_RATIO = 1.2
STOP_RATIO = 1.06
# Keys that move wait for the work that runs on them, so few move at once:
# so many, or so many for each host.
MAX_MOVES = 12
MAX_MOVES_PER_HOST = 0.5
# With so many pieces for each host only whole ones move: each change of a plan
# is told to all hosts, and its row in the store is bounded.
MAX_PIECES_PER_HOST = 12
# The host must also have so many standard deviations more than the mean: a
# few requests that meet one host by chance move nothing.
CLEAR_DEVIATIONS = 1.5
# A bucket that no host has room for moves to one that is so much faster; speeds
# are estimated, and a bucket that moves is not served for some time.
FASTER_RATIO = 2
# Load that a key range with no requests counts for, in requests a second: an
# unseen key may become busy.
IDLE_RATE = 0.0002
# Keeps a service without any load from being divided by zero.
MIN_RATE = 1e-9
# A part is moved if its load lies between these parts of what should move.
MOST_OF_WANTED = 1.1
LEAST_OF_WANTED = 0.1


@attrs.define(frozen=True)
class Candidate:
    """A host that may own keys; `capacity` in requests per ms."""

    host_id: str
    life: ranges.Life
    capacity: float


@attrs.define(frozen=True)
class Move:
    """Keys `start` to `end` go to another host."""

    start: int
    end: int
    host_id: str


class Outcome(enum.StrEnum):
    """How a search for moves ended.

    `EVEN`: no host has enough more than the mean. `UNCLEAR`: those that have
    it may have it by chance. `DONE`: the load will be even. `LIMITED`: more
    moves are needed. `STUCK`: of a host that has too much nothing fits
    anywhere; others may have been relieved.
    """

    EVEN = 'even'
    UNCLEAR = 'unclear'
    DONE = 'done'
    LIMITED = 'limited'
    STUCK = 'stuck'


# What a search found is told by the last of these that was met.
_RANKS = (Outcome.EVEN, Outcome.UNCLEAR, Outcome.DONE, Outcome.STUCK)


@attrs.define(frozen=True)
class Search:
    """What a search for moves found.

    `busiest` is the host with most load over capacity after the moves, `use`
    how many times the mean that is, also where nothing of it can move.
    """

    outcome: Outcome
    busiest: str = ''
    use: float = 0
    moves: tuple[Move, ...] = ()


def bucket_of(key):
    """Return the bucket of a key."""
    return key // ranges.KEYS_PER_BUCKET


def load_of(piece, by_bucket):
    """Return the requests per second of a piece."""
    first = bucket_of(piece.start)
    last = bucket_of(piece.end)
    return sum(
        by_bucket.get(bucket, 0) + IDLE_RATE
        for bucket in range(first, last + 1)
    )


def use_by_host(pieces, by_bucket, candidates):
    """Return load over capacity for each candidate, relative to the mean."""
    loads = {one.host_id: 0 for one in candidates}
    for piece in pieces:
        loads[piece.host_id] = loads.get(piece.host_id, 0) + load_of(
            piece, by_bucket
        )
    capacity = sum(one.capacity for one in candidates)
    mean = max(sum(loads.values()) / capacity, MIN_RATE)
    return {
        one.host_id: loads[one.host_id] / one.capacity / mean
        for one in candidates
    }


def find_moves(pieces, by_bucket, candidates, counted_s=math.inf):
    """Return the `Search` for moves that bring load over capacity to the mean.

    `by_bucket` are requests a second, counted over `counted_s`. Pieces that are
    on their way stay. Each move takes buckets from the busiest host that has
    too much, and of which something can move, to the one with most room.
    """
    if len(candidates) < 2:
        return Search(Outcome.EVEN)
    state = _State(pieces, by_bucket, candidates, counted_s)
    limit = max(MAX_MOVES, int(len(candidates) * MAX_MOVES_PER_HOST))
    found = []
    while len(found) < limit:
        source, use = state.sources.highest()
        if use <= STOP_RATIO:
            return Search(state.outcome(), *state.busiest(), tuple(found))
        move = state.relieve(source)
        if move is not None:
            found.append(move)
    return Search(Outcome.LIMITED, *state.busiest(), tuple(found))


@attrs.define(frozen=True, order=True)
class _Part:
    """Keys that could move; `miss` is how far their load is from the aim."""

    miss: float
    start: int
    end: int
    load: float


def _load_of_part(part):
    return part.load


class _State:
    """Load by host while moves are being chosen.

    `sources` ranks the hosts that may give keys away, by load over capacity.
    """

    def __init__(self, pieces, by_bucket, candidates, counted_s):
        self._by_bucket = by_bucket
        self._counted_s = counted_s
        self._capacity = {one.host_id: one.capacity for one in candidates}
        self._pieces = {one.host_id: [] for one in candidates}
        self._loads = {one.host_id: 0 for one in candidates}
        for piece in pieces:
            if piece.host_id not in self._loads:
                continue
            self._loads[piece.host_id] += load_of(piece, by_bucket)
            if not piece.former:
                self._pieces[piece.host_id].append((piece.start, piece.end))
        capacity = sum(self._capacity.values())
        self._mean = max(sum(self._loads.values()) / capacity, MIN_RATE)
        most_pieces = MAX_PIECES_PER_HOST * len(candidates)
        self._is_split = len(pieces) >= most_pieces
        self._bucket_parts = {}
        self._relieved = set()
        self._met = {Outcome.EVEN}
        self.sources = ranking.Ranking({
            host_id: self._use(host_id) for host_id in self._loads
        })
        self._targets = ranking.Ranking({
            host_id: -self._excess(host_id) for host_id in self._loads
        })

    def busiest(self):
        """Return the host with most load over capacity, and how much."""
        host_id = max(self._loads, key=self._use)
        return host_id, self._use(host_id)

    def outcome(self):
        """Return how the search has ended, if it was not limited."""
        return max(self._met, key=_RANKS.index)

    def relieve(self, source):
        """Return a move from a host that has too much.

        None if it has not, or if nothing can move: then the host is no
        source any more.
        """
        move = None
        if source in self._relieved or self._has_too_much(source):
            move = self._next_move(source)
            self._met.add(Outcome.STUCK if move is None else Outcome.DONE)
        elif self._use(source) > START_RATIO:
            self._met.add(Outcome.UNCLEAR)
        if move is None:
            self.sources.remove(source)
        else:
            self._relieved.add(source)
        return move

    def _has_too_much(self, host_id):
        """Tell whether a host has more than the mean, hardly by chance."""
        if self._use(host_id) <= START_RATIO:
            return False
        deviation = math.sqrt(self._loads[host_id] / self._counted_s)
        return self._excess(host_id) >= CLEAR_DEVIATIONS * deviation

    def _next_move(self, source):
        """Take the best part of the keys of a host; None if none fits."""
        move = self._move_of_hot_bucket(source)
        if move is not None:
            return move
        target, room = self._targets.highest()
        wanted = min(self._excess(source), room)
        parts = [
            part
            for keys in self._pieces[source]
            for part in self._parts(keys, wanted)
        ]
        if not parts:
            return self._move_beside_hot_bucket(source, target)
        return self._take(source, target, min(parts))

    def _use(self, host_id):
        return self._loads[host_id] / self._capacity[host_id] / self._mean

    def _excess(self, host_id):
        return self._loads[host_id] - self._mean * self._capacity[host_id]

    def _move_of_hot_bucket(self, source):
        """Take a bucket that alone is too much for its host to a faster one.

        Its host cannot be relieved otherwise. What else the faster host has
        moves away later, as it then has too much.
        """
        if not self._buckets(source):
            return None
        hot = self._buckets(source)[0]
        if hot.load <= self._capacity[source] * self._mean:
            return None
        faster = [
            host_id
            for host_id, capacity in self._capacity.items()
            if capacity > self._capacity[source] * FASTER_RATIO
        ]
        if not faster:
            return None
        use, target = min(
            (self._unmovable_use(host_id, hot.load), host_id)
            for host_id in faster
        )
        if use * START_RATIO >= hot.load / self._capacity[source]:
            return None
        return self._take(source, target, hot)

    def _move_beside_hot_bucket(self, source, target):
        """Take a bucket that fits nowhere from beside a hotter one, or None.

        It waits behind the hotter one here. `target` must have less load
        over capacity even then, and moves other keys away later.
        """
        others = self._buckets(source)[1:]
        if not others:
            return None
        part = others[0]
        left = self._loads[source] - part.load
        new = self._loads[target] + part.load
        use_there = new / self._capacity[target]
        if use_there * START_RATIO >= left / self._capacity[source]:
            return None
        return self._take(source, target, part)

    def _unmovable_use(self, host_id, load):
        """Return load over capacity of a host that has its hottest bucket left.

        `load` comes to that bucket's.
        """
        own_load = sum(part.load for part in self._buckets(host_id)[:1])
        return (load + own_load) / self._capacity[host_id]

    def _buckets(self, host_id):
        """Return the buckets of a host that can move, the hottest first.

        Where no more ranges are to be split, these are whole ranges.
        """
        if host_id not in self._bucket_parts:
            parts = [
                part
                for keys in self._pieces[host_id]
                for part in self._buckets_of(keys)
            ]
            parts.sort(key=_load_of_part, reverse=True)
            self._bucket_parts[host_id] = parts
        return self._bucket_parts[host_id]

    def _buckets_of(self, keys):
        buckets = range(bucket_of(keys[0]), bucket_of(keys[1]) + 1)
        if self._is_split:
            return [
                _Part(0, *keys, sum(self._rate(bucket) for bucket in buckets))
            ]
        return [
            self._part_of_bucket(bucket, keys)
            for bucket in buckets
            if bucket in self._by_bucket
        ]

    def _part_of_bucket(self, bucket, keys, wanted=0):
        """Return the part of a range that lies in a bucket."""
        start = max(bucket * ranges.KEYS_PER_BUCKET, keys[0])
        end = min((bucket + 1) * ranges.KEYS_PER_BUCKET - 1, keys[1])
        rate = self._rate(bucket)
        return _Part(abs(wanted - rate), start, end, rate)

    def _parts(self, keys, wanted):
        """Return parts of a range whose load comes near to `wanted`."""
        buckets = range(bucket_of(keys[0]), bucket_of(keys[1]) + 1)
        if self._is_split:
            return self._whole(keys, buckets, wanted)
        found = []
        first, load = self._run(buckets, wanted)
        if first is not None:
            end = min((first + 1) * ranges.KEYS_PER_BUCKET - 1, keys[1])
            found.append(_Part(abs(wanted - load), keys[0], end, load))
        last, load = self._run(reversed(buckets), wanted)
        if last is not None:
            start = max(last * ranges.KEYS_PER_BUCKET, keys[0])
            found.append(_Part(abs(wanted - load), start, keys[1], load))
        return found or self._fullest_bucket(keys, buckets, wanted)

    def _whole(self, keys, buckets, wanted):
        """Return a whole range if it helps where it goes."""
        load = sum(self._rate(bucket) for bucket in buckets)
        if not LEAST_OF_WANTED * wanted <= load <= MOST_OF_WANTED * wanted:
            return []
        return [_Part(abs(wanted - load), *keys, load)]

    def _run(self, buckets, wanted):
        """Return the last bucket of a run of about `wanted` load, and that."""
        load = 0
        last = None
        for bucket in buckets:
            rate = self._rate(bucket)
            if load + rate > wanted * MOST_OF_WANTED:
                break
            load += rate
            last = bucket
        if load < wanted * LEAST_OF_WANTED:
            last = None
        return last, load

    def _fullest_bucket(self, keys, buckets, wanted):
        """Return the fullest bucket that still helps where it goes."""
        rates = [
            (self._rate(bucket), bucket)
            for bucket in buckets
            if self._rate(bucket) <= wanted * MOST_OF_WANTED
        ]
        if not rates:
            return []
        rate, bucket = max(rates)
        if rate < wanted * LEAST_OF_WANTED:
            return []
        return [self._part_of_bucket(bucket, keys, wanted)]

    def _rate(self, bucket):
        return self._by_bucket.get(bucket, 0) + IDLE_RATE

    def _take(self, source, target, part):
        """Return the move of a part to `target`, where it then stays."""
        for host_id, change in ((source, -part.load), (target, part.load)):
            self._loads[host_id] += change
            self._bucket_parts.pop(host_id, None)
            self.sources.change(host_id, self._use(host_id))
            self._targets.change(host_id, -self._excess(host_id))
        kept = []
        for start, end in self._pieces[source]:
            if end < part.start or part.end < start:
                kept.append((start, end))
                continue
            if start < part.start:
                kept.append((start, part.start - 1))
            if part.end < end:
                kept.append((part.end + 1, end))
        self._pieces[source] = kept
        return Move(part.start, part.end, target)
