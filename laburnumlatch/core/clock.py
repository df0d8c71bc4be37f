"""Clocks that return the time in whole milliseconds."""

import abc
import time

MS_PER_S = 1000
US_PER_MS = 1000
NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def now(self):
        """Return milliseconds since an arbitrary fixed point, as an int."""


class MonotonicClock(Clock):
    """The monotonic clock of the operating system."""

    def now(self):
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() // NS_PER_MS


class BoottimeClock(Clock):
    """A monotonic clock that also counts time spent in suspend.

    A lease must not outlive its term because its host was suspended: when
    the host resumes, the time asleep counts towards the end of the lease.
    """

    def now(self):
        """Return milliseconds since the host booted, suspend included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class WallClock(Clock):
    """The wall clock of this machine, which may jump in either direction."""

    def now(self):
        """Return Unix time in milliseconds."""
        return time.time_ns() // NS_PER_MS


class SteadyWallClock(Clock):
    """The time of day as it was at the start, moved on by a steady clock.

    Unlike the wall clock it never jumps, so its times keep their order.
    """

    def __init__(self, wall_clock=None, steady_clock=None):
        """Read the time of day once; both clocks are `Clock`s."""
        self._steady_clock = steady_clock or BoottimeClock()
        self._offset_ms = (
            wall_clock or WallClock()
        ).now() - self._steady_clock.now()

    def now(self):
        """Return Unix time in milliseconds."""
        return self._steady_clock.now() + self._offset_ms


class ManualClock(Clock):
    """A clock that moves only by `advance`, for tests and workloads."""

    def __init__(self, start=0):
        """Start at `start` milliseconds."""
        self._now = start

    def now(self):
        """Return the current simulated time in milliseconds."""
        return self._now

    def advance(self, duration_ms):
        """Move forward by `duration_ms` and return the new time."""
        self._now += duration_ms
        return self._now
