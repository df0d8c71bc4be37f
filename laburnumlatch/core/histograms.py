"""Latency histograms in milliseconds."""

from hdrh import histogram

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


def new_histogram():
    """Return an empty histogram of latencies from 1 ms to 10 min."""
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def percentiles(recorded):
    """Summarize a histogram as a dict.

    It holds `count`, the percentiles in ms under names like `p50` and
    `p99.9`, and `max` in ms.
    """
    by_name = {
        f'p{percent:g}': recorded.get_value_at_percentile(percent)
        for percent in PERCENTILES
    }
    return {
        'count': recorded.get_total_count(),
        **by_name,
        'max': recorded.get_max_value(),
    }
