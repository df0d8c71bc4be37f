"""System: retries safe requests that wait on a silent kept connection.

A kept connection to the backend server may stop passing data while new
connections work. Such a connection shows when requests that were started
later finish first. If all slots wait on silent connections, no request
finishes at all; one safe request is then retried on a new connection.
"""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.pacing import serverload

CHECK_INTERVAL_MS = 100
# A late request counts as stuck once this many requests of its route that
# were started later have finished.
MIN_LATER_FINISHED = 2
# A request is late after this multiple of its usual work time. Shorter delays
# are common: requests for keys that moved without their state take four times
# as long, and so do requests at a slow server.
LATE_WORK_TIMES = 5
# A request is retried only if its deadline leaves it this multiple of its
# usual work time: a retry needs a little more than the usual time.
RETRY_WORK_TIMES = 1.5


def run(agent, now):
    """Retry one late request if all slots are taken and none finishes."""
    backend = agent.backend
    if backend is None:
        return
    if backend.running < serverload.usable_slots(backend):
        return
    if not agent.due('silence', CHECK_INTERVAL_MS, now):
        return
    late_requests = [
        request for request in agent.running if _is_late(agent, request, now)
    ]
    oldest = min(late_requests, key=_start_time, default=None)
    if oldest is not None and _is_stalled(agent, oldest, now):
        _retry(agent, oldest, now)


def record_completion(agent, finished, now):
    """Count a finished request for older ones of its route; retry stuck ones.

    `finished` is the request whose response has arrived.
    """
    # A retry ran on a new connection, so it alone is enough evidence that
    # older requests of its route are stuck.
    count = MIN_LATER_FINISHED if finished.is_retry else 1
    for request in agent.running:
        is_older = request.started_at < finished.started_at
        if not is_older or request.route != finished.route:
            continue
        request.later_finished += count
        if request.later_finished >= MIN_LATER_FINISHED and _is_late(
            agent, request, now
        ):
            _retry(agent, request, now)


def _is_late(agent, request, now):
    """Return whether a running request is overdue and has time for a retry.

    None is before the usual time of its route is known.
    """
    if not request.is_safe or request.is_retry:
        return False
    if not worktimes.is_known(agent, request.route):
        return False
    usual_ms = worktimes.usual_work_ms(agent, request.route)
    return (
        now - request.started_at >= LATE_WORK_TIMES * usual_ms
        and request.deadline - now >= RETRY_WORK_TIMES * usual_ms
    )


def _is_stalled(agent, oldest, now):
    """Return whether nothing has finished for long, and no retry is running."""
    is_retry_running = any(request.is_retry for request in agent.running)
    usual_ms = worktimes.usual_work_ms(agent, oldest.route)
    silent_ms = now - agent.backend.last_response
    return not is_retry_running and silent_ms >= LATE_WORK_TIMES * usual_ms


def _start_time(request):
    return request.started_at


def _retry(agent, request, now):
    """Cancel the exchange and send the request on a new connection."""
    if not dispatch.may_send_again(agent, request, now):
        return
    decisions.record(
        agent,
        request,
        'connection-silent',
        waited_ms=now - request.started_at,
        overtaken=request.later_finished,
        left_ms=request.deadline - now,
    )
    expiry.cancel(agent, request)
    dispatch.send(agent, request, now)
