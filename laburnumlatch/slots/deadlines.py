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
# A forwarded read that has not started by this share of its time is refused.
# Its ingress would soon take the owner for lost and repeat the read, and then
# nobody could tell that it has not run.
QUEUED_SHARE = 0.6
# The owner decides at the deadline as well, and its refusal reached the
# ingress up to 110 ms later on a busy machine. Without this wait the caller
# of a request that was never run is told that it may have run.
VERDICT_GRACE_MS = 250

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
            _expire(world, request, now)
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


def watch_queue(world, request, now):
    """Limit how long a read that has been forwarded here waits for a slot."""
    if request.repeatable and request.forwarded_from:
        wait_ms = int((request.deadline - now) * QUEUED_SHARE)
        world.deadlines.push(now + wait_ms, request.number)
        world.wake_at(now + wait_ms)


def _is_silent(request, exchange):
    return (
        request is not None
        and request.exchange == exchange
        and request.state in _AWAITS_ANSWER
    )


def _retry(world, request, now):
    backoff_ms = retries.longest_backoff_ms(request.waits)
    if now + backoff_ms + requests.MIN_ATTEMPT_MS >= request.deadline:
        # The answer or refusal that is due tells the caller more.
        return
    if not retries.take(world, now):
        return
    world.outbox.post(requestmsg.Cancel(request.number, request.exchange))
    requests.suspect(request)
    requests.try_again(world, request, requestmsg.Reason.BROKEN)


def _expire(world, request, now):
    if request.state in _NOT_SENT:
        reason = requestmsg.Reason.DEADLINE
        if request.state == rows.RequestState.PARKED:
            reason = request.last_reason
        requests.refuse(world, request, reason, requests.RETRY_AFTER_MS)
    elif now >= request.deadline:
        # What started before `watch_queue` was due has its full time.
        _expire_sent(world, request, now)


def _expire_sent(world, request, now):
    verdict_due = request.deadline + VERDICT_GRACE_MS
    if request.state == rows.RequestState.RELAYING:
        requests.cut_off(world, request)
    elif request.state == rows.RequestState.FORWARDED and now < verdict_due:
        world.deadlines.push(verdict_due, request.number)
    else:
        if request.exchange:
            world.outbox.post(
                requestmsg.Cancel(request.number, request.exchange),
            )
        requests.give_up(world, request, requestmsg.Reason.DEADLINE)
