"""Which keys leave the hosts of evacuated domains in the next plan.

They leave in steps over part of the bound, so that few keys are handed over at
the same time. A step depends only on the plan and on the time since the
evacuation began, so another planner goes on where the last one ended.
"""

import attrs

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import movableranges
from laburnumlatch.mesh import ranges

# The last step is due after this share of the bound. Running work delays a
# handover, and after the bound the keys would not be served.
STEPS_RATIO = 0.5
# Load of one moved range at most, as a share of the mean load per host: the
# keys of one host are spread over several others.
MAX_RANGE_RATIO = 0.25


@attrs.define(frozen=True)
class Step:
    """The ranges that leave next, as pairs (first key, last key).

    They are in the order in which they get new owners, the busiest first.
    """

    ranges: tuple[tuple[int, int], ...] = ()

    def cuts(self):
        """Return the keys at which pieces must begin, for `ranges.split`."""
        return {cut for start, end in self.ranges for cut in (start, end + 1)}


def next_step(agent, pieces, movable, rates, hosts, interval_ms):
    """Return the `Step` of the next plan of a service.

    `pieces` are those of the plan and `movable` those that may leave evacuated
    hosts now, `rates` the requests per second by bucket, and `hosts` the number
    of hosts that may own keys. A plan is written every `interval_ms`.
    """
    loads = {piece: balancing.load_of(piece, rates) for piece in pieces}
    max_load = sum(loads.values()) / hosts * MAX_RANGE_RATIO
    if len(pieces) >= hosts * balancing.MAX_PIECES_PER_HOST:
        # The row of the plan has a size limit.
        max_load = None
    chosen = []
    for evacuation in agent.evacuations:
        leaving = [
            piece
            for piece in movable
            if agent.hosts.get(piece.host_id).record.domain == evacuation.domain
        ]
        steps = _steps_left(agent, evacuation, interval_ms)
        chosen += _busiest_ranges(
            sorted(leaving, key=loads.get, reverse=True),
            sum(loads[piece] for piece in leaving) / steps,
            max_load,
            rates,
        )
    return Step(tuple(chosen))


def _steps_left(agent, evacuation, interval_ms):
    """Return in how many plans all keys of a domain must have left."""
    if evacuation.begun_at is None:
        return 1
    steps_ms = agent.settings.bounds.evacuation_ms * STEPS_RATIO
    left_ms = evacuation.begun_at + steps_ms - agent.now
    return max(1, int(left_ms / interval_ms))


def _busiest_ranges(pieces, wanted, max_load, rates):
    """Return ranges of the first pieces, with a load of `wanted` or more."""
    chosen = []
    load = 0
    for piece in pieces:
        for start, end in _divided(piece, max_load, rates):
            if load >= wanted:
                return chosen
            part = attrs.evolve(piece, start=start, end=end)
            load += balancing.load_of(part, rates)
            chosen.append((start, end))
    return chosen


def _divided(piece, max_load, rates):
    """Yield the ranges of a piece whose load is at most `max_load`.

    One bucket is not divided, and nothing is if `max_load` is None.
    """
    start = piece.start
    if max_load is not None:
        load = 0
        first = ranges.bucket_of(start)
        last = ranges.bucket_of(piece.end)
        for bucket in range(first, last + 1):
            rate = rates.get(bucket, 0) + movableranges.IDLE_RATE
            cut = max(start, bucket * ranges.KEYS_PER_BUCKET)
            if load + rate > max_load and cut > start:
                yield start, cut - 1
                start = cut
                load = 0
            load += rate
    yield start, piece.end
