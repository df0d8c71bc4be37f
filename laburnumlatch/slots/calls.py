"""Requests and answers as they pass through the front ends, body included.

The systems decide about a call by its number; bodies flow here, bounded.
"""

import asyncio
import collections

import attrs

HIGH_WATER_BYTES = 65536


class BodyBrokenError(Exception):
    """The sender of a body went away before its end."""


class Body:
    """A bounded pipe of body bytes from one connection to another.

    The writer waits while `HIGH_WATER_BYTES` are unread. The bytes read so
    far are kept up to the same size, so that a request can be sent again.
    """

    def __init__(self, keeps=True):
        """Start empty and open; `keeps` bytes for a second reading."""
        self._keeps = keeps
        self._discards = False
        self._chunks = collections.deque()
        self._unread = 0
        self._kept = bytearray()
        self._ended = False
        self._changed = asyncio.Event()
        self._watchers = []
        self.replayable = True
        self.broken = False

    @property
    def is_full(self):
        """Tell whether the writer should wait."""
        return self._unread >= HIGH_WATER_BYTES

    @property
    def unread(self):
        """Number of bytes that wait for the reader."""
        return self._unread

    def watch(self, callback):
        """Call `callback()` after each change until it returns False."""
        self._watchers.append(callback)

    def feed(self, chunk):
        """Append bytes; the caller looks at `is_full` first."""
        if self._discards or self.broken:
            return
        self._chunks.append(chunk)
        self._unread += len(chunk)
        self._notify()

    def end(self):
        """Mark the end of the body."""
        self._ended = True
        self._notify()

    def discard(self):
        """Drop what is unread and all that follows: nobody reads it."""
        self._discards = True
        self._chunks.clear()
        self._unread = 0
        self._notify()

    def break_off(self):
        """Mark that the rest will not come."""
        self.broken = True
        self._notify()

    async def write(self, chunk):
        """Append bytes once there is room."""
        while self.is_full and not self.broken:
            await self._wait()
        self.feed(chunk)

    async def read(self):
        """Return the next bytes, b'' at the end; raise BodyBrokenError."""
        while not self._chunks:
            if self._ended:
                return b''
            if self.broken:
                raise BodyBrokenError
            await self._wait()
        return self._pop(self._unread)

    def read_now(self, size):
        """Return up to `size` bytes, b'' at the end, None if none wait."""
        if self._chunks:
            return self._pop(size)
        return b'' if self._ended else None

    def rewind(self):
        """Make the kept bytes readable again; only if `replayable`."""
        if self._kept:
            self._chunks.appendleft(bytes(self._kept))
            self._unread += len(self._kept)
            self._kept.clear()
        self._watchers.clear()

    def _pop(self, size):
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._unread -= len(chunk)
        self._keep(chunk)
        self._notify()
        return chunk

    def _keep(self, chunk):
        if not self._keeps:
            return
        if len(self._kept) + len(chunk) > HIGH_WATER_BYTES:
            self.replayable = False
            self._kept.clear()
        if self.replayable:
            self._kept += chunk

    async def _wait(self):
        self._changed.clear()
        await self._changed.wait()

    def _notify(self):
        self._changed.set()
        self._watchers = [watch for watch in self._watchers if watch()]


@attrs.define
class AnswerStream:
    """An answer as it arrives from a backend server or another agent."""

    exchange: int
    status: int = 0
    headers: list[tuple[str, str]] = attrs.Factory(list)
    body: Body = attrs.Factory(lambda: Body(keeps=False))


@attrs.define
class Call:
    """One request as a front end received it."""

    number: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    length: int | None
    body: Body = attrs.Factory(Body)
    answer: AnswerStream | None = None
    was_sent: bool = False


class Calls:
    """Open calls by number, shared by the front ends of one agent."""

    def __init__(self):
        """Start without calls."""
        self._calls = {}
        self._last = 0

    def __len__(self):
        """Return how many calls are open."""
        return len(self._calls)

    def open(self, method, path, headers, length):
        """Return a new call under the next number."""
        self._last += 1
        call = Call(self._last, method, path, headers, length)
        self._calls[call.number] = call
        return call

    def get(self, number):
        """Return the call, or None if it has been closed."""
        return self._calls.get(number)

    def close(self, number):
        """Forget a call."""
        self._calls.pop(number, None)
