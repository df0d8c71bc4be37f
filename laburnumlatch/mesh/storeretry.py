"""When a call to the store that failed is made again."""

import attrs

# A store that turns many hosts away at once must not be asked by all of them
# several times a second; what hosts miss must come within two seconds of its
# return.
FIRST_MS = 300
LONGEST_MS = 1600
# Beyond this the wait is `LONGEST_MS`.
MAX_DOUBLINGS = 3
# Hosts that failed together ask again at different times.
SPREAD_RATE = 0.25


@attrs.define
class Backoff:
    """Counts the failures in a row of one kind of call."""

    failures: int = 0

    def failed(self, rng):
        """Note a failure; return after how many ms to try again."""
        wait_ms = min(FIRST_MS * 2**self.failures, LONGEST_MS)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return int(wait_ms * (1 - SPREAD_RATE * rng.random()))

    def succeeded(self):
        """Note that the store has answered."""
        self.failures = 0
