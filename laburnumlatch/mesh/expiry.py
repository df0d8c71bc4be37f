"""System: ends requests that are past their deadline or were canceled."""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

# The backend server stops its work at the deadline and reports that itself.
# The agent that serves a forwarded request waits this much longer for the
# report, and the agent of the caller twice as long.
GRACE_MS = 80


def run(agent, now):
    """Cancel requests that nobody waits for, and end those that are due."""
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


def schedule_expiry(agent, request):
    """Check the request at its deadline and at the end of its grace time."""
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    agent.deadlines.push(request.deadline, request.number)
    agent.deadlines.push(request.deadline + grace_ms, request.number)


def cancel(agent, request):
    """Cancel the present exchange of a request, if there is one."""
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
    """Cancel and remove a request whose response nobody waits for.

    One that is running and must not run twice is only detached, and runs on.
    """
    request = agent.requests.get(number)
    if request is None:
        return
    request.is_detached = True
    if request.state == rows.RequestState.RUNNING and not request.is_safe:
        # Closing the connection would leave open whether it took effect.
        return
    decisions.conclude(
        agent, request, 'caller-left', is_good=True, state=request.state
    )
    cancel(agent, request)
    requests.remove(agent, request)


def _expire(agent, request):
    """Refuse a request that is not under way, time out one that is.

    A request under way is timed out only after its grace time.
    """
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
