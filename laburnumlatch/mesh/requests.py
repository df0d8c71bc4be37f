"""Steps in the life of a request row that several systems share."""

from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import throttling
from laburnumlatch.mesh import worktimes

MIN_RETRY_AFTER_MS = 50
# Callers wait at most this part of the time they have left.
RETRY_AFTER_PART = 3
# A request of a divided service waits this long for its owner to be known.
PARK_MS = 25
MAX_PARKS = 12
STATUS_SERVER_ERROR = 500
ANSWERED = 'answered'


def refuse(agent, request, reason, retry_after_ms=0):
    """Say that the request has not run, and drop its row.

    Where an earlier exchange may have run it, the outcome is unknown.
    """
    if request.may_have_run:
        end(agent, request, messages.Verdict.UNKNOWN, reason)
        return
    left_ms = max(0, request.caller_deadline - agent.now)
    retry_after_ms = max(
        MIN_RETRY_AFTER_MS,
        min(int(retry_after_ms), left_ms // RETRY_AFTER_PART),
    )
    end(agent, request, messages.Verdict.NOT_RUN, reason, retry_after_ms)


def end(agent, request, verdict, reason, retry_after_ms=0):
    """Tell the caller or the forwarding agent; drop the row."""
    drop(agent, request)
    counting.count_end(agent, request, verdict, reason)
    if request.parent_route:
        throttling.count_call(
            agent, request.parent_route, throttling.CallEnd.FAILED
        )
    decisions.record_end(
        agent,
        request,
        verdict,
        is_good=False,
        reason=reason,
        service=request.service,
        route=request.route,
        host=request.host_id or None,
        retry_after_ms=retry_after_ms,
        age_ms=agent.now - request.arrived,
        left_ms=request.deadline - agent.now,
    )
    if request.is_detached:
        return
    if request.sender:
        agent.outbox.post(
            messages.ReplyRefusal(
                request.number,
                verdict,
                reason,
                retry_after_ms,
                worktimes.expected_wait_ms(agent),
            )
        )
        return
    agent.outbox.post(
        messages.Refuse(request.number, verdict, reason, retry_after_ms),
    )


def deliver(agent, request, answer):
    """Pass the answer on to whoever asked; drop the row."""
    drop(agent, request)
    counting.count_end(agent, request, ANSWERED, answer.status)
    age_ms = agent.now - request.arrived
    is_in_time = age_ms <= request.target_ms
    if request.parent_route:
        call_end = throttling.CallEnd.IN_TIME
        if not is_in_time and agent.now > request.parent_due:
            call_end = throttling.CallEnd.LATE
        throttling.count_call(agent, request.parent_route, call_end)
    decisions.record_end(
        agent,
        request,
        ANSWERED,
        is_good=is_in_time and answer.status < STATUS_SERVER_ERROR,
        status=answer.status,
        service=request.service,
        host=request.host_id or None,
        plan=request.plan_version or None,
        age_ms=age_ms,
        target_ms=request.target_ms,
    )
    if request.is_detached:
        return
    if request.sender:
        agent.outbox.post(
            messages.ReplyAnswer(
                request.number,
                answer,
                wait_ms=worktimes.expected_wait_ms(agent),
                work_ms=int(worktimes.expected_work_ms(agent, request.route)),
                held_ms=age_ms,
            ),
        )
        return
    counting.observe_latency(agent, request, age_ms)
    agent.outbox.post(messages.Deliver(request.number, answer))


def drop(agent, request):
    """Drop the row and give back what it occupies."""
    release(agent, request)
    agent.requests.pop(request.number)


def release(agent, request):
    """Give back what the present exchange of the request occupies."""
    agent.parked.pop(request.number)
    agent.queue.pop(request.number)
    if request.state == rows.RequestState.RUNNING:
        if agent.backend is not None:
            agent.backend.running -= 1
    elif request.state == rows.RequestState.FORWARDED:
        host = agent.hosts.get(request.host_id)
        if host is not None:
            host.in_flight -= 1
    request.state = rows.RequestState.PARKED


def park(agent, request, reason):
    """Place the request again a little later, or refuse it."""
    release(agent, request)
    request.last_reason = reason
    due = agent.now + PARK_MS
    if request.waits >= MAX_PARKS or due >= request.deadline:
        refuse(agent, request, reason, PARK_MS * MAX_PARKS)
        return
    request.waits += 1
    decisions.record(
        agent, request, 'parked', reason=reason, waits=request.waits
    )
    place_at(agent, request, due)
    agent.wake_at(due)


def place_at(agent, request, due):
    """Let `placement` take up the request in the first tick from `due` on."""
    agent.parked.put(request.number, request)
    agent.placements.push(due, request.number)
