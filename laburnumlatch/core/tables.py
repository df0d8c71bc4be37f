"""Tables of rows by key, and priority queues of keys by due time."""

import heapq


class Table:
    """Rows by key, in insertion order."""

    def __init__(self):
        """Start empty."""
        self._rows = {}

    def __len__(self):
        """Return the number of rows."""
        return len(self._rows)

    def __contains__(self, key):
        """Return whether there is a row under `key`."""
        return key in self._rows

    def __iter__(self):
        """Iterate over a snapshot, so that rows may be removed meanwhile."""
        return iter(tuple(self._rows.values()))

    def keys(self):
        """Return a snapshot of the keys."""
        return tuple(self._rows)

    def items(self):
        """Return a snapshot of (key, row) pairs."""
        return tuple(self._rows.items())

    def get(self, key):
        """Return the row under `key`, or None."""
        return self._rows.get(key)

    def put(self, key, row):
        """Insert or replace the row under `key` and return it."""
        self._rows[key] = row
        return row

    def clear(self):
        """Remove all rows."""
        self._rows.clear()

    def pop(self, key):
        """Remove and return the row under `key`, or None."""
        return self._rows.pop(key, None)


class DueQueue:
    """A priority queue of keys, ordered by due time in ms.

    An entry stays queued when the row of its key is removed or gets a later
    due time; the reader has to skip such stale entries.
    """

    def __init__(self):
        """Start empty."""
        self._heap = []

    def __len__(self):
        """Return the number of entries, stale ones included."""
        return len(self._heap)

    @property
    def next_due(self):
        """Due time in ms of the earliest entry, or None."""
        return self._heap[0][0] if self._heap else None

    def push(self, due_ms, key):
        """Add `key` with its due time in ms."""
        heapq.heappush(self._heap, (due_ms, key))

    def pop_due(self, now):
        """Remove and return the keys due by `now`, earliest first."""
        due_keys = []
        while self._heap and self._heap[0][0] <= now:
            due_keys.append(heapq.heappop(self._heap)[1])
        return due_keys

    def drop_stale(self, is_live):
        """Remove the earliest entries up to the first whose key `is_live`."""
        while self._heap and not is_live(self._heap[0][1]):
            heapq.heappop(self._heap)
