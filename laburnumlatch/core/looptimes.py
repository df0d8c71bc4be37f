"""Time spent by the loop, and log lines about passes that take too long.

A pass is what the loop does between two polls of its sockets. Input that
arrives during a pass is read only after it, so a long pass delays all work.
"""

import heapq
import selectors
import time

from laburnumlatch.core import logs

# Callers' latency targets are hundreds of ms, and agents give up a peer after
# 800 ms of silence.
LATE_PASS_MS = 100
# After a pass of this length, the close of a caller's connection may still
# wait in its socket behind the request.
LONG_PASS_MS = 40
# Reading the head of a request, its body and the close takes one pass each,
# and the HTTP library needs some more to report them.
CATCH_UP_PASSES = 8
# How many parts and message classes a line about a late pass names.
MAX_LOGGED_NAMES = 4
# Stands for all work outside systems: reading, decoding, timers of libraries.
INPUT_PART = 'input'

_log = logs.logger('loop')


class LoopTimes:
    """Time spent in the current pass, by part of the program."""

    def __init__(self, time_source):
        """Start before the first pass; `time_source` is a `clock.Clock`."""
        self._clock = time_source
        self._pass_start = None
        self._marks = []
        self._handled = {}
        self._passes = 0
        self._last_long_pass = None

    @property
    def may_have_unread_input(self):
        """Whether input that arrived during a long pass may be unread.

        After a long pass a connection may hold several pieces of input, such
        as a request and the close behind it, but each poll reads only one.
        """
        if self._last_long_pass is None:
            return False
        return self._passes <= self._last_long_pass + CATCH_UP_PASSES

    def begin_pass(self):
        """Start a pass; called when the loop has polled its sockets."""
        self._pass_start = self._clock.now()
        self._passes += 1

    def mark(self, part):
        """Attribute the time since the previous mark to `part`."""
        self._marks.append((part, self._clock.now()))

    def count(self, kind, number):
        """Add to the messages of the class `kind` handled in this pass."""
        if number:
            name = kind.__name__
            self._handled[name] = self._handled.get(name, 0) + number

    def end_pass(self):
        """End the pass and reset its figures; log it if it was late."""
        if self._pass_start is not None:
            self.mark(INPUT_PART)
            took_ms = self._marks[-1][1] - self._pass_start
            if took_ms >= LONG_PASS_MS:
                self._last_long_pass = self._passes
            if took_ms >= LATE_PASS_MS:
                self._log_late_pass(took_ms)
        self._marks.clear()
        self._handled.clear()

    def _log_late_pass(self, took_ms):
        _log.notice(
            'pass-late',
            took_ms=took_ms,
            spent_ms=_largest(self._spent_ms()),
            handled=_largest(self._handled),
            processor_s=round(time.process_time(), 2),
        )

    def _spent_ms(self):
        """Return a dict of the ms spent in each part."""
        spent_ms = {}
        previous = self._pass_start
        for part, marked_at in self._marks:
            spent_ms[part] = spent_ms.get(part, 0) + marked_at - previous
            previous = marked_at
        return spent_ms


class TimedSelector(selectors.DefaultSelector):
    """A selector that marks the start and end of passes in a `LoopTimes`."""

    def __init__(self, times):
        """Report to `times`, a `LoopTimes`."""
        super().__init__()
        self._times = times

    def select(self, timeout=None):
        """Wait for sockets, as the base class does, between two passes."""
        self._times.end_pass()
        ready = super().select(timeout)
        self._times.begin_pass()
        return ready


def _largest(figures):
    """Return the largest figures that are not 0, by name."""
    names = heapq.nlargest(MAX_LOGGED_NAMES, figures, key=figures.get)
    return {name: figures[name] for name in names if figures[name]}
