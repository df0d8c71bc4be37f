"""Actions in the order of their due times on a fake clock."""

import heapq
import itertools

from laburnumlatch.core import clock


class Schedule:
    """Moves a `ManualClock` from one due action to the next."""

    def __init__(self):
        """Start at 0 ms without actions."""
        self._clock = clock.ManualClock()
        self._events = []
        self._sequence = itertools.count()

    @property
    def now(self):
        """Time in ms."""
        return self._clock.now()

    @property
    def next_due(self):
        """Due time of the first action in ms, or None."""
        return self._events[0][0] if self._events else None

    def at(self, due_ms, action, *arguments):
        """Call `action(*arguments)` at `due_ms`."""
        event = (due_ms, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def after(self, delay_ms, action, *arguments):
        """Call `action(*arguments)` in `delay_ms`."""
        self.at(self.now + delay_ms, action, *arguments)

    def step(self):
        """Move to the next due time and carry out all that is due then."""
        due_ms = self._events[0][0]
        self._clock.advance(due_ms - self.now)
        while self._events and self._events[0][0] <= due_ms:
            _, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class Wakes:
    """At most one wake-up in force for each key."""

    def __init__(self, schedule, action):
        """Call `action(key)` for each wake-up, on `schedule`."""
        self._schedule = schedule
        self._action = action
        self._planned = {}

    def plan(self, key, due_ms):
        """Wake `key` at `due_ms` or earlier, and not before the next ms."""
        now = self._schedule.now
        due_ms = max(now + 1, due_ms)
        if not now < self._planned.get(key, 0) <= due_ms:
            self._planned[key] = due_ms
            self._schedule.at(due_ms, self._wake, key, due_ms)

    def _wake(self, key, due_ms):
        # An earlier wake-up may have replaced this one.
        if self._planned[key] == due_ms:
            self._action(key)
