"""System: refuses queued requests that more urgent ones have displaced.

Requests that arrive may go ahead of those in the queue. A request that can no
longer start within its bound is refused at once, while its caller has time to
come back, and not when its time is over.
"""

import heapq

import attrs

from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import pace

# Without new requests, the forecast is repeated after this time: the server may
# have become slow.
INTERVAL_MS = 50
# A forecast is off by this much and more, as work times vary. Without the
# margin, requests would be refused that can start in time.
MARGIN_MS = 50


@attrs.define(frozen=True)
class Displaced:
    """A queue entry that cannot start within its bound, and its wait in ms."""

    entry: object
    wait_ms: int


def run(agent, now):
    """Refuse displaced requests, or have other hosts chosen for them."""
    for displaced in find(agent, now):
        _refuse(agent, displaced, now)


def _refuse(agent, displaced, now):
    """Refuse a request as not run, unless another host can serve it in time.

    The agent that forwarded a request chooses for it, and a key has one owner.
    """
    request = displaced.entry.request
    left_ms = int(displaced.entry.start_by) - now
    counting.count(agent, 'requests_displaced', route=request.route)
    decisions.record(
        agent,
        request,
        'displaced',
        wait_ms=displaced.wait_ms,
        waited_ms=now - request.arrived_at,
        late_in_ms=left_ms,
        queued=len(agent.queue),
    )
    is_placed_here = not request.sender and not agent.is_divided(
        request.service
    )
    if is_placed_here and placement.has_room_elsewhere(
        agent, request, now, left_ms
    ):
        request.tried_hosts.append(agent.host_id)
        requests.place_again(agent, request)
        return
    requests.refuse(
        agent,
        request,
        messages.Reason.NO_ROOM,
        agent.wait_policy.retry_after_ms(displaced.wait_ms),
    )


def find(agent, now):
    """Return the `Displaced` entries of the queue, at most once a tick.

    The queue is looked through only after a request has joined it, and after
    `INTERVAL_MS`. No tick is requested for that.
    """
    if not agent.wait_policy.displaces or not len(agent.queue):
        return []
    queue = agent.queue
    if not queue.has_joined and now < queue.checked_at + INTERVAL_MS:
        return []
    queue.has_joined = False
    queue.checked_at = now
    return _Pass(agent, now).run()


class _Pass:
    """One pass over the queue, in starting order.

    Of requests of one rank, the longest is refused in place of a shorter one
    that would be late: so most of them start in time. Those of the most urgent
    rank in the queue are not displaced, as no other rank joins ahead of them.
    Nested calls are left in the queue until they cannot end in time, since a
    refusal wastes the work on their request and the forecast is not certain.
    """

    def __init__(self, agent, now):
        """Start with the slots as they are now."""
        self._agent = agent
        self._now = now
        self._lefts_ms = forecast.remaining_ms(agent)
        self._slowdown = worktimes.slowdown(agent)
        self._last_with_room = startable.last_place_with_room(agent)
        self._ahead_ms = 0
        self._ahead_count = 0
        self._rank = None
        self._longest = []
        self._displaced = []

    def run(self):
        """Return the `Displaced` entries."""
        entries = self._agent.queue.entries()
        first_rank = entries[0].order[0]
        for place, entry in enumerate(entries):
            if entry.order[0] != self._rank:
                self._rank = entry.order[0]
                self._longest.clear()
            is_kept = entry.request.is_nested or self._rank == first_rank
            if is_kept or self._starts_at_once(entry, place):
                self._count(entry, 1)
            elif self._is_late(entry):
                self._displace_for(entry)
            else:
                self._keep(entry)
        return self._displaced

    def _starts_at_once(self, entry, place):
        return place <= self._last_with_room and startable.may_start(
            self._agent, entry.request, self._now
        )

    def _count(self, entry, sign):
        """Add an entry to those ahead, or take it off if `sign` is -1."""
        self._ahead_count += sign
        self._ahead_ms += sign * entry.work_ms

    def _start_in_ms(self):
        """Return when a slot is free, and the pace of a cold server allows."""
        slot_ms = forecast.start_in_ms(
            self._lefts_ms, self._ahead_ms * self._slowdown
        )
        return max(slot_ms, pace.wait_ms(self._agent, self._ahead_count))

    def _is_late(self, entry):
        start_ms = self._now + self._start_in_ms()
        return start_ms > entry.start_by + MARGIN_MS

    def _keep(self, entry):
        self._count(entry, 1)
        heapq.heappush(
            self._longest, (-entry.work_ms, entry.request.number, entry)
        )

    def _displace_for(self, entry):
        """Refuse an entry, or a longer one ahead if that makes it punctual."""
        longest = self._longest[0][2] if self._longest else entry
        if longest.work_ms > entry.work_ms and self._is_punctual_without(
            entry, longest
        ):
            heapq.heappop(self._longest)
            self._refuse(longest)
            self._count(longest, -1)
            self._keep(entry)
        else:
            self._refuse(entry)

    def _is_punctual_without(self, entry, other):
        """Return whether an entry is not late if one ahead of it is refused."""
        self._count(other, -1)
        is_late = self._is_late(entry)
        self._count(other, 1)
        return not is_late

    def _refuse(self, entry):
        wait_ms = int(self._start_in_ms())
        self._displaced.append(Displaced(entry, wait_ms))
