"""How long work takes at the local backend server, and how long it waits."""

DEFAULT_WORK_MS = 150.0
WORK_WEIGHT = 0.1
# What is told of the wait while there is no backend server.
DOWN_WAIT_MS = 800


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


def expected_wait_ms(world, newcomer=None):
    """Return how long a new request would wait here, in ms.

    Only requests that start before `newcomer` count, None counts all.
    """
    backend = world.backend
    if backend is None or not backend.slots:
        return DOWN_WAIT_MS
    rank = world.wait_policy.rank
    ahead = [
        work_ms(world, request.route)
        for request in world.queue
        if newcomer is None or rank(request) <= rank(newcomer)
    ]
    if backend.running < backend.slots and not ahead:
        return 0
    # Running requests are half done on average.
    running_ms = backend.running * _mean_work_ms(world) / 2
    return int((sum(ahead) + running_ms) / backend.slots)


def _mean_work_ms(world):
    means = tuple(world.work_times)
    return sum(means) / len(means) if means else DEFAULT_WORK_MS
