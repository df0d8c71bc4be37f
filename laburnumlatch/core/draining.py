"""Waits at the end of a process until its output has been taken."""

import asyncio

import attrs

POLL_S = 0.02
# An output of which nothing is taken for this time is given up.
STALLED_MS = 1000


@attrs.define(frozen=True)
class _Progress:
    """How much of an output was left at some time, in ms."""

    unsent_bytes: int
    since: int


class Drain:
    """Watches how outputs are taken.

    `read_unsent()` returns the bytes that have not left the process, by
    output; those that are done are left out.
    """

    def __init__(self, read_unsent, time_source):
        """Start to watch; `time_source` is a `clock.Clock`."""
        self._read_unsent = read_unsent
        self._clock = time_source
        self._progress = {}

    async def wait(self, ends_at):
        """Return when all is taken, or what is left is not; by `ends_at`.

        `ends_at` is in ms of the clock.
        """
        while self._clock.now() < ends_at and self._is_taken():
            await asyncio.sleep(POLL_S)

    def _is_taken(self):
        """Return whether some of an output was taken not long ago."""
        now = self._clock.now()
        is_taken = False
        for output, unsent_bytes in self._read_unsent().items():
            last = self._progress.get(output)
            if last is None or last.unsent_bytes != unsent_bytes:
                last = _Progress(unsent_bytes, now)
                self._progress[output] = last
            is_taken = is_taken or now < last.since + STALLED_MS
        return is_taken
