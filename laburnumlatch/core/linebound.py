"""Rate limits for the log lines of each part of the program."""

from laburnumlatch.core import clock
from laburnumlatch.core import records

# Enough for one short line per request at the load of one backend server.
ROUTINE_LINES_PER_S = 150
# A refused request is logged in full, with several lines.
FAILURE_LINES_PER_S = 600
# A part that was quiet may write the lines of this much time in one burst.
BURST_S = 2
# How often a part reports the number of its dropped lines.
REPORT_MS = 1000


@records.define
class TokenBucket:
    """The lines that one part may still write.

    `left` is the number of tokens, one per line, and `refilled_at` the time
    of the last refill in ms. `left_out` counts the lines dropped since
    `reported_at`, the time in ms at which that number was last reported.
    """

    per_s: int
    left: float
    refilled_at: int
    left_out: int = 0
    reported_at: int = 0


class LineLimiter:
    """Limits the lines of each part by token buckets.

    Each part has one bucket for routine lines and one for failures, so that
    a flood of routine lines does not suppress failures.
    """

    def __init__(self, time_source):
        """Refill by the time of `time_source`, a `clock.Clock`."""
        self._clock = time_source
        self._buckets = {}
        self._left_out = 0

    @property
    def left_out(self):
        """Number of lines dropped since the start."""
        return self._left_out

    def admit(self, part, *, is_routine):
        """Take a token for one line; return None if the line is dropped.

        Otherwise return the number of lines dropped since the last report if
        a report is due, or 0.
        """
        bucket = self._refill(part, is_routine)
        if bucket.left < 1:
            bucket.left_out += 1
            self._left_out += 1
            return None
        bucket.left -= 1
        if bucket.refilled_at < bucket.reported_at + REPORT_MS:
            return 0
        left_out = bucket.left_out
        bucket.left_out = 0
        bucket.reported_at = bucket.refilled_at
        return left_out

    def _refill(self, part, is_routine):
        """Return the bucket of a part, filled up to the current time."""
        now = self._clock.now()
        key = (part, is_routine)
        bucket = self._buckets.get(key)
        if bucket is None:
            per_s = ROUTINE_LINES_PER_S if is_routine else FAILURE_LINES_PER_S
            bucket = TokenBucket(per_s, per_s * BURST_S, now)
            self._buckets[key] = bucket
        added = (now - bucket.refilled_at) * bucket.per_s / clock.MS_PER_S
        capacity = bucket.per_s * BURST_S
        bucket.left = min(capacity, bucket.left + added)
        bucket.refilled_at = now
        return bucket
