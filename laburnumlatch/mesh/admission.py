"""System: the queue for the local backend server, and early refusal.

All work for the backend server passes here, so its count is exact.
"""

from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import holdings
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

DEFAULT_WORK_MS = 150.0
WORK_WEIGHT = 0.1
# A request must have this part of the usual time left when it starts.
LATEST_START_RATE = 0.8
DOWN_RETRY_MS = 800
# An agent that has stopped is back after about this time.
RESTART_MS = 1500
# The longest wait, as a part of the target. Requests that must not be repeated
# by a caller at will are worth waiting longer for.
SAFE_WAIT_RATE = 0.4
ONCE_WAIT_RATE = 0.8
NESTED_TARGET_RATE = 2
# The part of the expected wait after which a refused caller finds room.
RETURN_RATE = 0.6


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
                expected_wait_ms(world, now) * RETURN_RATE,
            )


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
    needed_ms = work_ms(world, request.route) * LATEST_START_RATE
    return now + needed_ms > request.deadline


def is_closed(backend, now):
    """Tell whether no request may reach a leaving backend server any more."""
    return backend.closing_at is not None and now >= backend.closing_at


def work_ms(world, route):
    """Return the usual time of a request of a route here, in ms."""
    known = world.work_times.get(route)
    return DEFAULT_WORK_MS if known is None else known


def learn(world, request, now):
    """Learn how long the backend server took for a request."""
    took_ms = max(1, now - request.started)
    known = work_ms(world, request.route)
    world.work_times.put(request.route, known + WORK_WEIGHT * (took_ms - known))
    world.report.busy_ms += took_ms
    world.report.done += 1


def expected_wait_ms(world, now, newcomer=None):
    """Return how long a new request would wait here, in ms.

    Only requests that start before `newcomer` count, None counts all.
    """
    backend = world.backend
    if backend is None or not backend.slots:
        return DOWN_RETRY_MS
    ahead = [
        work_ms(world, request.route)
        for request in world.queue
        if newcomer is None or _order(request) <= _order(newcomer)
    ]
    if backend.running < backend.slots and not ahead:
        return 0
    mean_ms = _mean_work_ms(world)
    # Running requests are half done on average.
    running_ms = backend.running * mean_ms / 2
    return int((sum(ahead) + running_ms) / backend.slots)


def enter(world, request, now):
    """Queue a request for the local backend server, or refuse it."""
    if request.head.key is not None:
        world.report.cells[balancing.cell_of(request.head.key)] += 1
    obstacle = _obstacle(world, now)
    if obstacle is not None:
        requests.refuse(world, request, *obstacle)
        return
    wait_ms = expected_wait_ms(world, now, request)
    if wait_ms > _longest_wait_ms(world, request, now):
        requests.refuse(
            world, request, messages.Reason.NO_ROOM, wait_ms * RETURN_RATE
        )
        return
    request.state = rows.RequestState.QUEUED
    request.host_id = world.host_id
    world.queue.put(request.number, request)


def _longest_wait_ms(world, request, now):
    """Return the wait beyond which the request is better refused at once.

    Under overload the queue stands at its bound, so all that start have
    waited that long. A bound well within the target lets as many requests
    start, but end in time.
    """
    rate = SAFE_WAIT_RATE if request.is_safe else ONCE_WAIT_RATE
    left_ms = request.deadline - now - work_ms(world, request.route)
    if request.is_nested:
        # Its refusal would waste the work of the request that waits for it.
        return left_ms
    return min(left_ms, rate * request.target_ms)


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
    ready.sort(key=_order)
    return ready


def _order(request):
    """Return the rank of a request: urgent ones first, then by target.

    A request with a short target loses more by waiting. Calls that a running
    request waits for have shorter targets than that request, and many come
    at once; at their own target they would push out what callers ask for.
    """
    rate = NESTED_TARGET_RATE if request.is_nested else 1
    return request.priority, request.arrived + rate * request.target_ms


def _mean_work_ms(world):
    means = tuple(world.work_times)
    return sum(means) / len(means) if means else DEFAULT_WORK_MS
