"""Work times of requests at the local backend server and elsewhere.

By these estimates agents choose hosts and refuse requests that would end too
late.
"""

from laburnumlatch.mesh import rows
from laburnumlatch.mesh.pacing import serverload

DEFAULT_WORK_MS = 150.0
# Targets are set to three to five times the usual work time of a route.
UNKNOWN_WORK_RATIO = 0.3
MIN_SAMPLE_WEIGHT = 0.1
# Running requests show a slowdown only if they fill this share of the slots.
MIN_BUSY_SLOT_RATIO = 0.5
# The wait that is reported while there is no backend server.
SERVER_DOWN_WAIT_MS = 800


def current_work_ms(agent, request):
    """Return how long the work on a request takes here now, in ms.

    This is the usual time multiplied by the slowdown that running requests of
    its own route show.
    """
    return expected_work_ms(agent, request) * slowdown(agent, request.route)


def expected_work_ms(agent, request):
    """Return the usual work time of the route of a request here, in ms.

    Until a work time of the route is recorded here, it is what other hosts
    report, else a share of its target, at most `DEFAULT_WORK_MS`.
    """
    work_time = agent.work_times.get(request.route)
    if work_time is not None:
        return work_time.mean_ms * serverload.usual_slowness(agent)
    return work_ms_elsewhere(agent, request)


def work_ms_elsewhere(agent, request):
    """Return the work time at a host of which no work time is known, in ms."""
    work_time = agent.reported_work_times.get(request.route)
    if work_time is not None:
        return work_time.mean_ms
    return min(DEFAULT_WORK_MS, request.target_ms * UNKNOWN_WORK_RATIO)


def usual_work_ms(agent, route):
    """Return the mean work time of a route here, in ms.

    It is `DEFAULT_WORK_MS` until a work time of the route is recorded.
    """
    work_time = agent.work_times.get(route)
    if work_time is None:
        return DEFAULT_WORK_MS
    return work_time.mean_ms * serverload.usual_slowness(agent)


def found_running_ms(agent, request):
    """Return the mean work time of requests of a route that are found running.

    Long requests run longer, so they are found more often: this is the mean of
    the squares of the work times over the mean of the work times.
    """
    work_time = agent.work_times.get(request.route)
    if work_time is None:
        return work_ms_elsewhere(agent, request)
    found_ms = work_time.mean_square / work_time.mean_ms
    return found_ms * serverload.usual_slowness(agent)


def is_known(agent, route):
    """Return whether a work time of the route has been recorded here."""
    return agent.work_times.get(route) is not None


def slowdown(agent, route=None):
    """Return how many times longer than usual requests take now, at least 1.

    Requests that are still running show earlier than finished ones that the
    backend server has become slow, or is still cold after a start. With
    `route`, only requests of that route count. If the server also reports how
    slow its machine is, the higher of both counts.
    """
    reported = serverload.slowdown(agent)
    backend = agent.backend
    if backend is None:
        return 1
    slots = serverload.usable_slots(backend)
    min_count = max(1, slots * MIN_BUSY_SLOT_RATIO)
    totals = agent.running.totals_of(route)
    if totals.count < min_count:
        # A few long requests are no evidence of a slow server.
        return reported
    return max(reported, totals.slowdown(agent.now))


def record_work_time(agent, request, now, *, has_failed):
    """Update the mean work time of a route with a request that has ended.

    Failures are often quick and would make the server look fast, so a failure
    counts only if it took longer than usual.
    """
    elapsed_ms = max(1, now - request.started_at)
    usual_ms = expected_work_ms(agent, request)
    if has_failed and elapsed_ms < usual_ms:
        return
    # What the machine was slow by meanwhile is multiplied in again by those
    # who use the mean.
    elapsed_ms /= serverload.slowness(agent)
    work_time = agent.work_times.get(request.route)
    if work_time is None:
        work_time = agent.work_times.put(request.route, rows.WorkTime(usual_ms))
    _include(work_time, elapsed_ms)
    agent.load_report.busy_ms += elapsed_ms
    agent.load_report.done += 1


def record_reported_work_time(agent, route, work_ms):
    """Update the mean of the work times that other hosts report for a route."""
    work_time = agent.reported_work_times.get(route)
    if work_time is None:
        work_time = agent.reported_work_times.put(route, rows.WorkTime(work_ms))
    _include(work_time, max(1, work_ms))


def _include(work_time, elapsed_ms):
    work_time.count += 1
    # The first samples have equal weight, and the first one replaces the
    # default, which is only a guess.
    weight = max(MIN_SAMPLE_WEIGHT, 1 / work_time.count)
    work_time.mean_ms += weight * (elapsed_ms - work_time.mean_ms)
    work_time.mean_square += weight * (elapsed_ms**2 - work_time.mean_square)
