"""Steps in the life of a request that several systems share."""

from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import throttling
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import hostwaits
from laburnumlatch.mesh.pacing import coldness

MIN_RETRY_AFTER_MS = 50
# Callers are asked to wait at most the time they have left, divided by this.
RETRY_AFTER_DIVISOR = 3
# Callers that were refused together are asked to come back at different times,
# from this share of the expected time up to all of it. Later times leave
# capacity unused.
MIN_RETRY_AFTER_RATIO = 0.5
# A request that cannot be placed is placed again after this time, at most
# `MAX_PARKS` times. Most such requests belong to a service divided by key and
# wait until the owner of their key is known.
PARK_MS = 25
MAX_PARKS = 12
STATUS_SERVER_ERROR = 500
ANSWERED = 'answered'


def refuse(agent, request, reason, retry_after_ms=0):
    """End a request that has not run, and report that it may be retried.

    If an earlier exchange may have run it, its outcome is unknown instead.
    """
    if request.may_have_run:
        end(agent, request, messages.Verdict.UNKNOWN, reason)
        return
    left_ms = max(0, request.caller_deadline - agent.now)
    retry_after_ms = min(retry_after_ms, left_ms / RETRY_AFTER_DIVISOR)
    if not request.sender:
        # Only the agent of the caller varies the time, so it varies once.
        retry_after_ms *= agent.rng.uniform(MIN_RETRY_AFTER_RATIO, 1)
    retry_after_ms = max(MIN_RETRY_AFTER_MS, int(retry_after_ms))
    end(agent, request, messages.Verdict.NOT_RUN, reason, retry_after_ms)


def end(agent, request, verdict, reason, retry_after_ms=0):
    """End a request without a response.

    Reports the verdict to the caller or forwarding agent, and removes the row.
    """
    remove(agent, request)
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
        age_ms=agent.now - request.arrived_at,
        left_ms=request.deadline - agent.now,
    )
    if not request.is_detached:
        _report_end(agent, request, verdict, reason, retry_after_ms)


def _report_end(agent, request, verdict, reason, retry_after_ms):
    """Report to the caller or forwarding agent that no response comes."""
    if request.sender:
        agent.outbox.post(
            messages.ReplyRefusal(
                request.number,
                verdict,
                reason,
                retry_after_ms,
                forecast.expected_wait_ms(agent),
                waits=hostwaits.waits_by_rank(agent, request),
                cold_ms=coldness.remaining_ms(agent, agent.now),
            )
        )
        return
    agent.outbox.post(
        messages.Refuse(request.number, verdict, reason, retry_after_ms),
    )


def deliver(agent, request, answer):
    """Pass a response to the caller or forwarding agent and remove the row."""
    remove(agent, request)
    counting.count_end(agent, request, ANSWERED, answer.status)
    age_ms = agent.now - request.arrived_at
    is_in_time = age_ms <= request.target_ms
    if request.parent_route:
        call_end = throttling.CallEnd.IN_TIME
        if not is_in_time and agent.now > request.origin_target_end:
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
                wait_ms=forecast.expected_wait_ms(agent),
                work_ms=int(worktimes.current_work_ms(agent, request)),
                held_ms=age_ms,
                waits=hostwaits.waits_by_rank(agent, request),
                cold_ms=coldness.remaining_ms(agent, agent.now),
            ),
        )
        return
    counting.observe_latency(agent, request, age_ms)
    agent.outbox.post(messages.Deliver(request.number, answer))


def remove(agent, request):
    """Remove the row and free what its current exchange occupies."""
    free_capacity(agent, request)
    agent.requests.pop(request.number)
    connection = agent.connections.get(request.connection)
    if connection is not None:
        connection.open_numbers.remove(request.number)
        if not connection.open_numbers:
            agent.connections.pop(connection.number)
    if len(agent.held):
        # The next tick may start a request that waited for this one.
        agent.wake_at(agent.now)


def free_capacity(agent, request):
    """Free what the current exchange of a request occupies.

    This is its place in the queue or among the held or parked requests, a slot
    of the backend server, or its count among the requests in flight to another
    host.
    """
    agent.held.pop(request.number)
    agent.parked.pop(request.number)
    agent.queue.pop(request.number)
    if request.state == rows.RequestState.RUNNING:
        agent.running.pop(request.number)
        if agent.backend is not None:
            agent.backend.running -= 1
    elif request.state == rows.RequestState.FORWARDED:
        host = agent.hosts.get(request.host_id)
        if host is not None:
            host.in_flight -= 1
    request.state = rows.RequestState.PARKED


def park(agent, request, reason):
    """Place the request again after a short delay.

    Refuses it if it was parked `MAX_PARKS` times already, or if its deadline
    would be over by then.
    """
    free_capacity(agent, request)
    request.last_reason = reason
    due = agent.now + PARK_MS
    if request.times_parked >= MAX_PARKS or due >= request.deadline:
        refuse(agent, request, reason, PARK_MS * MAX_PARKS)
        return
    request.times_parked += 1
    decisions.record(
        agent, request, 'parked', reason=reason, waits=request.times_parked
    )
    schedule_placement(agent, request, due)
    agent.wake_at(due)


def place_again(agent, request):
    """Let `placement` choose another host for a request in the next tick."""
    free_capacity(agent, request)
    schedule_placement(agent, request, agent.now)
    agent.wake_at(agent.now)


def schedule_placement(agent, request, due):
    """Let `placement` choose a host in the first tick at or after `due`."""
    agent.parked.put(request.number, request)
    agent.placements.push(due, request.number)
