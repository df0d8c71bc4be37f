"""Exponential backoff with jitter for failed calls to the store."""

import attrs

# A store that rejects many hosts at once must not get several calls a second
# from each of them. Within two seconds after its return, all hosts must have
# the changes that they missed.
INITIAL_DELAY_MS = 300
MAX_DELAY_MS = 1600
# After this many doublings the delay is `MAX_DELAY_MS`.
MAX_DOUBLINGS = 3
# The largest share by which a delay is shortened at random, so that hosts that
# failed together retry at different times.
JITTER_RATIO = 0.25


@attrs.define
class Backoff:
    """Counts the consecutive failures of one kind of call."""

    failures: int = 0

    def record_failure(self, rng):
        """Count a failure; return the delay before the next try in ms."""
        delay_ms = min(INITIAL_DELAY_MS * 2**self.failures, MAX_DELAY_MS)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return int(delay_ms * (1 - JITTER_RATIO * rng.random()))

    def record_success(self):
        """Reset the delay after a response of the store."""
        self.failures = 0
