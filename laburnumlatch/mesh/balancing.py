"""Which keys should move so that load follows capacity: pure functions."""

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
# Load that a key range with no requests counts for, in requests a second: an
# unseen key may become busy.
IDLE_RATE = 0.001


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
    loads = {one.host_id: 0.0 for one in candidates}
    for piece in pieces:
        if piece.host_id in loads:
            loads[piece.host_id] += load_of(piece, by_cell)
    capacity = sum(one.capacity for one in candidates)
    mean = max(sum(loads.values()) / capacity, 1e-9)
    return {
        one.host_id: loads[one.host_id] / one.capacity / mean
        for one in candidates
    }


def moves(pieces, by_cell, candidates):
    """Return the `Move`s that bring load over capacity near to the mean.

    Pieces that are on their way stay. Each move takes cells from the busiest
    host to the one with most room.
    """
    if len(candidates) < 2:
        return ()
    state = _State(pieces, by_cell, candidates)
    if state.highest()[1] < START_RATIO:
        return ()
    found = []
    while len(found) < MAX_MOVES and state.highest()[1] > STOP_RATIO:
        move = state.next_move()
        if move is None:
            break
        found.append(move)
    return tuple(found)


class _State:
    """Load by host while moves are being chosen."""

    def __init__(self, pieces, by_cell, candidates):
        self._by_cell = by_cell
        self._capacity = {one.host_id: one.capacity for one in candidates}
        self._pieces = {one.host_id: [] for one in candidates}
        self._loads = {one.host_id: 0.0 for one in candidates}
        for piece in pieces:
            if piece.host_id not in self._loads:
                continue
            self._loads[piece.host_id] += load_of(piece, by_cell)
            if not piece.former:
                self._pieces[piece.host_id].append((piece.start, piece.end))
        self._mean = max(
            sum(self._loads.values()) / sum(self._capacity.values()),
            1e-9,
        )

    def highest(self):
        """Return the host with most load over capacity, and how much."""
        host_id = max(self._loads, key=self._use)
        return host_id, self._use(host_id)

    def next_move(self):
        """Take the best part of the busiest host's keys; None if none fits."""
        source, _use = self.highest()
        target = min(self._loads, key=self._use)
        excess = self._loads[source] - self._mean * self._capacity[source]
        room = self._mean * self._capacity[target] - self._loads[target]
        wanted = min(excess, room)
        best = None
        for piece in self._pieces[source]:
            part = self._part(piece, wanted)
            if part is not None and (best is None or part[0] < best[0]):
                best = (*part, piece)
        if best is None:
            return None
        _miss, start, end, load, piece = best
        self._take(source, target, piece, (start, end), load)
        return Move(start, end, target)

    def _use(self, host_id):
        return self._loads[host_id] / self._capacity[host_id] / self._mean

    def _part(self, piece, wanted):
        """Return (miss, start, end, load) of an end of `piece`, or None.

        The part is a run of whole cells from the start of the piece whose
        load comes near to `wanted`, or the same from its end.
        """
        options = []
        cells = range(cell_of(piece[0]), cell_of(piece[1]) + 1)
        for run, from_start in ((cells, True), (reversed(cells), False)):
            load = 0.0
            last = None
            for cell in run:
                rate = self._by_cell.get(cell, 0) + IDLE_RATE
                if load + rate > wanted * 1.1:
                    break
                load += rate
                last = cell
            if last is not None and load > wanted * 0.1:
                options.append((abs(wanted - load), last, load, from_start))
        if not options:
            return self._hot_cell(piece, wanted)
        miss, last, load, from_start = min(options)
        if from_start:
            end = min((last + 1) * KEYS_PER_CELL - 1, piece[1])
            return miss, piece[0], end, load
        return miss, max(last * KEYS_PER_CELL, piece[0]), piece[1], load

    def _hot_cell(self, piece, wanted):
        """Return the fullest cell that still helps where it goes."""
        cells = range(cell_of(piece[0]), cell_of(piece[1]) + 1)
        fits = [
            (self._by_cell.get(cell, 0), cell)
            for cell in cells
            if self._by_cell.get(cell, 0) <= wanted * 1.1
        ]
        if not fits:
            return None
        rate, cell = max(fits)
        if rate < wanted * 0.05:
            return None
        start = max(cell * KEYS_PER_CELL, piece[0])
        end = min((cell + 1) * KEYS_PER_CELL - 1, piece[1])
        return wanted - rate, start, end, rate

    def _take(self, source, target, piece, part, load):
        self._loads[source] -= load
        self._loads[target] += load
        self._pieces[source].remove(piece)
        if piece[0] < part[0]:
            self._pieces[source].append((piece[0], part[0] - 1))
        if part[1] < piece[1]:
            self._pieces[source].append((part[1] + 1, piece[1]))
