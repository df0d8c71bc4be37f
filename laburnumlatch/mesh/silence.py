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


def run(world, now):
    """Try one read again if all slots are taken and nothing ends."""
    backend = world.backend
    if backend is None or backend.running < backend.slots:
        return
    if not world.due('silence', CHECK_MS, now):
        return
    late = [
        request for request in world.requests if _is_late(world, request, now)
    ]
    oldest = min(late, key=_started, default=None)
    if oldest is not None and _has_no_news(world, oldest, now):
        _repeat(world, oldest, now)


def note_end(world, ended, now):
    """Repeat the reads that too many requests of their route overtook."""
    # A repeat has a new connection: its end tells enough about the others.
    count = MIN_OVERTAKEN if ended.is_repeat else 1
    for request in world.requests:
        is_older = request.started < ended.started
        if not is_older or request.route != ended.route:
            continue
        request.overtaken += count
        if request.overtaken >= MIN_OVERTAKEN and _is_late(world, request, now):
            _repeat(world, request, now)


def _is_late(world, request, now):
    if request.state != rows.RequestState.RUNNING:
        return False
    if not request.is_safe or request.is_repeat:
        return False
    usual_ms = worktimes.usual_ms(world, request.route)
    return (
        now - request.started >= MIN_WORK_TIMES * usual_ms
        and request.deadline - now >= REPEAT_WORK_TIMES * usual_ms
    )


def _has_no_news(world, oldest, now):
    """Tell whether nothing ends any more, and no repeat is under way."""
    is_tried = any(
        request.state == rows.RequestState.RUNNING and request.is_repeat
        for request in world.requests
    )
    usual_ms = worktimes.usual_ms(world, oldest.route)
    silent_ms = now - world.backend.last_end
    return not is_tried and silent_ms >= MIN_WORK_TIMES * usual_ms


def _started(request):
    return request.started


def _repeat(world, request, now):
    # The key may have been asked back, or the server be leaving, meanwhile.
    if not admission.may_start(world, request, now):
        return
    if admission.is_closed(world.backend, now):
        return
    if not retrybudget.take(world, request.service, now):
        return
    counting.count(world, 'requests_repeated', service=request.service)
    decisions.note(
        world,
        request,
        'connection-silent',
        waited_ms=now - request.started,
        overtaken=request.overtaken,
        left_ms=request.deadline - now,
    )
    expiry.cancel(world, request)
    dispatch.send(world, request, now)
