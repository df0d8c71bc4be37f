"""Non-blocking output of lines to a file descriptor."""

import asyncio
import collections
import os

NEWLINE = b'\n'
# Lines are buffered up to this size while the reader does not read; further
# lines are dropped.
MAX_PENDING_BYTES = 262_144
# The size of one write: what a pipe holds while nobody reads it.
MAX_WRITE_BYTES = 65_536
# Delay before the next attempt to write to a full pipe.
RETRY_S = 0.25


class LineSink:
    """Buffers lines and writes them together when the loop is free.

    Without a running loop each line is written at once.
    """

    def __init__(self, descriptor):
        """Write to `descriptor`, which is set to non-blocking mode."""
        self._descriptor = descriptor
        self._pending = collections.deque()
        self._pending_bytes = 0
        self._left_out = 0
        self._scheduled = None
        os.set_blocking(descriptor, False)

    @property
    def left_out(self):
        """Number of lines dropped because the reader was slow or gone."""
        return self._left_out

    def write(self, line):
        """Queue one line, a string without its newline."""
        body = line.encode() + NEWLINE
        if self._pending_bytes + len(body) > MAX_PENDING_BYTES:
            self._left_out += 1
            return
        self._pending.append(body)
        self._pending_bytes += len(body)
        self._schedule()

    def flush(self):
        """Write as many queued lines as the reader accepts now."""
        self._scheduled = None
        while self._pending:
            chunk = self._next_chunk()
            written = self._write(chunk)
            self._pending_bytes -= written
            if written < len(chunk):
                self._pending.appendleft(chunk[written:])
                self._retry()
                return

    def _next_chunk(self):
        """Remove and join the first lines, up to the size of one write."""
        lines = [self._pending.popleft()]
        size = len(lines[0])
        while self._pending and size + len(self._pending[0]) <= MAX_WRITE_BYTES:
            size += len(self._pending[0])
            lines.append(self._pending.popleft())
        return b''.join(lines)

    def _write(self, chunk):
        """Write a chunk; return the number of bytes written or dropped."""
        try:
            return os.write(self._descriptor, chunk)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed its end: drop the lines.
            self._left_out += chunk.count(NEWLINE)
            return len(chunk)

    def _schedule(self):
        if self._scheduled is not None:
            return
        loop = _running_loop()
        if loop is None:
            self.flush()
        else:
            self._scheduled = loop.call_soon(self.flush)

    def _retry(self):
        loop = _running_loop()
        if loop is not None:
            self._scheduled = loop.call_later(RETRY_S, self.flush)


def _running_loop():
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        # No loop is running while the program starts or exits.
        return None
