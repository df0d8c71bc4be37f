"""System: the queue of the local backend server, and early rejection.

Every request to the backend server passes through this queue, so the number
of requests that run there is known exactly.
"""

import attrs

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import throttling
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import queue
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import serverload

# A queued request is refused once the time to its deadline is less than this
# share of its expected work time.
MIN_TIME_LEFT_RATIO = 0.8
SERVER_DOWN_RETRY_AFTER_MS = 800
# An agent that stops is usually back after this time.
AGENT_RESTART_MS = 1500


def run(agent, now):
    """Refuse queued requests that can no longer be served in time."""
    rejection = general_rejection(agent, now)
    for request in agent.queue:
        if rejection is not None:
            _reject_queued(agent, request, rejection)
        elif not leaving.ends_in_time(agent, request):
            requests.refuse(
                agent, request, _STOPPING.reason, _STOPPING.retry_after_ms
            )
        elif _is_too_late(agent, request, now):
            requests.refuse(
                agent,
                request,
                messages.Reason.TOO_LATE,
                agent.wait_policy.retry_after_ms(
                    forecast.expected_wait_ms(agent)
                ),
            )


@attrs.define(frozen=True)
class Rejection:
    """Why a request is not queued here, and when the caller may retry."""

    reason: messages.Reason
    retry_after_ms: int


_STOPPING = Rejection(messages.Reason.STOPPING, AGENT_RESTART_MS)
# The own failure domain is evacuated: other hosts serve the request.
EVACUATED = Rejection(messages.Reason.NOT_OWNER, 0)


def enqueue(agent, request, now):
    """Queue a request for the local backend server, or return a `Rejection`."""
    if request.head.key is not None:
        agent.load_report.buckets[ranges.bucket_of(request.head.key)] += 1
    rejection = general_rejection(agent, now)
    if rejection is not None:
        return rejection
    if not leaving.ends_in_time(agent, request):
        return _STOPPING
    if not request.is_nested and not throttling.admit(agent, request.route):
        decisions.record(
            agent,
            request,
            'throttled',
            share=agent.throttles.get(request.route).share,
        )
        return Rejection(messages.Reason.CALLS_FAIL, throttling.RETRY_AFTER_MS)
    work_ms = worktimes.expected_work_ms(agent, request)
    order, wait_ms = _place_in_queue(agent, request, now, work_ms)
    slack_ms = _useful_until(request) - now - work_ms
    max_wait_ms = int(agent.wait_policy.max_wait_ms(request, slack_ms))
    decisions.record(
        agent,
        request,
        'queued' if wait_ms <= max_wait_ms else 'queue-full',
        wait_ms=wait_ms,
        longest_wait_ms=max_wait_ms,
        running=agent.backend.running,
        queued=len(agent.queue),
    )
    if wait_ms > max_wait_ms:
        return Rejection(
            messages.Reason.NO_ROOM, agent.wait_policy.retry_after_ms(wait_ms)
        )
    request.state = rows.RequestState.QUEUED
    request.host_id = agent.host_id
    agent.queue.join(queue.Entry(request, order, work_ms, now + max_wait_ms))
    return None


def _place_in_queue(agent, request, now, work_ms):
    """Return the order of a request in the queue, and its expected wait."""
    exceeded = 0
    slots = serverload.usable_slots(agent.backend)
    if len(agent.queue) or agent.backend.running >= slots:
        exceeded = fairness.exceeded_shares(agent, request)
    order = agent.wait_policy.rank(request, exceeded)
    has_key = startable.may_start(agent, request, now)
    wait_ms = forecast.expected_wait_ms(agent, order, has_key=has_key)
    if request.is_nested:
        is_late = now + wait_ms + work_ms > request.origin_target_end
        if is_late:
            order = agent.wait_policy.late_rank(request)
            wait_ms = forecast.expected_wait_ms(agent, order, has_key=has_key)
    return order, wait_ms


def startable_requests(agent, now):
    """Return the queued requests that may start now, in starting order."""
    return [
        request
        for request in agent.queue
        if startable.may_start(agent, request, now)
    ]


def is_closed(backend, now):
    """Return whether a leaving backend server accepts no requests any more."""
    return backend.closing_at is not None and now >= backend.closing_at


def general_rejection(agent, now):
    """Return the `Rejection` that applies to every request now, or None."""
    backend = agent.backend
    if backend is None or backend.failed_since is not None:
        return Rejection(
            messages.Reason.SERVER_DOWN, SERVER_DOWN_RETRY_AFTER_MS
        )
    if is_closed(backend, now):
        return Rejection(messages.Reason.NOT_OWNER, 0)
    if not domains.may_start(agent, now):
        return EVACUATED
    return None


def _reject_queued(agent, request, rejection):
    """Refuse a queued request to its sender, or let its ingress place it."""
    if rejection is EVACUATED and not request.sender:
        requests.place_again(agent, request)
    else:
        requests.refuse(
            agent, request, rejection.reason, rejection.retry_after_ms
        )


def _is_too_late(agent, request, now):
    needed_ms = worktimes.expected_work_ms(agent, request) * MIN_TIME_LEFT_RATIO
    return now + needed_ms > _useful_until(request)


def _useful_until(request):
    """Return until when a response is of use, in ms of the agent's clock."""
    return min(request.deadline, request.origin_deadline)
