"""Where the loop spends its time, and a line about each pass that is late.

A pass is what the loop does between two polls of its sockets. Input that
arrives in a pass waits for its end, so a long one delays everything here.
"""

import heapq
import selectors
import time

from laburnumlatch.core import logs

# Callers count in hundreds of ms; agents give up a silent peer after 800.
LATE_MS = 100
# After a pass of this time ends of requests may wait behind them.
HELD_MS = 40
# Reading the head of a request, its body and its close takes a pass each, and
# some more for the library to report them.
CATCH_UP_PASSES = 8
# So many parts of a late pass are named.
TOLD = 4
# What runs outside systems: reading, decoding, timers of libraries.
INPUT = 'input'

_log = logs.logger('loop')


class LoopTimes:
    """Times of the present pass, by part of the program."""

    def __init__(self, time_source):
        """Start before the first pass; `time_source` is a `clock.Clock`."""
        self._clock = time_source
        self._began = None
        self._marks = []
        self._handled = {}
        self._passes = 0
        self._held_pass = None

    @property
    def may_have_more(self):
        """Whether input that came meanwhile may not have been read yet.

        After a long pass a connection may hold more than one piece of input,
        as a request and the close behind it. Each poll brings one of them.
        """
        if self._held_pass is None:
            return False
        return self._passes <= self._held_pass + CATCH_UP_PASSES

    def begin(self):
        """Note that the loop has polled its sockets."""
        self._began = self._clock.now()
        self._passes += 1

    def note(self, part):
        """Count the time since the last note as spent in `part`."""
        self._marks.append((part, self._clock.now()))

    def count(self, kind, number):
        """Count messages of a class that the pass has handled."""
        if number:
            name = kind.__name__
            self._handled[name] = self._handled.get(name, 0) + number

    def end(self):
        """Write a line if the pass was late, and forget it."""
        if self._began is not None:
            self.note(INPUT)
            took_ms = self._marks[-1][1] - self._began
            if took_ms >= HELD_MS:
                self._held_pass = self._passes
            if took_ms >= LATE_MS:
                self._tell(took_ms)
        self._marks.clear()
        self._handled.clear()

    def _tell(self, took_ms):
        _log.notice(
            'pass-late',
            took_ms=took_ms,
            spent_ms=_highest(self._spent_ms()),
            handled=_highest(self._handled),
            processor_s=round(time.process_time(), 2),
        )

    def _spent_ms(self):
        spent_ms = {}
        last = self._began
        for part, marked in self._marks:
            spent_ms[part] = spent_ms.get(part, 0) + marked - last
            last = marked
        return spent_ms


class TimedSelector(selectors.DefaultSelector):
    """A selector that tells `LoopTimes` where passes begin and end."""

    def __init__(self, times):
        """Tell `times`, a `LoopTimes`."""
        super().__init__()
        self._times = times

    def select(self, timeout=None):
        """Wait for sockets like the selector of the library."""
        self._times.end()
        ready = super().select(timeout)
        self._times.begin()
        return ready


def _highest(figures):
    names = heapq.nlargest(TOLD, figures, key=figures.get)
    return {name: figures[name] for name in names if figures[name]}
