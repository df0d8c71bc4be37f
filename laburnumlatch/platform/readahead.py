"""Bytes of a connection that were read and not parsed yet."""

import collections

# From this many arrivals on, short ones are joined to the last one: each takes
# some 300 bytes, however few it brought.
MAX_ARRIVALS = 64
SHORT_BYTES = 1024


class ReadAhead:
    """Unparsed bytes, and when they arrived in ms of the agent's clock."""

    def __init__(self):
        """Start empty."""
        # Views of what arrived, with the times, in order.
        self._arrivals = collections.deque()
        self._size = 0

    def __len__(self):
        """Return the number of bytes."""
        return self._size

    def append(self, chunk, now):
        """Add bytes that arrived at `now`."""
        self._size += len(chunk)
        if len(self._arrivals) >= MAX_ARRIVALS and len(chunk) < SHORT_BYTES:
            last, arrived_at = self._arrivals[-1]
            if len(last) < SHORT_BYTES:
                joined = b''.join((last, chunk))
                self._arrivals[-1] = (memoryview(joined), arrived_at)
                return
        self._arrivals.append((memoryview(chunk), now))

    def take(self, size):
        """Remove the oldest bytes, at most `size`, that arrived together.

        Returns a view of them, and when they arrived.
        """
        view, arrived_at = self._arrivals.popleft()
        if len(view) > size:
            self._arrivals.appendleft((view[size:], arrived_at))
        piece = view[:size]
        self._size -= len(piece)
        return piece, arrived_at

    def clear(self):
        """Remove all bytes."""
        self._arrivals.clear()
        self._size = 0
