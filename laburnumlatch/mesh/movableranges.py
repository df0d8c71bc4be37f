"""Which ranges of keys of a host could move, and their load."""

import attrs

from laburnumlatch.mesh import ranges

# Requests per second added to each bucket: one without any may become busy.
IDLE_RATE = 0.0002
# A range may move if its load is between these multiples of the wanted load.
MAX_WANTED_RATIO = 1.1
MIN_WANTED_RATIO = 0.1


@attrs.define(frozen=True, order=True)
class MovableRange:
    """A range of keys that could move; `deviation` is from the wanted load.

    It is the first field, so that the least range is the one that fits best.
    """

    deviation: float
    start: int
    end: int
    load: float


class MovableRanges:
    """Finds ranges that could move, by the load of buckets.

    Unless `is_split_forbidden`, a range may be a part of one that a host has.
    """

    def __init__(self, rates, *, is_split_forbidden):
        """Take the requests per second by bucket."""
        self._rates = rates
        self._is_split_forbidden = is_split_forbidden

    def all_of(self, keys):
        """Return buckets with requests, or the range if it may not be split.

        `keys` are the first and the last key of a range that a host has.
        """
        buckets = ranges.buckets_of(*keys)
        if self._is_split_forbidden:
            return [
                MovableRange(
                    0, *keys, sum(self._rate(bucket) for bucket in buckets)
                )
            ]
        return [
            self._range_of_bucket(bucket, keys)
            for bucket in buckets
            if bucket in self._rates
        ]

    def fitting(self, keys, wanted):
        """Return subranges of a range with a load close to `wanted`.

        These are a part at its start and one at its end, or else one bucket.
        If pieces may not be split any more, only the whole range may fit.
        """
        buckets = ranges.buckets_of(*keys)
        if self._is_split_forbidden:
            return self._whole_range(keys, buckets, wanted)
        fitting = []
        first, load = self._accumulate(buckets, wanted)
        if first is not None:
            end = min((first + 1) * ranges.KEYS_PER_BUCKET - 1, keys[1])
            fitting.append(MovableRange(abs(wanted - load), keys[0], end, load))
        last, load = self._accumulate(reversed(buckets), wanted)
        if last is not None:
            start = max(last * ranges.KEYS_PER_BUCKET, keys[0])
            fitting.append(
                MovableRange(abs(wanted - load), start, keys[1], load)
            )
        return fitting or self._hottest_fitting_bucket(keys, buckets, wanted)

    def _range_of_bucket(self, bucket, keys, wanted=0):
        """Return the intersection of a bucket and a range."""
        start = max(bucket * ranges.KEYS_PER_BUCKET, keys[0])
        end = min((bucket + 1) * ranges.KEYS_PER_BUCKET - 1, keys[1])
        rate = self._rate(bucket)
        return MovableRange(abs(wanted - rate), start, end, rate)

    def _whole_range(self, keys, buckets, wanted):
        """Return a list of the whole range, empty if its load does not fit."""
        load = sum(self._rate(bucket) for bucket in buckets)
        if not MIN_WANTED_RATIO * wanted <= load <= MAX_WANTED_RATIO * wanted:
            return []
        return [MovableRange(abs(wanted - load), *keys, load)]

    def _accumulate(self, buckets, wanted):
        """Add up the load of buckets in order until `wanted` is reached.

        The load is at most `wanted * MAX_WANTED_RATIO`. Returns the last bucket
        added, or None if the load is too low to be worth a move, and the load.
        """
        load = 0
        last = None
        for bucket in buckets:
            rate = self._rate(bucket)
            if load + rate > wanted * MAX_WANTED_RATIO:
                break
            load += rate
            last = bucket
        if load < wanted * MIN_WANTED_RATIO:
            last = None
        return last, load

    def _hottest_fitting_bucket(self, keys, buckets, wanted):
        """Return a list of the hottest bucket that fits, empty if none does."""
        rates = [
            (self._rate(bucket), bucket)
            for bucket in buckets
            if self._rate(bucket) <= wanted * MAX_WANTED_RATIO
        ]
        if not rates:
            return []
        rate, bucket = max(rates)
        if rate < wanted * MIN_WANTED_RATIO:
            return []
        return [self._range_of_bucket(bucket, keys, wanted)]

    def _rate(self, bucket):
        return self._rates.get(bucket, 0) + IDLE_RATE
