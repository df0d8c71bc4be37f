"""What an agent knows about the queues of other hosts.

Hosts report the wait in their queue by rank with each response, by which the
others choose among them.
"""

from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import pace

# Hosts report the waits of this many ranks. Operators' files give at most ten
# priorities; other platforms may give more.
MIN_RANKS = 3
MAX_RANKS = 10


def waits_by_rank(agent, request):
    """Return the wait by rank for the sender of a request, in ms.

    It is empty if nothing is queued, or if the queue is not sorted by rank.
    Ranks count from 0. The domain of the sender may have had more than its
    share, and then waits longer.
    """
    if not len(agent.queue) or not agent.wait_policy.displaces:
        return ()
    if agent.backend is None or not agent.backend.slots:
        return ()
    count = min(max(MIN_RANKS, agent.queue.last_rank + 1), MAX_RANKS)
    forecasts = _Forecasts(agent)
    return tuple(
        forecasts.wait_ms((
            rank,
            False,
            fairness.has_domain_exceeded(agent, rank, request),
        ))
        for rank in range(count)
    )


class _Forecasts:
    """Waits behind different parts of the queue as it is now."""

    def __init__(self, agent):
        """Find out what is the same for all of them."""
        self._agent = agent
        self._lefts_ms = forecast.remaining_ms(agent)
        self._slowdown = worktimes.slowdown(agent)
        self._last_with_room = startable.last_place_with_room(agent)

    def wait_ms(self, order):
        """Return the wait behind all of an order, for a slot and the pace."""
        queue = self._agent.queue
        place = queue.count_before(order)
        pace_ms = pace.wait_ms(self._agent, place)
        if place <= self._last_with_room:
            return pace_ms
        ahead_ms = queue.work_ms_before(order) * self._slowdown
        start_ms = int(forecast.start_in_ms(self._lefts_ms, ahead_ms))
        return max(start_ms, pace_ms)


def expected_wait_ms(host, rank, now):
    """Return the last reported wait of a rank, less the age of the report.

    A rank without a reported wait has the wait behind the whole queue.
    """
    wait_ms = host.wait_ms
    if rank < len(host.waits):
        wait_ms = host.waits[max(0, rank)]
    return max(0, wait_ms - (now - host.reported_at))
