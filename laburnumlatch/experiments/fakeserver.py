"""A fake backend server for workloads: takes time, sheds, starts cold."""

import math

COLD_MS = 10_000
COLD_SPEED = 0.4
SLOW_FACTOR = 5
SHED_RETRY_AFTER_MS = 1000
REPORT_LAG_MS = 3000
SPREAD = (0.6, 1.4)


class FakeServer:
    """Decides how long each request takes; time is the caller's, in ms."""

    def __init__(self, speed, slots, faults, rng):
        """Start warm, with `speed` relative to other backend servers."""
        self._speed = speed
        self._slots = slots
        self._faults = faults
        self._rng = rng
        self._cold_from = -COLD_MS
        self._running = {}
        self._reported = 0
        self._report_due = 0
        self.busy_ms = 0
        self.most_running = 0

    def begin(self, exchange, cost_ms, now):
        """Return ms until the answer, inf if never, or None if it sheds."""
        warmth = min(1, (now - self._cold_from) / COLD_MS)
        allowed = max(1, math.floor(self._slots * warmth))
        if self._has_fault('shed', now) or len(self._running) >= allowed:
            return None
        self._running[exchange] = now
        self.most_running = max(self.most_running, len(self._running))
        if self._has_fault('silent', now):
            return math.inf
        speed = self._speed * (COLD_SPEED + (1 - COLD_SPEED) * warmth)
        if self._has_fault('slow', now):
            speed /= SLOW_FACTOR
        return max(1, round(cost_ms * self._rng.uniform(*SPREAD) / speed))

    def end(self, exchange, now):
        """Free the concurrency slot; return False if it was free already."""
        started = self._running.pop(exchange, None)
        if started is None:
            return False
        self.busy_ms += now - started
        return True

    def restart(self, now):
        """Become cold and return the exchanges that broke."""
        broken = tuple(self._running)
        for exchange in broken:
            self.end(exchange, now)
        self._cold_from = now
        return broken

    def report(self, now):
        """Return the load from 0 to 1 as it was some seconds ago."""
        if now >= self._report_due:
            self._report_due = now + REPORT_LAG_MS
            self._reported = len(self._running) / self._slots
        return self._reported

    def is_up(self, now):
        """Tell whether a probe is answered."""
        return not self._has_fault('silent', now)

    def _has_fault(self, kind, now):
        return any(
            fault.kind == kind and fault.start <= now < fault.end
            for fault in self._faults
        )
