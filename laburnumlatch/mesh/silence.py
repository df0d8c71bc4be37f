"""System: repeats reads whose connection to the backend server is silent.

A kept connection may pass nothing any more though new ones work. It shows
when requests on newer connections end first. If all slots wait on silent
connections nothing ends at all, so one read is then tried on a new one.
"""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import worktimes

CHECK_MS = 100
# A read counts as stuck when so many later ones have ended before it.
MIN_OVERTAKEN = 2
# Shorter delays are usual: keys that moved without their state take four
# times as long, and so does work on a slow server.
MIN_WORK_TIMES = 5
# A repeat needs a little more than the usual time.
REPEAT_WORK_TIMES = 1.5


def run(agent, now):
    """Try one read again if all slots are taken and nothing ends."""
    backend = agent.backend
    if backend is None or backend.running < backend.slots:
        return
    if not agent.due('silence', CHECK_MS, now):
        return
    late = [
        request for request in agent.requests if _is_late(agent, request, now)
    ]
    oldest = min(late, key=_started, default=None)
    if oldest is not None and _has_no_news(agent, oldest, now):
        _repeat(agent, oldest, now)


def note_end(agent, ended, now):
    """Repeat the reads that too many requests of their route overtook."""
    # A repeat has a new connection: its end tells enough about the others.
    count = MIN_OVERTAKEN if ended.is_retry else 1
    for request in agent.requests:
        is_older = request.started < ended.started
        if not is_older or request.route != ended.route:
            continue
        request.later_finished += count
        if request.later_finished >= MIN_OVERTAKEN and _is_late(
            agent, request, now
        ):
            _repeat(agent, request, now)


def _is_late(agent, request, now):
    if request.state != rows.RequestState.RUNNING:
        return False
    if not request.is_safe or request.is_retry:
        return False
    usual_ms = worktimes.usual_ms(agent, request.route)
    return (
        now - request.started >= MIN_WORK_TIMES * usual_ms
        and request.deadline - now >= REPEAT_WORK_TIMES * usual_ms
    )


def _has_no_news(agent, oldest, now):
    """Tell whether nothing ends any more, and no repeat is under way."""
    is_tried = any(
        request.state == rows.RequestState.RUNNING and request.is_retry
        for request in agent.requests
    )
    usual_ms = worktimes.usual_ms(agent, oldest.route)
    silent_ms = now - agent.backend.last_response
    return not is_tried and silent_ms >= MIN_WORK_TIMES * usual_ms


def _started(request):
    return request.started


def _repeat(agent, request, now):
    # The key may have been asked back, or the server be leaving, meanwhile.
    if not admission.may_start(agent, request, now):
        return
    if admission.is_closed(agent.backend, now):
        return
    if not retrybudget.take(agent, request.service, now):
        return
    counting.count(agent, 'requests_repeated', service=request.service)
    decisions.note(
        agent,
        request,
        'connection-silent',
        waited_ms=now - request.started,
        overtaken=request.later_finished,
        left_ms=request.deadline - now,
    )
    expiry.cancel(agent, request)
    dispatch.send(agent, request, now)
