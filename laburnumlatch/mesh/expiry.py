"""System: ends requests whose time is over, and those of callers who left."""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

# The backend server ends its work at the deadline and says so itself; its
# answer is waited for so long, and as much longer by a forwarding agent.
GRACE_MS = 80


def run(agent, now):
    """End what is due, and cancel what nobody waits for."""
    for left in agent.inbox.take(messages.CallerLeft):
        _abandon(agent, left.number)
    for canceled in agent.inbox.take(messages.ForwardCanceled):
        _abandon(agent, canceled.number)
    for number in agent.deadlines.pop_due(now):
        request = agent.requests.get(number)
        if request is not None:
            _expire(agent, request)
    agent.deadlines.drop_stale(agent.requests.__contains__)
    if agent.deadlines.next_due is not None:
        agent.wake_at(agent.deadlines.next_due)


def watch(agent, request):
    """End the request some time after its deadline."""
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    agent.deadlines.push(request.deadline, request.number)
    agent.deadlines.push(request.deadline + grace_ms, request.number)


def cancel(agent, request):
    """Stop the exchange of a request that is under way."""
    if request.state == rows.RequestState.RUNNING:
        agent.outbox.post(
            messages.CancelSend(request.number, request.exchange),
        )
    elif request.state == rows.RequestState.FORWARDED:
        agent.outbox.post(
            messages.CancelForward(
                request.host_id, request.number, request.exchange
            )
        )


def _abandon(agent, number):
    request = agent.requests.get(number)
    if request is None:
        return
    request.is_detached = True
    if request.state == rows.RequestState.RUNNING and not request.is_safe:
        # Breaking it off would not tell whether it has taken effect.
        return
    decisions.record_end(
        agent, request, 'caller-left', is_good=True, state=request.state
    )
    cancel(agent, request)
    requests.drop(agent, request)


def _expire(agent, request):
    now = agent.now
    is_under_way = request.state in {
        rows.RequestState.RUNNING,
        rows.RequestState.FORWARDED,
    }
    if not is_under_way:
        requests.refuse(agent, request, messages.Reason.TOO_LATE)
        return
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    if now < request.deadline + grace_ms:
        return
    cancel(agent, request)
    requests.end(
        agent,
        request,
        messages.Verdict.TIMED_OUT,
        messages.Reason.TOO_LATE,
    )
