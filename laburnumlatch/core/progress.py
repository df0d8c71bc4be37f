"""Progress lines for long-running work."""

INTERVAL_MS = 2000


class Progress:
    """Writes at most one progress line every `INTERVAL_MS`.

    Work that takes less time than that writes none.
    """

    def __init__(self, time_source, stream, work):
        """Take a `clock.Clock`, a text stream and the name of the work."""
        self._clock = time_source
        self._stream = stream
        self._work = work
        self._next_line_at = time_source.now() + INTERVAL_MS

    def report(self, share):
        """Write a line if one is due; `share` is the part done, 0 to 1."""
        now = self._clock.now()
        if now >= self._next_line_at:
            self._next_line_at = now + INTERVAL_MS
            self._stream.write(f'{self._work}: {share:.0%} done\n')
            self._stream.flush()
