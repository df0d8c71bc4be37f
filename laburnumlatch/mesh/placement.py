"""System: takes requests in and chooses the host that serves each."""

from laburnumlatch.core import logs
from laburnumlatch.mesh import admission
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
# While one request tries a host that could not be reached, others avoid it
# for this time: longer than a connection may take.
TRIAL_MS = 1000

_log = logs.logger('requests')


def run(world, now):
    """Take in what arrived, and place again what waited."""
    for forwarded in world.inbox.take(messages.ForwardArrived):
        _take_forward(world, forwarded, now)
    for arrived in world.inbox.take(messages.RequestArrived):
        _take_arrived(world, arrived, now)
    for number in world.placements.pop_due(now):
        request = world.parked.pop(number)
        if request is not None:
            place(world, request, now)
    world.placements.drop_stale(world.parked.__contains__)
    if world.placements.next_due is not None:
        world.wake_at(world.placements.next_due)


def place(world, request, now):
    """Queue the request here, forward it, or refuse it."""
    host = _host_for(world, request, now)
    if host is None:
        requests.park(world, request, messages.Reason.NO_HOST)
    elif host.host_id == world.host_id:
        obstacle = admission.enter(world, request, now)
        if obstacle is not None:
            _turn_away(world, request, obstacle, now)
    else:
        _forward(world, request, host, now)


def has_untried_host(world, request, now):
    """Tell whether another host of an undivided service can be tried."""
    return any(
        host.host_id not in request.tried
        for host in _usable(world, request.service, now)
    )


def _turn_away(world, request, obstacle, now):
    """Place a caller's request on another host, or refuse it."""
    request.tried.append(world.host_id)
    is_divided = world.is_divided(request.service)
    if not is_divided and has_untried_host(world, request, now):
        place(world, request, now)
        return
    requests.refuse(world, request, obstacle.reason, obstacle.retry_after_ms)


def _take_arrived(world, arrived, now):
    counting.count(world, 'requests_received')
    configuration = world.configuration
    if configuration is None:
        _refuse(world, arrived, messages.Verdict.NOT_RUN, 'not-ready')
        return
    parent = _parent(world, arrived.head.request_id)
    if leaving.refuses_callers(world, now) and parent is None:
        _refuse(world, arrived, messages.Verdict.NOT_RUN, 'stopping')
        return
    path = arrived.head.target.partition('?')[0]
    route = configuration.match(arrived.head.host, path)
    if route is None:
        _refuse(world, arrived, messages.Verdict.NO_ROUTE, 'no-route')
        return
    if len(arrived.body) > configuration.limits.body_bytes:
        _refuse(world, arrived, messages.Verdict.TOO_LARGE, 'too-large')
        return
    request = _row(world, arrived, route, now)
    if parent is not None:
        request.is_nested = True
        request.parent_route = parent.route
        request.parent_due = parent.arrived + parent.target_ms
    retrybudget.count_request(world, request.service, now)
    decisions.note(
        world,
        request,
        'received',
        service=request.service,
        route=route.name,
        configuration=configuration.version,
        kind=route.kind,
        priority=route.priority,
        left_ms=request.deadline - now,
    )
    _keep(world, request)
    place(world, request, now)


def _refuse(world, arrived, verdict, reason):
    counting.count(
        world, 'requests_refused_unplaced', outcome=verdict, reason=reason
    )
    _log.notice(
        verdict,
        request=arrived.head.request_id,
        reason=reason,
        host_name=arrived.head.host,
        configuration=world.configuration_version,
        retry_after_ms=NOT_READY_RETRY_MS,
    )
    world.outbox.post(
        messages.Refuse(
            arrived.number,
            verdict,
            messages.Reason(reason),
            NOT_READY_RETRY_MS,
        )
    )


def _row(world, arrived, route, now):
    time_left_ms = arrived.time_left_ms
    if time_left_ms is None:
        time_left_ms = DEFAULT_TIME_MS
    caller_deadline = now + time_left_ms
    deadline = caller_deadline
    if route.timeout_ms is not None:
        deadline = min(deadline, now + route.timeout_ms)
    return rows.Request(
        number=arrived.number,
        head=arrived.head,
        body=arrived.body,
        service=_service_of(world, route),
        kind=route.kind,
        priority=route.priority,
        attempts=route.attempts,
        arrived=now,
        deadline=deadline,
        caller_deadline=caller_deadline,
        target_ms=route.target_ms or DEFAULT_TARGET_MS,
        route=route.name,
    )


