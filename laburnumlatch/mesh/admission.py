"""System: the queue for the local backend server, and early refusal.

All work for the backend server passes here, so its count is exact.
"""

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import holdings
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


def run(world, now):
    """Refuse what waits and can no longer be served in time."""
    obstacle = _obstacle(world, now)
    for request in world.queue:
        if obstacle is not None:
            requests.refuse(world, request, *obstacle)
        elif _is_too_late(world, request, now):
            requests.refuse(
                world,
                request,
                messages.Reason.TOO_LATE,
                world.wait_policy.return_ms(worktimes.expected_wait_ms(world)),
            )


def enter(world, request, now):
    """Queue a request for the local backend server, or refuse it."""
    if request.head.key is not None:
        world.report.cells[balancing.cell_of(request.head.key)] += 1
    obstacle = _obstacle(world, now)
    if obstacle is not None:
        requests.refuse(world, request, *obstacle)
        return
    if not request.is_nested and not throttling.admits(world, request.route):
        decisions.note(
            world,
            request,
            'throttled',
            share=world.throttles.get(request.route).share,
        )
        requests.refuse(
            world, request, messages.Reason.CALLS_FAIL, throttling.RETRY_MS
        )
        return
    wait_ms = worktimes.expected_wait_ms(world, request)
    left_ms = request.deadline - now - worktimes.work_ms(world, request.route)
    longest_ms = int(world.wait_policy.longest_wait_ms(request, left_ms))
    decisions.note(
        world,
        request,
        'queued' if wait_ms <= longest_ms else 'queue-full',
        wait_ms=wait_ms,
        longest_wait_ms=longest_ms,
        running=world.backend.running,
        queued=len(world.queue),
    )
    if wait_ms > longest_ms:
        requests.refuse(
            world,
            request,
            messages.Reason.NO_ROOM,
            world.wait_policy.return_ms(wait_ms),
        )
        return
    request.state = rows.RequestState.QUEUED
    request.host_id = world.host_id
    world.queue.put(request.number, request)


def in_order(world, now):
    """Return the requests that may start now, the first to start first."""
    is_divided = world.is_divided(world.settings.service)
    ready = [
        request
        for request in world.queue
        if not is_divided
        or request.head.key is None
        or holdings.may_start(world, request.head.key, now)
    ]
    ready.sort(key=world.wait_policy.rank)
    return ready


def is_closed(backend, now):
    """Tell whether no request may reach a leaving backend server any more."""
    return backend.closing_at is not None and now >= backend.closing_at


def _obstacle(world, now):
    """Return why no work can start here, with ms to come back, or None."""
    backend = world.backend
    if backend is None or backend.failed_since is not None:
        return messages.Reason.SERVER_DOWN, DOWN_RETRY_MS
    if is_closed(backend, now):
        return messages.Reason.NOT_OWNER, 0
    if world.is_finishing(now):
        return messages.Reason.SERVER_DOWN, RESTART_MS
    return None


def _is_too_late(world, request, now):
    needed_ms = worktimes.work_ms(world, request.route) * LATEST_START_RATE
    return now + needed_ms > request.deadline
