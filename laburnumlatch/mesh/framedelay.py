"""How long frames of another agent have been on their way.

Clocks of two agents differ by an unknown time, so the least difference that
was seen stands for that time and the usual way together.
"""

# Clocks may differ by 2 % each way. The least difference grows so much each
# ms, or a fast clock would look like a delay.
DRIFT_RATE = 0.04


class FrameDelay:
    """Frames of one connection, all stamped by the clock of their sender."""

    def __init__(self):
        """Start without a frame."""
        self._least = None
        self._last_read = 0

    def excess_ms(self, made, read):
        """Return what a frame spent on its way beyond the least seen, in ms.

        `made` is by the sender's clock, `read` by the own one.
        """
        difference = read - made
        if self._least is None:
            self._least = difference
        else:
            self._least += (read - self._last_read) * DRIFT_RATE
            self._least = min(self._least, difference)
        self._last_read = read
        return int(difference - self._least)
