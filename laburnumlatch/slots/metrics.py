"""Counters and latency percentiles of a running agent."""

import re

import attrs
from hdrh import histogram

from laburnumlatch.core import histograms


@attrs.define
class Counter:
    """How often something happened since the agent started."""

    name: str
    total: int = 0


@attrs.define
class Latency:
    """Time from arrival to the end of the answer, by class, in ms."""

    class_name: str
    recorded: histogram.HdrHistogram = attrs.Factory(histograms.new_histogram)


def count(world, name, amount=1):
    """Add `amount` to the counter `name`."""
    counter = world.counters.get(name)
    if counter is None:
        counter = world.counters.put(name, Counter(name))
    counter.total += amount


def observe(world, class_name, latency_ms):
    """Record the latency of one answer."""
    row = world.latencies.get(class_name)
    if row is None:
        row = world.latencies.put(class_name, Latency(class_name))
    row.recorded.record_value(
        min(max(1, latency_ms), histograms.MAX_LATENCY_MS),
    )


def snapshot(world):
    """Return all counters and percentiles as a plain dict."""
    return {
        'counters': {row.name: row.total for row in world.counters},
        'latency_ms': {
            row.class_name: histograms.percentiles(row.recorded)
            for row in world.latencies
        },
        'requests': len(world.requests),
    }


def as_text(world):
    """Return all counters and percentiles as lines of name and number."""
    lines = [f'{_name(row.name)} {row.total}' for row in world.counters]
    for row in world.latencies:
        for rank, latency_ms in histograms.percentiles(row.recorded).items():
            name = _name(f'latency_ms {row.class_name} {rank}')
            lines.append(f'{name} {latency_ms}')
    return '\n'.join((*lines, f'requests_open {len(world.requests)}', ''))


def _name(words):
    return re.sub(r'\W+', '_', words)
