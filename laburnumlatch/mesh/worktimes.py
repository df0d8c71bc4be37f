"""How long work takes at the local backend server, and how long it waits."""

from laburnumlatch.mesh import rows

DEFAULT_WORK_MS = 150.0
WORK_WEIGHT = 0.1
# Running work tells of slowness if it fills this part of the slots.
SLOWNESS_SLOT_RATE = 0.5
# What is told of the wait while there is no backend server.
DOWN_WAIT_MS = 800


def work_ms(agent, route):
    """Return the time that a request of a route takes here now, in ms."""
    return usual_ms(agent, route) * slowness(agent)


def usual_ms(agent, route):
    """Return the time that a request of a route usually takes here, in ms."""
    known = agent.work_times.get(route)
    return DEFAULT_WORK_MS if known is None else known.mean_ms


def slowness(agent):
    """Return how many times longer than usual work takes now, 1 at least.

    Work that has not ended yet shows sooner than ended work that the backend
    server has become slow, or is still cold after a start.
    """
    backend = agent.backend
    if backend is None:
        return 1
    running = [
        request
        for request in agent.requests
        if request.state == rows.RequestState.RUNNING
    ]
    if not running or len(running) < backend.slots * SLOWNESS_SLOT_RATE:
        # A few long requests are no sign.
        return 1
    lasted_ms = sum(agent.now - request.started for request in running)
    expected_ms = sum(usual_ms(agent, request.route) for request in running)
    return max(1, lasted_ms / expected_ms)


def learn(agent, request, now, *, has_failed):
    """Learn how long the backend server took for a request.

    A failure is often quick, and would make the server look fast; it counts
    only if it took longer than usual.
    """
    took_ms = max(1, now - request.started)
    expected_ms = usual_ms(agent, request.route)
    if has_failed and took_ms < expected_ms:
        return
    known = agent.work_times.get(request.route)
    if known is None:
        known = agent.work_times.put(request.route, rows.WorkTime(expected_ms))
    known.count += 1
    # The first ones count equally, so that a guess is soon forgotten.
    weight = max(WORK_WEIGHT, 1 / known.count)
    known.mean_ms += weight * (took_ms - known.mean_ms)
    agent.load_report.busy_ms += took_ms
    agent.load_report.done += 1


def expected_wait_ms(agent, newcomer=None):
    """Return how long a new request would wait here, in ms.

    Only requests that start before `newcomer` count, None counts all.
    """
    backend = agent.backend
    if backend is None or not backend.slots:
        return DOWN_WAIT_MS
    rank = agent.wait_policy.rank
    ahead = [
        usual_ms(agent, request.route)
        for request in agent.queue
        if newcomer is None or rank(request) <= rank(newcomer)
    ]
    if backend.running < backend.slots and not ahead:
        return 0
    # Running requests are half done on average.
    running_ms = backend.running * _mean_work_ms(agent) / 2
    ahead_ms = (sum(ahead) + running_ms) * slowness(agent)
    return int(ahead_ms / backend.slots)


def _mean_work_ms(agent):
    means = [known.mean_ms for known in agent.work_times]
    return sum(means) / len(means) if means else DEFAULT_WORK_MS
