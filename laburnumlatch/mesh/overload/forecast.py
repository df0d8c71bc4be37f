"""When a slot of the local backend server becomes free, by what is known."""

import itertools

from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import pace
from laburnumlatch.mesh.pacing import serverload


def remaining_ms(agent):
    """Return how long each slot stays occupied, in ms, shortest time first.

    If more requests run than there are slots, the first ones that end free
    none.

    Each running request is taken to be half finished. To subtract the time
    since its start is no better a forecast, as work times vary.
    """
    slowdown = worktimes.slowdown(agent)
    lefts_ms = [
        usual_ms * slowdown / 2 for usual_ms in agent.running.usual_times_ms()
    ]
    slots = serverload.usable_slots(agent.backend)
    free_slots = max(0, slots - len(lefts_ms))
    lefts_ms.extend(itertools.repeat(0, free_slots))
    lefts_ms.sort()
    return lefts_ms[len(lefts_ms) - slots :]


def start_in_ms(lefts_ms, ahead_ms):
    """Return when the next request starts after `ahead_ms` of other work.

    `lefts_ms` is a result of `remaining_ms`. The work ahead is spread over the
    slots as they become free, as if it could be divided.
    """
    for count, total_ms in enumerate(itertools.accumulate(lefts_ms), 1):
        start_ms = (ahead_ms + total_ms) / count
        if count == len(lefts_ms) or start_ms <= lefts_ms[count]:
            return start_ms
    return worktimes.SERVER_DOWN_WAIT_MS


def expected_wait_ms(agent, order=None, *, has_key=True):
    """Return how long a new request would wait in the queue here, in ms.

    It waits for a slot and, while the server is cold, for the pace. Only
    queued requests that start before `order` count; all count if it is None.
    One whose key is not held here, which `has_key` tells, waits behind all of
    them, so that the queue is bounded while keys move.
    """
    backend = agent.backend
    if backend is None or not backend.slots:
        return worktimes.SERVER_DOWN_WAIT_MS
    place = agent.queue.count_before(order)
    pace_ms = pace.wait_ms(agent, place)
    free_slots = serverload.usable_slots(backend) - len(agent.running)
    if place < free_slots:
        return pace_ms
    if has_key and place <= startable.last_place_with_room(agent):
        return pace_ms
    ahead_ms = agent.queue.work_ms_before(order) * worktimes.slowdown(agent)
    return max(pace_ms, int(start_in_ms(remaining_ms(agent), ahead_ms)))
