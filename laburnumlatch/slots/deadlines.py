"""System: ends requests whose deadline has passed, and silent exchanges."""

from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import retries
from laburnumlatch.slots import rows

# A body up to this size is kept whole until the answer begins, so that the
# request can be sent again.
REPLAYABLE_BYTES = 65536
MIN_SILENCE_MS = 10
# One part in two of the time left is kept for a retry by the owner, one in
# four for a retry by the ingress. With equal parts both retried at once.
OWNER_DIVISOR = 2
INGRESS_DIVISOR = 4

_NOT_SENT = frozenset((
    rows.RequestState.QUEUED,
    rows.RequestState.PARKED,
))
_AWAITS_ANSWER = frozenset((
    rows.RequestState.FORWARDED,
    rows.RequestState.RUNNING,
))


def run(world, now):
    """Refuse or give up what is due, and wake for the next deadline."""
    for number in world.deadlines.pop_due(now):
        request = world.requests.get(number)
        if request is not None:
            _expire(world, request)
    for number, exchange in world.silences.pop_due(now):
        request = world.requests.get(number)
        if _is_silent(request, exchange):
            _retry(world, request, now)
    for queue in (world.deadlines, world.silences):
        if queue.next_due is not None:
            world.wake_at(queue.next_due)


def watch_for_silence(world, request, now):
    """Limit the wait for the first byte to a share of the time left.

    An ingress waits longer than the owner, whose retry comes first. Only for
    work that can be sent again: other work cannot be retried, and waits until
    its deadline.
    """
    divisor = OWNER_DIVISOR
    if request.state == rows.RequestState.FORWARDED:
        divisor = INGRESS_DIVISOR
    left_ms = request.deadline - now
    wait_ms = left_ms - left_ms // divisor
    is_kept = request.body_bytes is not None
    if not request.repeatable or not is_kept or wait_ms < MIN_SILENCE_MS:
        return
    if request.body_bytes <= REPLAYABLE_BYTES:
        world.silences.push(now + wait_ms, (request.number, request.exchange))
        world.wake_at(now + wait_ms)


def _is_silent(request, exchange):
    return (
        request is not None
        and request.exchange == exchange
        and request.state in _AWAITS_ANSWER
    )


def _retry(world, request, now):
    if not retries.take(world, now):
        return
    world.outbox.post(requestmsg.Cancel(request.number, request.exchange))
    requests.suspect(request)
    requests.park(world, request, requestmsg.Reason.BROKEN)


def _expire(world, request):
    reason = requestmsg.Reason.DEADLINE
    if request.state in _NOT_SENT:
        if request.state == rows.RequestState.PARKED:
            reason = request.last_reason
        requests.refuse(world, request, reason, requests.RETRY_AFTER_MS)
    elif request.state == rows.RequestState.RELAYING:
        requests.cut_off(world, request)
    else:
        if request.exchange:
            world.outbox.post(
                requestmsg.Cancel(request.number, request.exchange),
            )
        requests.give_up(world, request, reason)
