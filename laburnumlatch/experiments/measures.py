"""Measures of a run: imbalance, churn, unavailable time and latency.

All functions are pure. They take the plans and the request results of a run.
"""

import collections
import itertools
import math

import attrs

from laburnumlatch.core import histograms
from laburnumlatch.mesh import ranges

WINDOW_MS = 100


@attrs.define(frozen=True)
class Result:
    """The outcome of one request of a caller.

    `arrived` and `ended` are in ms; `is_useful` tells whether the caller
    received a complete answer before its deadline.
    """

    class_name: str
    arrived: int
    ended: int
    is_useful: bool
    service: str = ''


@attrs.define(frozen=True)
class Imbalance:
    """Spread of busy time: coefficient of variation, and maximum over mean.

    They are 0 and 1 if all hosts were equally busy.
    """

    variation: float
    max_over_mean: float


def imbalance(busy_ms, speeds):
    """Return the `Imbalance` of busy times, weighted by measured speed.

    `busy_ms` and `speeds` are dicts by host ID. A host of twice the speed
    counts twice in the mean and in the coefficient of variation, because an
    idle minute of it wastes twice the work.
    """
    total = sum(speeds[host_id] for host_id in busy_ms)
    mean = sum(speeds[host_id] * busy for host_id, busy in busy_ms.items()) / (
        total or 1
    )
    if not mean:
        return Imbalance(variation=0, max_over_mean=1)
    variance = sum(
        speeds[host_id] * (busy - mean) ** 2
        for host_id, busy in busy_ms.items()
    )
    return Imbalance(
        variation=math.sqrt(variance / total) / mean,
        max_over_mean=max(busy_ms.values()) / mean,
    )


def churn(plans):
    """Return how many keys changed host in a sequence of `ranges.Plan`s."""
    return sum(
        _moved_key_count(older, newer)
        for older, newer in itertools.pairwise(plans)
    )


def _moved_key_count(older, newer):
    """Return how many keys have another host in the newer plan."""
    moved_keys = 0
    for before, after in itertools.product(older.pieces, newer.pieces):
        overlap = ranges.overlap(before, after)
        if overlap is not None and before.host_id != after.host_id:
            moved_keys += overlap[1] - overlap[0] + 1
    return moved_keys


def unavailable_ms(results, window_ms=WINDOW_MS):
    """Return by class the ms in which no request got a useful answer.

    Requests are grouped by arrival time into windows of `window_ms`. Windows
    without a request of the class are not counted.
    """
    is_answered = {}
    for result in results:
        window = (result.class_name, result.arrived // window_ms)
        is_answered[window] = is_answered.get(window, False) or result.is_useful
    unavailable = {class_name: 0 for class_name, _ in is_answered}
    for (class_name, _), has_answer in is_answered.items():
        if not has_answer:
            unavailable[class_name] += window_ms
    return unavailable


def latency(results):
    """Return percentiles of the time to useful answers by class, in ms."""
    by_class = collections.defaultdict(histograms.new_histogram)
    for result in results:
        if result.is_useful:
            by_class[result.class_name].record_value(
                max(1, result.ended - result.arrived),
            )
    return {
        class_name: histograms.percentiles(histogram)
        for class_name, histogram in sorted(by_class.items())
    }


def useful_share(results):
    """Return the share of requests with a useful answer by class."""
    counts = {}
    for result in results:
        useful, total = counts.get(result.class_name, (0, 0))
        counts[result.class_name] = (useful + result.is_useful, total + 1)
    return {
        class_name: useful / total
        for class_name, (useful, total) in sorted(counts.items())
    }
