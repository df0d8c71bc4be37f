"""The requests that wait for a slot of the local backend server."""

import bisect

import attrs

from laburnumlatch.mesh import rows

# Greater than every part of an order.
_LAST = float('inf')


@attrs.define(frozen=True)
class Entry:
    """A queued request and what the queue needs to know about it.

    `order` is a tuple; lower ones start first. `work_ms` is the work time that
    was expected when the request was queued, and `start_by` the latest time, in
    ms of the agent's clock, at which it may start.
    """

    request: rows.Request
    order: tuple
    work_ms: float
    start_by: float


class RequestQueue:
    """Requests by number, sorted by the order in which they start.

    `has_joined` is set when a request joins, until `displacement` has looked
    through the queue, last at `checked_at`, in ms of the agent's clock.
    """

    def __init__(self):
        """Start empty."""
        self.has_joined = False
        self.checked_at = 0
        self._entries = {}
        self._keys = []
        self._works_ms = []

    def __len__(self):
        """Return the number of queued requests."""
        return len(self._entries)

    def __contains__(self, number):
        """Return whether the request with this number is queued."""
        return number in self._entries

    @property
    def last_rank(self):
        """First part of the order of the request that starts last."""
        return self._keys[-1][0][0]

    def __iter__(self):
        """Iterate over the requests as they are now, in starting order."""
        return iter([entry.request for entry in self.entries()])

    def in_order(self):
        """Iterate as `__iter__` does, while the queue does not change."""
        for _order, number in self._keys:
            yield self._entries[number].request

    def entries(self):
        """Return each `Entry`, in starting order."""
        return [self._entries[number] for _order, number in self._keys]

    def join(self, entry):
        """Add an entry; requests of equal order start by their number."""
        number = entry.request.number
        key = (entry.order, number)
        index = bisect.bisect(self._keys, key)
        self._keys.insert(index, key)
        self._works_ms.insert(index, entry.work_ms)
        self._entries[number] = entry
        self.has_joined = True

    def pop(self, number):
        """Remove and return the entry of a request, or None."""
        entry = self._entries.pop(number, None)
        if entry is not None:
            index = bisect.bisect_left(self._keys, (entry.order, number))
            self._keys.pop(index)
            self._works_ms.pop(index)
        return entry

    def work_ms_before(self, order=None):
        """Return the expected work of the requests that start before `order`.

        Those of the same order, or whose order begins with it, are included;
        None stands for all requests.
        """
        return sum(self._works_ms[: self.count_before(order)])

    def count_before(self, order=None):
        """Return the number of the requests that start before `order`.

        Those of the same order, or whose order begins with it, are included;
        None stands for all requests.
        """
        if order is None:
            return len(self._keys)
        # A longer tuple is greater than its prefix, whatever it adds.
        return bisect.bisect(self._keys, ((*order, _LAST), 0))
