"""System: takes requests in, before those that have ended are dropped.

A request and its end may be read in the same tick, most of all by an agent
that was held up. So no request is placed before all ends are known.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows

# For callers that do not say how long they wait.
DEFAULT_TIME_MS = 30_000
DEFAULT_TARGET_MS = 1000
NOT_READY_RETRY_MS = 500

_log = logs.logger('requests')


def run(agent, now):
    """Make rows of what arrived; `placement` takes them up in this tick."""
    for forwarded in agent.inbox.take(messages.ForwardArrived):
        _take_forward(agent, forwarded, now)
    for arrived in agent.inbox.take(messages.RequestArrived):
        _take_arrived(agent, arrived, now)


def _take_arrived(agent, arrived, now):
    counting.count(agent, 'requests_received')
    parent = _parent(agent, arrived.head.request_id)
    is_closed = leaving.refuses_callers(agent, now) and parent is None
    if agent.configuration is None:
        _refuse(agent, arrived, messages.Verdict.NOT_RUN, 'not-ready')
    elif is_closed:
        _refuse(agent, arrived, messages.Verdict.NOT_RUN, 'stopping')
    else:
        _take_routed(agent, arrived, parent, now)


def _take_routed(agent, arrived, parent, now):
    """Take in a request, if the configuration has a route for it."""
    configuration = agent.configuration
    path = arrived.head.target.partition('?')[0]
    route = configuration.match(arrived.head.host, path)
    if route is None:
        _refuse(agent, arrived, messages.Verdict.NO_ROUTE, 'no-route')
        return
    if len(arrived.body) > configuration.limits.body_bytes:
        _refuse(agent, arrived, messages.Verdict.TOO_LARGE, 'too-large')
        return
    request = _row(agent, arrived, route, now)
    if parent is not None:
        request.is_nested = True
        request.parent_route = parent.route
        request.parent_due = parent.arrived + parent.target_ms
    retrybudget.count_request(agent, request.service, now)
    _note_received(agent, request, now)
    _keep(agent, request, now)
    if parent is None and not leaving.ends_in_time(agent, request):
        # Its answer could no longer be passed on from here.
        requests.refuse(
            agent, request, messages.Reason.STOPPING, NOT_READY_RETRY_MS
        )


def _note_received(agent, request, now):
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
    )


def _refuse(agent, arrived, verdict, reason):
    counting.count(
        agent, 'requests_refused_unplaced', outcome=verdict, reason=reason
    )
    _log.notice(
        verdict,
        request=arrived.head.request_id,
        reason=reason,
        host_name=arrived.head.host,
        configuration=agent.configuration_version,
        retry_after_ms=NOT_READY_RETRY_MS,
    )
    agent.outbox.post(
        messages.Refuse(
            arrived.number,
            verdict,
            messages.Reason(reason),
            NOT_READY_RETRY_MS,
        )
    )


def _row(agent, arrived, route, now):
    time_left_ms = arrived.time_left_ms
    if time_left_ms is None:
        time_left_ms = DEFAULT_TIME_MS
    read = now if arrived.read is None else arrived.read
    caller_deadline = read + time_left_ms
    deadline = caller_deadline
    if route.timeout_ms is not None:
        deadline = min(deadline, read + route.timeout_ms)
    return rows.Request(
        number=arrived.number,
        head=arrived.head,
        body=arrived.body,
        service=_service_of(agent, route),
        kind=route.kind,
        priority=route.priority,
        attempts=route.attempts,
        arrived=read,
        deadline=deadline,
        caller_deadline=caller_deadline,
        target_ms=route.target_ms or DEFAULT_TARGET_MS,
        route=route.name,
    )


def _parent(agent, request_id):
    """Return the request that runs on this host and makes this call, or None.

    A backend server derives the ID of a call from that of its request.
    """
    parent_id, dot, _own = request_id.rpartition('.')
    if not dot:
        return None
    for request in agent.requests:
        is_running = request.state == rows.RequestState.RUNNING
        if is_running and request.request_id == parent_id:
            return request
    return None


def _service_of(agent, route):
    """Return the service that is next by weight (smooth round robin)."""
    if len(route.shares) == 1:
        return route.shares[0].service
    credits_key = (route.name, route.shares)
    credit = agent.split_credits.get(credits_key)
    if credit is None:
        start = agent.rng.random()
        credit = agent.split_credits.put(
            credits_key,
            dict.fromkeys((one.service for one in route.shares), start),
        )
    total = 0
    for part in route.shares:
        credit[part.service] += part.weight
        total += part.weight
    chosen = max(credit, key=credit.get)
    credit[chosen] -= total
    return chosen


def _forwarded_row(forwarded, now):
    forward = forwarded.forward
    read = now if forwarded.read is None else forwarded.read
    deadline = read + forward.time_left_ms - forwarded.waited_ms
    return rows.Request(
        number=forwarded.number,
        head=forward.head,
        body=forward.body,
        service=forward.service,
        kind=routes.Kind(forward.kind),
        priority=forward.priority,
        attempts=1,
        arrived=read,
        deadline=deadline,
        caller_deadline=deadline,
        target_ms=forward.target_ms,
        sender=forwarded.sender,
        sender_exchange=forward.exchange,
        route=forward.route,
        plan_version=forward.plan_version,
        is_nested=forward.is_nested,
    )


def _take_forward(agent, forwarded, now):
    forward = forwarded.forward
    request = _forwarded_row(forwarded, now)
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
    _keep(agent, request, now)
    if agent.closing_since is not None:
        requests.refuse(agent, request, messages.Reason.STOPPING)


def _keep(agent, request, now):
    agent.requests.put(request.number, request)
    expiry.watch(agent, request)
    requests.place_at(agent, request, now)
