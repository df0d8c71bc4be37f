"""Lines to a file descriptor, without ever waiting for its reader."""

import asyncio
import collections
import os

NEWLINE = b'\n'
# Lines wait up to this size while the reader does not read; later ones are
# left out.
MAX_WAITING_BYTES = 262_144
# The bytes passed to one write: what a pipe takes without a reader.
MAX_WRITE_BYTES = 65_536
# A reader that was slow is tried again after this time.
RETRY_S = 0.25


class LineSink:
    """Collects lines and writes them together when the loop is free.

    Without a running loop each line is written at once.
    """

    def __init__(self, descriptor):
        """Write to `descriptor`, which no longer blocks from now on."""
        self._descriptor = descriptor
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._left_out = 0
        self._scheduled = None
        os.set_blocking(descriptor, False)

    @property
    def left_out(self):
        """How many lines were dropped because nobody read."""
        return self._left_out

    def write(self, line):
        """Take one line of text, without its newline."""
        body = line.encode() + NEWLINE
        if self._waiting_bytes + len(body) > MAX_WAITING_BYTES:
            self._left_out += 1
            return
        self._waiting.append(body)
        self._waiting_bytes += len(body)
        self._schedule()

    def flush(self):
        """Write what can be written now."""
        self._scheduled = None
        while self._waiting:
            chunk = self._next_chunk()
            written = self._write(chunk)
            self._waiting_bytes -= written
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                self._retry()
                return

    def _next_chunk(self):
        """Remove the first lines, up to the size of one write."""
        taken = [self._waiting.popleft()]
        size = len(taken[0])
        while self._waiting and size + len(self._waiting[0]) <= MAX_WRITE_BYTES:
            size += len(self._waiting[0])
            taken.append(self._waiting.popleft())
        return b''.join(taken)

    def _write(self, chunk):
        try:
            return os.write(self._descriptor, chunk)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has gone for good; there is nobody left to tell.
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
        # Not inside a loop: the program starts or ends.
        return None
