"""Histograms of latencies in ms."""

from hdrh import histogram

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


def new_histogram():
    """Return an empty histogram of latencies from 1 ms to 10 min."""
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def percentiles(recorded):
    """Return a dict of percentiles in ms, with `count` and `max`."""
    found = {
        f'p{percent:g}': recorded.get_value_at_percentile(percent)
        for percent in PERCENTILES
    }
    return {
        'count': recorded.get_total_count(),
        **found,
        'max': recorded.get_max_value(),
    }
