"""When a call to the store that failed is made again."""

import attrs

# A store that turns many hosts away at once must not be asked by all of them
# several times a second; what hosts miss must come within two seconds of its
# return.
INITIAL_DELAY_MS = 300
MAX_DELAY_MS = 1600
# Beyond this the wait is `MAX_DELAY_MS`.
MAX_DOUBLINGS = 3
# Hosts that failed together ask again at different times.
JITTER_RATIO = 0.25


@attrs.define
class Backoff:
    """Counts the failures in a row of one kind of call."""

    failures: int = 0

    def record_failure(self, rng):
        """Note a failure; return after how many ms to try again."""
        wait_ms = min(INITIAL_DELAY_MS * 2**self.failures, MAX_DELAY_MS)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return int(wait_ms * (1 - JITTER_RATIO * rng.random()))

    def record_success(self):
        """Note that the store has answered."""
        self.failures = 0
