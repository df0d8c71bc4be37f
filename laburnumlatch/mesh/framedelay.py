"""Estimates how long frames from another agent were delayed in transit.

The clocks of two agents differ by an unknown offset. The smallest difference
seen between receive time and creation time is taken as this offset plus the
usual network delay; only time beyond it counts as delay.
"""

# Each of two clocks may be off by 2 %. The smallest difference grows by this
# share of the time that passes, or a fast clock would look like a delay.
MAX_DRIFT_RATIO = 0.04


class FrameDelay:
    """Delay of the frames of one connection, stamped by the sender's clock."""

    def __init__(self):
        """Start with no frame received."""
        self._min_difference_ms = None
        self._last_received_at = 0

    def excess_ms(self, created_at, received_at):
        """Record a frame; return its delay beyond the smallest one, in ms.

        `created_at` is in ms of the sender's clock, `received_at` in ms of
        the local one.
        """
        difference_ms = received_at - created_at
        if self._min_difference_ms is None:
            self._min_difference_ms = difference_ms
        else:
            self._min_difference_ms += (
                received_at - self._last_received_at
            ) * MAX_DRIFT_RATIO
            self._min_difference_ms = min(
                self._min_difference_ms, difference_ms
            )
        self._last_received_at = received_at
        return int(difference_ms - self._min_difference_ms)
