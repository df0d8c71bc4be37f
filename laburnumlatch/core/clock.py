"""Time in whole milliseconds from a clock that never goes back."""

import abc
import time

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self):
        """Return milliseconds since an arbitrary fixed point, as an int."""


class MonotonicClock(Clock):
    """The monotonic clock of this machine."""

    def now(self):
        """Return milliseconds of the operating system's monotonic clock."""
        return time.monotonic_ns() // NS_PER_MS


class BoottimeClock(Clock):
    """A clock that also counts the time for which the host was suspended.

    A lease that ends while the host sleeps has ended when it wakes up.
    """

    def now(self):
        """Return milliseconds since the host was started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class WallClock(Clock):
    """The time of day of this machine, which may be set back."""

    def now(self):
        """Return milliseconds of Unix time."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and workloads."""

    def __init__(self, start=0):
        """Start at `start` milliseconds."""
        self._now = start

    def now(self):
        """Return the time set by the last `advance`."""
        return self._now

    def advance(self, duration_ms):
        """Move forward by `duration_ms` and return the new time."""
        self._now += duration_ms
        return self._now
