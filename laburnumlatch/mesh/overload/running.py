"""The requests that occupy a slot of the local backend server."""

import collections

import attrs

from laburnumlatch.mesh import rows


@attrs.define(frozen=True)
class _Slot:
    """A running request, as it counts in the totals."""

    request: rows.Request
    started_at: int
    usual_ms: float


@attrs.define
class Totals:
    """Sums over running requests; the times are in ms.

    `usual_ms` is the work time that was usual when each of them started.
    """

    count: int = 0
    started_at: int = 0
    usual_ms: float = 0

    def add(self, slot, sign):
        """Add a slot, or take it off if `sign` is -1."""
        self.count += sign
        self.started_at += sign * slot.started_at
        self.usual_ms += sign * slot.usual_ms

    def slowdown(self, now):
        """Return the time since the starts over the usual work time."""
        return (self.count * now - self.started_at) / self.usual_ms


_NOTHING = Totals()


class RunningRequests:
    """Running requests by number, with sums of all and of each route."""

    def __init__(self):
        """Start empty."""
        self.totals = Totals()
        self._slots = {}
        self._by_route = collections.defaultdict(Totals)

    def __len__(self):
        """Return the number of running requests."""
        return len(self._slots)

    def __iter__(self):
        """Iterate over a snapshot of the requests."""
        return iter([slot.request for slot in self._slots.values()])

    def put(self, request, usual_ms):
        """Add a request, or count it as started again.

        `usual_ms` is the usual time of requests of its route that are found
        running.
        """
        self.pop(request.number)
        slot = _Slot(request, request.started_at, usual_ms)
        self._slots[request.number] = slot
        self._count(slot, 1)

    def pop(self, number):
        """Remove the request with this number, if it runs."""
        slot = self._slots.pop(number, None)
        if slot is not None:
            self._count(slot, -1)

    def totals_of(self, route):
        """Return the `Totals` of one route, or of all if it is None."""
        if route is None:
            return self.totals
        return self._by_route.get(route, _NOTHING)

    def usual_times_ms(self):
        """Return the usual work time of each running request."""
        return [slot.usual_ms for slot in self._slots.values()]

    def _count(self, slot, sign):
        route = slot.request.route
        self.totals.add(slot, sign)
        self._by_route[route].add(slot, sign)
        if not self._by_route[route].count:
            self._by_route.pop(route)
