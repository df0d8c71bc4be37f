"""System: adds a row to the table of requests for each one that arrives.

It runs before `expiry`, and `expiry` before `placement`. A request and its
cancellation may arrive in the same tick, most often at an agent that was
paused. In this order the canceled request is removed before it is placed.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import pipelining
from laburnumlatch.mesh import regions
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import splitting

# For callers that send no timeout.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_TARGET_MS = 1000
RETRY_AFTER_MS = 500

_log = logs.logger('requests')


def run(agent, now):
    """Add a row for each new request; `placement` handles it in this tick."""
    for forwarded in agent.inbox.take(messages.ForwardArrived):
        _accept_forward(agent, forwarded, now)
    for arrived in agent.inbox.take(messages.RequestArrived):
        _accept_from_caller(agent, arrived, now)


def _accept_from_caller(agent, arrived, now):
    counting.count(agent, 'requests_received')
    parent = _find_parent(agent, arrived.head.request_id)
    is_closed = leaving.refuses_callers(agent, now) and parent is None
    if agent.configuration is None:
        _refuse(agent, arrived, messages.Verdict.NOT_RUN, 'not-ready')
    elif is_closed:
        _refuse(agent, arrived, messages.Verdict.NOT_RUN, 'stopping')
    else:
        _accept_if_routed(agent, arrived, parent, now)


def _accept_if_routed(agent, arrived, parent, now):
    """Accept a request if it matches a route and its body is not too large."""
    configuration = agent.configuration
    path = arrived.head.target.partition('?')[0]
    route = configuration.match(arrived.head.host, path)
    if route is None:
        _refuse(agent, arrived, messages.Verdict.NO_ROUTE, 'no-route')
        return
    if len(arrived.body) > configuration.limits.body_bytes:
        _refuse(agent, arrived, messages.Verdict.TOO_LARGE, 'too-large')
        return
    request = _request_of_caller(agent, arrived, route, now)
    if parent is not None:
        request.is_nested = True
        # A call that waits holds a slot of the server that made it. Behind the
        # callers of the called service, it would hold that until its deadline.
        request.rank = min(request.priority, parent.rank)
        request.origin_deadline = min(parent.deadline, parent.origin_deadline)
        request.parent_route = parent.route
        request.origin_target_end = parent.origin_target_end
    retrybudget.count_request(agent, request.service, now)
    _record_received(agent, request, now)
    _add(agent, request, now)
    if parent is None and not leaving.ends_in_time(agent, request):
        # The process may end before it can deliver the response.
        requests.refuse(
            agent, request, messages.Reason.STOPPING, RETRY_AFTER_MS
        )


def _record_received(agent, request, now):
    decisions.record(
        agent,
        request,
        'received',
        service=request.service,
        route=request.route,
        configuration=agent.configuration_version,
        kind=request.kind,
        priority=request.priority,
        left_ms=request.deadline - now,
        regions=regions.encode(request.regions),
        connection=request.connection or None,
        behind=pipelining.open_count(agent, request.connection),
    )


def _refuse(agent, arrived, verdict, reason):
    """Refuse a request that gets no row."""
    counting.count(
        agent, 'requests_refused_unplaced', outcome=verdict, reason=reason
    )
    _log.notice(
        verdict,
        request=arrived.head.request_id,
        reason=reason,
        host_name=arrived.head.host,
        configuration=agent.configuration_version,
        retry_after_ms=RETRY_AFTER_MS,
    )
    agent.outbox.post(
        messages.Refuse(
            arrived.number,
            verdict,
            messages.Reason(reason),
            RETRY_AFTER_MS,
        )
    )


def _request_of_caller(agent, arrived, route, now):
    time_left_ms = arrived.time_left_ms
    if time_left_ms is None:
        time_left_ms = DEFAULT_TIMEOUT_MS
    read_at = now if arrived.read_at is None else arrived.read_at
    target_ms = route.target_ms or DEFAULT_TARGET_MS
    caller_deadline = read_at + time_left_ms
    deadline = caller_deadline
    if route.timeout_ms is not None:
        deadline = min(deadline, read_at + route.timeout_ms)
    return rows.Request(
        number=arrived.number,
        head=arrived.head,
        body=arrived.body,
        service=splitting.choose_service(agent, route),
        kind=route.kind,
        priority=route.priority,
        rank=route.priority,
        attempts=route.attempts,
        arrived_at=read_at,
        deadline=deadline,
        origin_deadline=deadline,
        caller_deadline=caller_deadline,
        target_ms=target_ms,
        origin_target_end=read_at + target_ms,
        route=route.name,
        connection=arrived.connection,
        regions=regions.binding_of_call(agent, route, arrived.head.request_id),
    )


def _find_parent(agent, request_id):
    """Return the request running on this host that makes this call, or None.

    A backend server derives the ID of a nested call from the ID of the request
    that makes it: `PARENT.SUFFIX`.
    """
    parent_id, dot, _suffix = request_id.rpartition('.')
    if not dot:
        return None
    for request in agent.running:
        if request.request_id == parent_id:
            return request
    return None


def _request_of_agent(forwarded, now):
    forward = forwarded.forward
    read_at = now if forwarded.read_at is None else forwarded.read_at
    sent_at = read_at - forwarded.waited_ms
    deadline = sent_at + forward.time_left_ms
    return rows.Request(
        number=forwarded.number,
        head=forward.head,
        body=forward.body,
        service=forward.service,
        kind=routes.Kind(forward.kind),
        priority=forward.priority,
        rank=forward.priority if forward.rank is None else forward.rank,
        origin_deadline=_later(sent_at, forward.origin_left_ms, deadline),
        origin_target_end=_later(
            sent_at,
            forward.origin_target_left_ms,
            read_at + forward.target_ms,
        ),
        attempts=1,
        arrived_at=read_at,
        deadline=deadline,
        caller_deadline=deadline,
        target_ms=forward.target_ms,
        sender=forwarded.sender,
        sender_exchange=forward.exchange,
        route=forward.route,
        plan_version=forward.plan_version,
        is_nested=forward.is_nested,
        regions=regions.binding_of_forward(forward),
    )


def _later(sent_at, left_ms, default):
    """Return the time `left_ms` after `sent_at`, `default` if it is None."""
    return default if left_ms is None else sent_at + left_ms


def _accept_forward(agent, forwarded, now):
    forward = forwarded.forward
    request = _request_of_agent(forwarded, now)
    decisions.record(
        agent,
        request,
        'forward-received',
        sender=forwarded.sender,
        service=request.service,
        route=request.route,
        plan=forward.plan_version or None,
        waited_ms=forwarded.waited_ms,
        left_ms=request.deadline - now,
    )
    _add(agent, request, now)
    if agent.closing_since is not None:
        requests.refuse(agent, request, messages.Reason.STOPPING)


def _add(agent, request, now):
    agent.requests.put(request.number, request)
    expiry.schedule_expiry(agent, request)
    if request.connection:
        pipelining.join_connection(agent, request)
    if not pipelining.hold_if_blocked(agent, request):
        requests.schedule_placement(agent, request, now)
