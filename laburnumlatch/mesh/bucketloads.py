"""Load of a service by bucket of the key space, as the planner counts it."""

import math

import attrs

from laburnumlatch.core import clock

# Short enough to follow keys that become hot together, of which none is busy
# by itself, within some seconds.
HALF_LIFE_MS = 4000
# Below this count a bucket is forgotten.
MIN_COUNT = 0.001
# How much one finished request moves the mean service time of its host. Times
# of requests differ several times over; the mean of a few moves keys by chance.
MEAN_WEIGHT = 0.03


@attrs.define
class BucketLoads:
    """Decayed counts of the requests of one service; only at the planner.

    `counts` are by bucket, `mean_ms` is the usual service time at each host, of
    so many requests as `done` says.
    `started`, the time of the first request, and `decayed` are times of the
    planner's clock.
    """

    started: int
    decayed: int
    counts: dict[int, float] = attrs.Factory(dict)
    mean_ms: dict[str, float] = attrs.Factory(dict)
    done: dict[str, int] = attrs.Factory(dict)


def create(now):
    """Return counts that begin at `now`."""
    return BucketLoads(started=now, decayed=now)


def add(loads, renew, now):
    """Count what a host reports in a `leasemsg.Renew`."""
    if not loads.counts:
        loads.started = now
    for bucket, count in renew.buckets:
        loads.counts[bucket] = loads.counts.get(bucket, 0) + count
    if renew.done:
        sample = renew.busy_ms / renew.done
        known = loads.mean_ms.get(renew.host_id, sample)
        done = loads.done.get(renew.host_id, 0) + renew.done
        loads.done[renew.host_id] = done
        # The first ones count equally.
        weight = min(1, max(MEAN_WEIGHT * renew.done, renew.done / done))
        loads.mean_ms[renew.host_id] = known + weight * (sample - known)


def decay(loads, now):
    """Let older arrivals count less."""
    factor = 0.5 ** ((now - loads.decayed) / HALF_LIFE_MS)
    loads.decayed = now
    loads.counts = {
        bucket: count * factor
        for bucket, count in loads.counts.items()
        if count * factor > MIN_COUNT
    }


def rates(loads, now):
    """Return requests per second by bucket."""
    window_s = counted_s(loads, now)
    return {bucket: count / window_s for bucket, count in loads.counts.items()}


def counted_s(loads, now):
    """Return the seconds that the counts stand for."""
    age_ms = max(1, now - loads.started)
    full_s = HALF_LIFE_MS / clock.MS_PER_S / math.log(2)
    return full_s * (1 - 0.5 ** (age_ms / HALF_LIFE_MS))
