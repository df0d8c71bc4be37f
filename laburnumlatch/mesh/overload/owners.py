"""What an agent knows about the queues of the hosts that own keys.

Owners report the wait in their queue by rank with each response. The agent of
the caller refuses at once what the owner would refuse: that spares both the way
there, and the caller learns sooner when to come back.
"""

import attrs

from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import pace

# Owners report the waits of this many ranks. Operators' files give at most ten
# priorities; other platforms may give more.
MIN_RANKS = 3
MAX_RANKS = 10
# A host may have refused requests for a reason that is over by now.
MAX_REPORT_AGE_MS = 1000
# An owner may start a request ahead of some of its rank, so that a wait a
# little beyond the bound is no certain refusal.
MARGIN_RATIO = 1.1


@attrs.define(frozen=True)
class Refusal:
    """The wait that is expected at an owner, and the longest one, in ms."""

    wait_ms: int
    longest_wait_ms: int


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

    Ranks without a reported one wait for all that are queued.
    """
    wait_ms = host.wait_ms
    if rank < len(host.waits):
        wait_ms = host.waits[max(0, rank)]
    return max(0, wait_ms - (now - host.reported_at))


def refusal(agent, request, host, now):
    """Return a `Refusal` if the owner is certain to refuse a request, or None.

    A request passes if no other one is on its way there, so that its response
    renews the figures. Nested calls pass as well: their refusal costs most.
    Ranks beyond `MAX_RANKS` pass, as others behind them may be queued there.
    """
    is_old = now - host.reported_at > MAX_REPORT_AGE_MS
    if request.is_nested or is_old or not host.in_flight or not host.waits:
        return None
    if request.rank >= MAX_RANKS:
        return None
    # The work time that the owner expects is not known: what it reports is
    # multiplied by its slowdown.
    left_ms = request.deadline - now
    longest_ms = int(agent.wait_policy.max_wait_ms(request, left_ms))
    wait_ms = int(expected_wait_ms(host, request.rank, now))
    if wait_ms <= longest_ms * MARGIN_RATIO:
        return None
    return Refusal(wait_ms, longest_ms)
