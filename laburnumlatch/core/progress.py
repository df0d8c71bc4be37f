"""A line about the progress of long work, at most every two seconds."""

INTERVAL_MS = 2000


class Progress:
    """Writes the share that is done; quiet for work under two seconds."""

    def __init__(self, ticker, stream, work):
        """Take a `clock.Clock`, a text stream and the name of the work."""
        self._clock = ticker
        self._stream = stream
        self._work = work
        self._due = ticker.now() + INTERVAL_MS

    def report(self, share):
        """Write a line if one is due; `share` is from 0 to 1."""
        now = self._clock.now()
        if now >= self._due:
            self._due = now + INTERVAL_MS
            self._stream.write(f'{self._work}: {share:.0%} done\n')
            self._stream.flush()
