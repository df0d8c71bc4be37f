"""System: bounds of the queues and refusals that come early enough.

The expected wait follows from the requests that start earlier and from the
measured time that the backend server takes for one.
"""

import math

from laburnumlatch.slots import hotslots
from laburnumlatch.slots import queues
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import rows

MIN_RETRY_AFTER_MS = 20
# A cold backend server gets all its concurrency slots after this time.
RAMP_MS = 10_000
DOWN_RETRY_AFTER_MS = 1000
MAX_GAP_TIMES = 2
SERVICE_WEIGHT = 0.05
START_GAP_WEIGHT = 0.1
# Time left at the start over the usual service time. At 1 half of the requests
# would still end too late, because service times vary.
LATEST_START = 1.25
# One late request a second starts all the same: without any, the time measured
# at a server that was slow for a while would never be corrected.
TRIAL = 'admission/trial'
TRIAL_MS = 1000
ALL_OPERATIONS = ''


def run(world, now):
    """Refuse what is beyond a bound or would end after its deadline."""
    server = world.local_server()
    if server is None:
        return
    in_order = queues.by_priority(world)
    for queue in in_order:
        entered = queue.entered
        queue.entered = []
        if server.failed_since is not None:
            _refuse_all(world, queue)
        for number in entered:
            if number in queue.waiting:
                _check(world, queue, world.requests.get(number), now)
        _drop_late(world, queue, server, now)
    if any(waiting_in.waiting for waiting_in in in_order):
        _wake(world, server, now)


def _wake(world, server, now):
    """Ask for a tick when the limit rises next, if that has a time."""
    if now < server.backoff_until:
        world.wake_at(server.backoff_until)
    elif now - server.ready_since < RAMP_MS:
        step_ms = RAMP_MS // server.concurrent
        steps = (now - server.ready_since) // step_ms + 1
        world.wake_at(server.ready_since + steps * step_ms + 1)


def limit(server, now):
    """Return how many requests may run at the backend server at `now`."""
    if server.failed_since is not None:
        return 0
    if now < server.backoff_until:
        return server.backoff_limit
    if server.on_trial:
        return 1
    warmth = (now - server.ready_since) / RAMP_MS
    if warmth >= 1:
        return server.concurrent
    return max(1, math.floor(server.concurrent * warmth))


def usual_service_ms(world):
    """Return the measured time of a request at the local server, or 0."""
    return _service_ms(world, ALL_OPERATIONS)


def started(world, request, now):
    """Take note that `dispatch` starts a request now."""
    request.started = now
    queues.leave(world, request)
    queue = world.queues.get(request.class_name)
    if queue.is_behind:
        # A stall (back-off, failed server) says nothing about later starts.
        most_ms = usual_service_ms(world) * MAX_GAP_TIMES
        gap_ms = min(now - queue.last_start, most_ms)
        queue.start_gap_ms += START_GAP_WEIGHT * (gap_ms - queue.start_gap_ms)
    queue.last_start = now
    queue.is_behind = bool(queue.waiting)


def learn(world, request, now):
    """Learn the service time from a request that the local server ended."""
    took_ms = max(1, now - request.started)
    for name in (request.operation, ALL_OPERATIONS):
        known = world.service_times.get(name)
        if known is None:
            world.service_times.put(name, rows.Average(took_ms))
        else:
            known.learn(took_ms, SERVICE_WEIGHT)


def expected_wait(world, queue, place, now):
    """Return ms until the request at `place` (0: next) of a queue starts.

    0 while no service time has been measured.
    """
    server = world.local_server()
    ahead = place + sum(
        len(other.waiting)
        for other in world.queues
        if other.priority < queue.priority
    )
    slots = max(1, limit(server, now))
    behind = ahead + 1 - (limit(server, now) - server.running)
    if behind <= 0:
        return 0
    wait_ms = behind * _service_ms(world, ALL_OPERATIONS) / slots
    if not limit(server, now):
        wait_ms += max(0, server.backoff_until - now)
    if queue.is_behind:
        # Requests of more urgent classes that will come take slots as well;
        # the measured time between two starts of this class contains them.
        wait_ms = max(wait_ms, (place + 1) * queue.start_gap_ms)
    return wait_ms


def _refuse_all(world, queue):
    for number in tuple(queue.waiting):
        requests.refuse(
            world,
            world.requests.get(number),
            requestmsg.Reason.SERVER_DOWN,
            DOWN_RETRY_AFTER_MS,
        )


def _check(world, queue, request, now):
    place = len(queue.waiting) - 1
    service = world.services.get(request.service)
    wait_ms = expected_wait(world, queue, place, now)
    if place >= service.classes[request.class_name].queue:
        reason = requestmsg.Reason.QUEUE_FULL
        # Half of the queue has started by then, so the repeat finds room.
        retry_after_ms = wait_ms / 2
    else:
        reason = requestmsg.Reason.TOO_LATE
        end_ms = wait_ms + _service_ms(world, request.operation)
        retry_after_ms = end_ms - (request.deadline - now)
        if not wait_ms or retry_after_ms <= 0:
            return
    _count_refused(world, request)
    requests.refuse(
        world,
        request,
        reason,
        max(MIN_RETRY_AFTER_MS, round(retry_after_ms)),
    )


def _drop_late(world, queue, server, now):
    """Refuse those that would start now but end after their deadline.

    To run them would only take a slot from requests that can still be useful.
    """
    free = limit(server, now) - server.running
    if free <= 0:
        return
    late = []
    for request in map(world.requests.get, queue.waiting):
        if _ends_late(world, request, now):
            late.append(request)
            continue
        free -= 1
        if not free:
            break
    retry_after_ms = max(MIN_RETRY_AFTER_MS, round(queue.start_gap_ms))
    for request in late:
        _count_refused(world, request)
        requests.refuse(
            world, request, requestmsg.Reason.TOO_LATE, retry_after_ms
        )


def _count_refused(world, request):
    """Count work that a saturated server did not get as offered load."""
    refused_ms = _service_ms(world, request.operation)
    hotslots.count(world, request.slot, round(refused_ms))


def _ends_late(world, request, now):
    left_ms = request.deadline - now
    if left_ms >= _service_ms(world, request.operation) * LATEST_START:
        return False
    return not world.due(f'{TRIAL}/{request.operation}', TRIAL_MS, now)


def _service_ms(world, name):
    known = world.service_times.get(name)
    return 0 if known is None else known.mean
