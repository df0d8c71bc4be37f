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
    """Cancel requests that nobody waits for; end those past their deadline."""
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
    """Check the request at its deadline and at the end of its grace period."""
    grace_ms = GRACE_MS if request.sender else 2 * GRACE_MS
    agent.deadlines.push(request.deadline, request.number)
    agent.deadlines.push(request.deadline + grace_ms, request.number)


def cancel(agent, request):
    """Cancel the current exchange of a request, if there is one."""
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

    A running request that must not run twice is not canceled, only marked as
    detached.
    """
    request = agent.requests.get(number)
    if request is None:
        return
    request.is_detached = True
    if request.state == rows.RequestState.RUNNING and not request.is_safe:
        # After a cancellation nobody could tell whether it took effect.
        return
    decisions.record_end(
        agent, request, 'caller-left', is_good=True, state=request.state
    )
    cancel(agent, request)
    requests.remove(agent, request)


def _expire(agent, request):
    """Refuse a request that is not in flight, time out one that is.

    A request in flight is timed out only after its grace period.
    """
    now = agent.now
    is_in_flight = request.state in {
        rows.RequestState.RUNNING,
        rows.RequestState.FORWARDED,
    }
    if not is_in_flight:
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
