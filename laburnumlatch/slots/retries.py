"""Retry budget and backoff, so that retries do not add to an overload."""

from laburnumlatch.slots import rows

MS_PER_S = 1000
WINDOW_S = 10
# A share of recent successes; the minimum lets an idle agent retry at all.
SUCCESSES_PER_RETRY = 10
MIN_RETRIES = 10
FIRST_BACKOFF_MS = 20
MAX_BACKOFF_MS = 400
MAX_DOUBLINGS = 5


def count_success(world, now):
    """Count one complete answer."""
    _window(world, now).successes += 1


def take(world, now):
    """Spend one retry of the budget; return False if none is left."""
    window = _window(world, now)
    successes = 0
    spent = 0
    for recent in world.retry_windows:
        successes += recent.successes
        spent += recent.retries
    if spent >= max(MIN_RETRIES, successes // SUCCESSES_PER_RETRY):
        return False
    window.retries += 1
    return True


def backoff_ms(world, waits):
    """Return the wait before a request that waited `waits` times, in ms.

    The first wait is 0: a hint names the new owner, and a reused connection
    often fails alone. The random half of later waits keeps requests that
    failed together from returning together.
    """
    longest = longest_backoff_ms(waits)
    return world.rng.randint(longest // 2, longest)


def longest_backoff_ms(waits):
    """Return the most that `backoff_ms` may be, in ms."""
    if not waits:
        return 0
    longest = FIRST_BACKOFF_MS * 2 ** min(waits - 1, MAX_DOUBLINGS)
    return min(longest, MAX_BACKOFF_MS)


def _window(world, now):
    second = now // MS_PER_S
    window = world.retry_windows.get(second)
    if window is None:
        seconds = world.retry_windows.keys()
        for old in seconds:
            if old <= second - WINDOW_S:
                world.retry_windows.pop(old)
        window = world.retry_windows.put(second, rows.RetryWindow(second))
    return window
