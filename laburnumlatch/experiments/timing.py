"""Processor time of repeated work."""

import time

US_PER_S = 1_000_000


def time_us(action, repeats):
    """Return the us of processor time that one call of `action` takes."""
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) * US_PER_S / repeats
