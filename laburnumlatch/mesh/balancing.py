"""Which keys should move so that load follows capacity: pure functions."""

import enum
import math

import attrs

from laburnumlatch.mesh import ranges

# Cells are the parts of the key space whose load is counted.
KEYS_PER_CELL = 16
CELL_COUNT = ranges.KEY_COUNT // KEYS_PER_CELL
# Moves start when the busiest host has this much more than the mean, and go
# on until it has this much. The gap keeps noise from moving keys.
START_RATIO = 1.2
STOP_RATIO = 1.06
# Keys that move wait for the work that runs on them, so few move at once.
MAX_MOVES = 12
# Moves start only if the busiest host has so many standard deviations more
# than the mean: a few requests that meet one host by chance move nothing.
CLEAR_DEVIATIONS = 1.5
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

    `EVEN`: no host has enough more than the mean. `UNCLEAR`: the busiest may
    have it by chance. `DONE`: the load will be even. `LIMITED`: more moves
    are needed. `STUCK`: nothing of the busiest host fits anywhere.
    """

    EVEN = 'even'
    UNCLEAR = 'unclear'
    DONE = 'done'
    LIMITED = 'limited'
    STUCK = 'stuck'


@attrs.define(frozen=True)
class Search:
    """What a search for moves found.

    `busiest` is the host with most load over capacity after the moves, `use`
    how many times the mean that is.
    """

    outcome: Outcome
    busiest: str = ''
    use: float = 0
    moves: tuple[Move, ...] = ()


def cell_of(key):
    """Return the cell of a key."""
    return key // KEYS_PER_CELL


def load_of(piece, by_cell):
    """Return the requests per second of a piece."""
    first = cell_of(piece.start)
    last = cell_of(piece.end)
    return sum(
        by_cell.get(cell, 0) + IDLE_RATE for cell in range(first, last + 1)
    )


def use_by_host(pieces, by_cell, candidates):
    """Return load over capacity for each candidate, relative to the mean."""
    loads = {one.host_id: 0 for one in candidates}
    for piece in pieces:
        loads[piece.host_id] = loads.get(piece.host_id, 0) + load_of(
            piece, by_cell
        )
    capacity = sum(one.capacity for one in candidates)
    mean = max(sum(loads.values()) / capacity, MIN_RATE)
    return {
        one.host_id: loads[one.host_id] / one.capacity / mean
        for one in candidates
    }


def search(pieces, by_cell, candidates, counted_s=math.inf):
    """Return the `Search` for moves that bring load over capacity to the mean.

    `by_cell` are requests a second, counted over `counted_s`. Pieces that are
    on their way stay. Each move takes cells from the busiest host to the one
    with most room.
    """
    if len(candidates) < 2:
        return Search(Outcome.EVEN)
    state = _State(pieces, by_cell, candidates)
    if state.highest()[1] < START_RATIO:
        return Search(Outcome.EVEN, *state.highest())
    if not state.is_clear(counted_s):
        return Search(Outcome.UNCLEAR, *state.highest())
    found = []
    outcome = Outcome.DONE
    while state.highest()[1] > STOP_RATIO:
        if len(found) == MAX_MOVES:
            outcome = Outcome.LIMITED
            break
        move = state.next_move()
        if move is None:
            outcome = Outcome.STUCK
            break
        found.append(move)
    return Search(outcome, *state.highest(), tuple(found))


@attrs.define(frozen=True, order=True)
class _Part:
    """Keys that could move; `miss` is how far their load is from the aim."""

    miss: float
    start: int
    end: int
    load: float


class _State:
    """Load by host while moves are being chosen."""

    def __init__(self, pieces, by_cell, candidates):
        self._by_cell = by_cell
        self._capacity = {one.host_id: one.capacity for one in candidates}
        self._pieces = {one.host_id: [] for one in candidates}
        self._loads = {one.host_id: 0 for one in candidates}
        for piece in pieces:
            if piece.host_id not in self._loads:
                continue
            self._loads[piece.host_id] += load_of(piece, by_cell)
            if not piece.former:
                self._pieces[piece.host_id].append((piece.start, piece.end))
        capacity = sum(self._capacity.values())
        self._mean = max(sum(self._loads.values()) / capacity, MIN_RATE)

    def highest(self):
        """Return the host with most load over capacity, and how much."""
        host_id = max(self._loads, key=self._use)
        return host_id, self._use(host_id)

    def is_clear(self, counted_s):
        """Tell whether the busiest host hardly has more by chance."""
        host_id, _use = self.highest()
        load = self._loads[host_id]
        excess = load - self._mean * self._capacity[host_id]
        deviation = math.sqrt(load / counted_s)
        return excess >= CLEAR_DEVIATIONS * deviation

    def next_move(self):
        """Take the best part of the busiest host's keys; None if none fits."""
        source = max(self._loads, key=self._use)
        target = min(self._loads, key=self._use)
        excess = self._loads[source] - self._mean * self._capacity[source]
        room = self._mean * self._capacity[target] - self._loads[target]
        parts = [
            part
            for keys in self._pieces[source]
            for part in self._parts(keys, min(excess, room))
        ]
        if not parts:
            return None
        best = min(parts)
        self._take(source, target, best)
        return Move(best.start, best.end, target)

    def _use(self, host_id):
        return self._loads[host_id] / self._capacity[host_id] / self._mean

    def _parts(self, keys, wanted):
        """Return parts of a range whose load comes near to `wanted`."""
        cells = range(cell_of(keys[0]), cell_of(keys[1]) + 1)
        found = []
        first, load = self._run(cells, wanted)
        if first is not None:
            end = min((first + 1) * KEYS_PER_CELL - 1, keys[1])
            found.append(_Part(abs(wanted - load), keys[0], end, load))
        last, load = self._run(reversed(cells), wanted)
        if last is not None:
            start = max(last * KEYS_PER_CELL, keys[0])
            found.append(_Part(abs(wanted - load), start, keys[1], load))
        return found or self._fullest_cell(keys, cells, wanted)

    def _run(self, cells, wanted):
        """Return the last cell of a run with about `wanted` load, and that."""
        load = 0
        last = None
        for cell in cells:
            rate = self._rate(cell)
            if load + rate > wanted * MOST_OF_WANTED:
                break
            load += rate
            last = cell
        if load < wanted * LEAST_OF_WANTED:
            last = None
        return last, load

    def _fullest_cell(self, keys, cells, wanted):
        """Return the fullest cell that still helps where it goes."""
        rates = [
            (self._rate(cell), cell)
            for cell in cells
            if self._rate(cell) <= wanted * MOST_OF_WANTED
        ]
        if not rates:
            return []
        rate, cell = max(rates)
        if rate < wanted * LEAST_OF_WANTED:
            return []
        start = max(cell * KEYS_PER_CELL, keys[0])
        end = min((cell + 1) * KEYS_PER_CELL - 1, keys[1])
        return [_Part(abs(wanted - rate), start, end, rate)]

    def _rate(self, cell):
        return self._by_cell.get(cell, 0) + IDLE_RATE

    def _take(self, source, target, part):
        self._loads[source] -= part.load
        self._loads[target] += part.load
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
