"""Work times of requests at the local backend server, and the expected wait.

By these estimates agents choose hosts and refuse requests that would end too
late.
"""

from laburnumlatch.mesh import rows
from laburnumlatch.mesh.pacing import pace
from laburnumlatch.mesh.pacing import serverload

DEFAULT_WORK_MS = 150.0
MIN_SAMPLE_WEIGHT = 0.1
# Running requests show a slowdown only if they fill this share of the slots.
MIN_BUSY_SLOT_RATIO = 0.5
# The wait that is reported while there is no backend server.
SERVER_DOWN_WAIT_MS = 800


def current_work_ms(agent, route):
    """Return how long a request of a route takes here now, in ms.

    This is the usual work time multiplied by the current slowdown.
    """
    return usual_work_ms(agent, route) * slowdown(agent)


def usual_work_ms(agent, route):
    """Return the mean work time of a route here, in ms.

    It is `DEFAULT_WORK_MS` until a work time of the route is recorded.
    """
    work_time = agent.work_times.get(route)
    if work_time is None:
        return DEFAULT_WORK_MS
    return work_time.mean_ms * serverload.usual_slowness(agent)


def is_known(agent, route):
    """Return whether a work time of the route has been recorded here."""
    return agent.work_times.get(route) is not None


def slowdown(agent):
    """Return how many times longer than usual requests take now, at least 1.

    Requests that are still running show earlier than finished ones that the
    backend server has become slow, or is still cold after a start. If it also
    reports how slow its machine is, the higher of both counts.
    """
    reported = serverload.slowdown(agent)
    backend = agent.backend
    if backend is None:
        return 1
    running = [
        request
        for request in agent.requests
        if request.state == rows.RequestState.RUNNING
    ]
    if not running or len(running) < backend.slots * MIN_BUSY_SLOT_RATIO:
        # A few long requests are no evidence of a slow server.
        return reported
    elapsed_ms = sum(agent.now - request.started_at for request in running)
    usual_ms = sum(usual_work_ms(agent, request.route) for request in running)
    return max(reported, elapsed_ms / usual_ms)


def record_work_time(agent, request, now, *, has_failed):
    """Update the mean work time of a route with a request that has ended.

    Failures are often quick and would make the server look fast, so a failure
    counts only if it took longer than usual.
    """
    elapsed_ms = max(1, now - request.started_at)
    usual_ms = usual_work_ms(agent, request.route)
    if has_failed and elapsed_ms < usual_ms:
        return
    # What the machine was slow by meanwhile is multiplied in again by those
    # who use the mean.
    elapsed_ms /= serverload.slowness(agent)
    work_time = agent.work_times.get(request.route)
    if work_time is None:
        work_time = agent.work_times.put(request.route, rows.WorkTime(usual_ms))
    work_time.count += 1
    # The first samples have equal weight, and the first one replaces the
    # default, which is only a guess.
    weight = max(MIN_SAMPLE_WEIGHT, 1 / work_time.count)
    work_time.mean_ms += weight * (elapsed_ms - work_time.mean_ms)
    agent.load_report.busy_ms += round(elapsed_ms)
    agent.load_report.done += 1


def expected_wait_ms(agent, new_request=None):
    """Return how long a new request would wait in the queue here, in ms.

    It waits for a slot and, while the server is cold, for the pace. Only
    queued requests that start before `new_request` count; all count if it is
    None.
    """
    backend = agent.backend
    if backend is None or not backend.slots:
        return SERVER_DOWN_WAIT_MS
    rank = agent.wait_policy.rank
    queued_ms = [
        usual_work_ms(agent, request.route)
        for request in agent.queue
        if new_request is None or rank(request) <= rank(new_request)
    ]
    pace_ms = pace.wait_ms(agent, len(queued_ms))
    slots = serverload.usable_slots(backend)
    if backend.running < slots and not queued_ms:
        return pace_ms
    # Running requests are half finished on average.
    running_ms = backend.running * _mean_work_ms(agent) / 2
    ahead_ms = (sum(queued_ms) + running_ms) * slowdown(agent)
    return max(pace_ms, int(ahead_ms / slots))


def _mean_work_ms(agent):
    means_ms = [
        usual_work_ms(agent, route) for route, _mean in agent.work_times.items()
    ]
    return sum(means_ms) / len(means_ms) if means_ms else DEFAULT_WORK_MS
