"""System: ends requests whose time is over, and those of callers who left."""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

# The backend server ends its work at the deadline and says so itself; its
# answer is waited for so long, and as much longer by a forwarding agent.
GRACE_MS = 80


def run(world, now):
    """End what is due, and cancel what nobody waits for."""
    for left in world.inbox.take(messages.CallerLeft):
        _abandon(world, left.number)
    for canceled in world.inbox.take(messages.ForwardCanceled):
        _abandon(world, canceled.number)
    for number in world.deadlines.pop_due(now):
        request = world.requests.get(number)
        if request is not None:
            _expire(world, request)
    world.deadlines.drop_stale(world.requests.__contains__)
    if world.deadlines.next_due is not None:
        world.wake_at(world.deadlines.next_due)


def watch(world, request):
    """End the request some time after its deadline."""
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    world.deadlines.push(request.deadline, request.number)
    world.deadlines.push(request.deadline + grace_ms, request.number)


def cancel(world, request):
    """Stop the exchange of a request that is under way."""
    if request.state == rows.RequestState.RUNNING:
        world.outbox.post(
            messages.CancelSend(request.number, request.exchange),
        )
    elif request.state == rows.RequestState.FORWARDED:
        world.outbox.post(
            messages.CancelForward(
                request.host_id, request.number, request.exchange
            )
        )


def _abandon(world, number):
    request = world.requests.get(number)
    if request is None:
        return
    request.is_detached = True
    if request.state == rows.RequestState.RUNNING and not request.is_safe:
        # Breaking it off would not tell whether it has taken effect.
        return
    decisions.conclude(
        world, request, 'caller-left', is_good=True, state=request.state
    )
    cancel(world, request)
    requests.drop(world, request)


def _expire(world, request):
    now = world.now
    is_under_way = request.state in {
        rows.RequestState.RUNNING,
        rows.RequestState.FORWARDED,
    }
    if not is_under_way:
        requests.refuse(world, request, messages.Reason.TOO_LATE)
        return
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    if now < request.deadline + grace_ms:
        return
    cancel(world, request)
    requests.end(
        world,
        request,
        messages.Verdict.TIMED_OUT,
        messages.Reason.TOO_LATE,
    )
