"""Load of a service by bucket of the key space, from the hosts' reports."""

import math

import attrs

from laburnumlatch.core import clock

# Short enough to detect within seconds a group of keys that become hot
# together, even if none of them is busy by itself.
HALF_LIFE_MS = 4000
# A bucket whose count falls below this is dropped.
MIN_COUNT = 0.001
# Weight of one finished request in the mean service time of its host. Service
# times vary by several times, so a mean of a few requests would move keys by
# chance.
REQUEST_WEIGHT = 0.03


@attrs.define
class BucketLoads:
    """Decayed request counts of one service, kept only by the planner.

    `counts` is the decayed count of arrivals by bucket. `mean_ms` is the mean
    service time by host, and `finished` the number of requests that each mean
    was computed from. `started_at` (first request) and `decayed_at` (last
    decay) are times of the planner's clock, in ms.
    """

    started_at: int
    decayed_at: int
    counts: dict[int, float] = attrs.Factory(dict)
    mean_ms: dict[str, float] = attrs.Factory(dict)
    finished: dict[str, int] = attrs.Factory(dict)


def create(now):
    """Return empty counts that start at `now`."""
    return BucketLoads(started_at=now, decayed_at=now)


def add(loads, renew, now):
    """Add the arrivals and finished requests of a `leasemsg.Renew`."""
    if not loads.counts:
        loads.started_at = now
    for bucket, count in renew.buckets:
        loads.counts[bucket] = loads.counts.get(bucket, 0) + count
    busy_ms = _busy_ms(renew)
    # Without any time the work was too quick for the clock of the host, which
    # tells nothing of its speed.
    if renew.done and busy_ms:
        sample = busy_ms / renew.done
        mean = loads.mean_ms.get(renew.host_id, sample)
        finished = loads.finished.get(renew.host_id, 0) + renew.done
        loads.finished[renew.host_id] = finished
        # The first requests of a host are averaged with equal weights.
        weight = min(1, max(REQUEST_WEIGHT * renew.done, renew.done / finished))
        loads.mean_ms[renew.host_id] = mean + weight * (sample - mean)


def _busy_ms(renew):
    """Return how long the work took that a renewal reports, in ms.

    An agent of an earlier build reports no microseconds.
    """
    if renew.busy_us:
        return renew.busy_us / clock.US_PER_MS
    return renew.busy_ms


def decay(loads, now):
    """Decay the counts to `now` and drop buckets that have become idle."""
    factor = 0.5 ** ((now - loads.decayed_at) / HALF_LIFE_MS)
    loads.decayed_at = now
    loads.counts = {
        bucket: count * factor
        for bucket, count in loads.counts.items()
        if count * factor > MIN_COUNT
    }


def rates(loads, now):
    """Return the requests per second by bucket."""
    window_s = effective_window_s(loads, now)
    return {bucket: count / window_s for bucket, count in loads.counts.items()}


def effective_window_s(loads, now):
    """Return the length of the window that the decayed counts stand for, in s.

    A steady rate times this window gives the decayed count.
    """
    age_ms = max(1, now - loads.started_at)
    full_s = HALF_LIFE_MS / clock.MS_PER_S / math.log(2)
    return full_s * (1 - 0.5 ** (age_ms / HALF_LIFE_MS))