def _parent(world, request_id):
    """Return the request that runs on this host and makes this call, or None.

    A backend server derives the ID of a call from that of its request.
    """
    parent_id, dot, _own = request_id.rpartition('.')
    if not dot:
        return None
    for request in world.requests:
        is_running = request.state == rows.RequestState.RUNNING
        if is_running and request.request_id == parent_id:
            return request
    return None


def _service_of(world, route):
    """Return the service that is next by weight (smooth round robin)."""
    if len(route.shares) == 1:
        return route.shares[0].service
    credits_key = (route.name, route.shares)
    credit = world.split_credits.get(credits_key)
    if credit is None:
        start = world.rng.random()
        credit = world.split_credits.put(
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
    return rows.Request(
        number=forwarded.number,
        head=forward.head,
        body=forward.body,
        service=forward.service,
        kind=routes.Kind(forward.kind),
        priority=forward.priority,
        attempts=1,
        arrived=now,
        deadline=now + forward.time_left_ms,
        caller_deadline=now + forward.time_left_ms,
        target_ms=forward.target_ms,
        sender=forwarded.sender,
        sender_exchange=forward.exchange,
        route=forward.route,
        is_nested=forward.is_nested,
    )


def _take_forward(world, forwarded, now):
    forward = forwarded.forward
    request = _forwarded_row(forwarded, now)
    decisions.note(
        world,
        request,
        'forward-received',
        sender=forwarded.sender,
        service=request.service,
        route=request.route,
        plan=forward.plan_version or None,
        left_ms=forward.time_left_ms,
    )
    _keep(world, request)
    if world.closing_since is not None:
        requests.refuse(world, request, messages.Reason.STOPPING)
        return
    if forward.service != world.settings.service:
        requests.refuse(world, request, messages.Reason.NOT_OWNER)
        return
    if _is_misplaced(world, request, forward.plan_version):
        requests.refuse(world, request, messages.Reason.NOT_OWNER)
        return
    obstacle = admission.enter(world, request, now)
    if obstacle is not None:
        requests.refuse(
            world, request, obstacle.reason, obstacle.retry_after_ms
        )


def _keep(world, request):
    world.requests.put(request.number, request)
    expiry.watch(world, request)
    world.wake_at(request.deadline)


def _is_misplaced(world, request, plan_version):
    if request.head.key is None or not world.is_divided(request.service):
        return False
    plan = world.plan_of(request.service)
    if plan is None or plan.version < plan_version:
        # The sender knows a newer plan, which will come.
        return False
    return plan.piece_of(request.head.key).host_id != world.host_id


def _host_for(world, request, now):
    if world.is_divided(request.service):
        plan = world.plan_of(request.service)
        if plan is None:
            return None
        request.plan_version = plan.version
        key = request.head.key or 0
        return world.hosts.get(plan.piece_of(key).host_id)
    return _choose(world, request, now)


def _usable(world, service, now):
    hosts = [
        host
        for host in world.hosts
        if host.record.service == service
        and host.record.state == rows.HostState.READY
    ]
    good = [host for host in hosts if _is_good(world, host, now)]
    return good or hosts


def _is_good(world, host, now):
    if host.host_id == world.host_id:
        # The row of this host may be old while the store is out of reach.
        return admission.obstacle_to_all(world, now) is None
    return host.avoid_until <= now


def _choose(world, request, now):
    hosts = _usable(world, request.service, now)
    fresh = [host for host in hosts if host.host_id not in request.tried]
    if not fresh:
        return None
    return world.host_policy.choose(world, request, fresh)


def _forward(world, request, host, now):
    request.state = rows.RequestState.FORWARDED
    request.host_id = host.host_id
    request.exchange += 1
    request.started = now
    host.in_flight += 1
    if host.failures:
        # Others wait for what becomes of this one.
        host.avoid_until = max(host.avoid_until, now + TRIAL_MS)
    counting.count(world, 'requests_forwarded', service=request.service)
    decisions.note(
        world,
        request,
        'forwarded',
        host=host.host_id,
        key=request.head.key,
        body_bytes=len(request.body),
        plan=request.plan_version,
        wait_ms=int(host.wait_ms),
        report_age_ms=now - host.reported if host.reported else None,
        left_ms=request.deadline - now,
    )
    forward = _forward_of(request, now)
    world.outbox.post(
        messages.SendForward(host.host_id, host.record.address, forward)
    )


def _forward_of(request, now):
    return messages.Forward(
        number=request.number,
        exchange=request.exchange,
        head=request.head,
        body=request.body,
        service=request.service,
        kind=request.kind,
        priority=request.priority,
        time_left_ms=request.deadline - now,
        target_ms=request.target_ms,
        route=request.route,
        plan_version=request.plan_version,
        is_nested=request.is_nested,
    )
