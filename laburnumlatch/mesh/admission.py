"""System: the queue for the local backend server, and early refusal.

All work for the backend server passes here, so its count is exact.
"""

import attrs

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import holdings
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import throttling
from laburnumlatch.mesh import worktimes

# A request must have this part of the usual time left when it starts.
LATEST_START_RATE = 0.8
DOWN_RETRY_MS = 800
# An agent that has stopped is back after about this time.
RESTART_MS = 1500


def run(agent, now):
    """Refuse what waits and can no longer be served in time."""
    obstacle = obstacle_to_all(agent, now)
    for request in agent.queue:
        if obstacle is not None:
            requests.refuse(
                agent, request, obstacle.reason, obstacle.retry_after_ms
            )
        elif not leaving.ends_in_time(agent, request):
            requests.refuse(
                agent, request, _STOPPING.reason, _STOPPING.retry_after_ms
            )
        elif _is_too_late(agent, request, now):
            requests.refuse(
                agent,
                request,
                messages.Reason.TOO_LATE,
                agent.wait_policy.return_ms(worktimes.expected_wait_ms(agent)),
            )


@attrs.define(frozen=True)
class Obstacle:
    """Why a request cannot wait here, and when there may be room again."""

    reason: messages.Reason
    retry_after_ms: int


_STOPPING = Obstacle(messages.Reason.STOPPING, RESTART_MS)


def enter(agent, request, now):
    """Queue a request for the local backend server.

    Returns the `Obstacle` if it is not queued, else None.
    """
    if request.head.key is not None:
        agent.load_report.buckets[balancing.bucket_of(request.head.key)] += 1
    obstacle = obstacle_to_all(agent, now)
    if obstacle is not None:
        return obstacle
    if not leaving.ends_in_time(agent, request):
        return _STOPPING
    if not request.is_nested and not throttling.admits(agent, request.route):
        decisions.note(
            agent,
            request,
            'throttled',
            share=agent.throttles.get(request.route).share,
        )
        return Obstacle(messages.Reason.CALLS_FAIL, throttling.RETRY_MS)
    wait_ms = worktimes.expected_wait_ms(agent, request)
    left_ms = request.deadline - now - worktimes.work_ms(agent, request.route)
    longest_ms = int(agent.wait_policy.longest_wait_ms(request, left_ms))
    decisions.note(
        agent,
        request,
        'queued' if wait_ms <= longest_ms else 'queue-full',
        wait_ms=wait_ms,
        longest_wait_ms=longest_ms,
        running=agent.backend.running,
        queued=len(agent.queue),
    )
    if wait_ms > longest_ms:
        return Obstacle(
            messages.Reason.NO_ROOM, agent.wait_policy.return_ms(wait_ms)
        )
    request.state = rows.RequestState.QUEUED
    request.host_id = agent.host_id
    agent.queue.put(request.number, request)
    return None


def in_order(agent, now):
    """Return the requests that may start now, the first to start first."""
    ready = [
        request for request in agent.queue if may_start(agent, request, now)
    ]
    ready.sort(key=agent.wait_policy.rank)
    return ready


def may_start(agent, request, now):
    """Tell whether this host holds what the request needs."""
    key = request.head.key
    if key is None or not agent.is_divided(request.service):
        return True
    return holdings.may_start(agent, key, now)


def is_closed(backend, now):
    """Tell whether no request may reach a leaving backend server any more."""
    return backend.closing_at is not None and now >= backend.closing_at


def obstacle_to_all(agent, now):
    """Return the `Obstacle` if no work at all can start here, or None."""
    backend = agent.backend
    if backend is None or backend.failed_since is not None:
        return Obstacle(messages.Reason.SERVER_DOWN, DOWN_RETRY_MS)
    if is_closed(backend, now):
        return Obstacle(messages.Reason.NOT_OWNER, 0)
    return None


def _is_too_late(agent, request, now):
    needed_ms = worktimes.work_ms(agent, request.route) * LATEST_START_RATE
    return now + needed_ms > request.deadline
