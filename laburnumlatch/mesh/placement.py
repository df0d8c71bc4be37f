"""System: chooses the host that serves each request."""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

# While one request tries a host that could not be reached, others avoid it
# for this time: longer than a connection may take.
TRIAL_MS = 1000


def run(agent, now):
    """Place what was taken in and is still wanted, and again what waited."""
    for number in agent.placements.pop_due(now):
        request = agent.parked.pop(number)
        if request is not None:
            place(agent, request, now)
    agent.placements.drop_stale(agent.parked.__contains__)
    if agent.placements.next_due is not None:
        agent.wake_at(agent.placements.next_due)


def place(agent, request, now):
    """Queue the request here, forward it, or refuse it."""
    if request.sender:
        _place_forward(agent, request, now)
        return
    host = _host_for(agent, request, now)
    if host is None:
        requests.park(agent, request, messages.Reason.NO_HOST)
    elif host.host_id == agent.host_id:
        rejection = admission.enqueue(agent, request, now)
        if rejection is not None:
            _turn_away(agent, request, rejection, now)
    else:
        _forward(agent, request, host, now)


def has_untried_host(agent, request, now):
    """Tell whether another host of an undivided service can be tried."""
    return any(
        host.host_id not in request.tried
        for host in _usable(agent, request.service, now)
    )


def _turn_away(agent, request, rejection, now):
    """Place a caller's request on another host, or refuse it."""
    request.tried.append(agent.host_id)
    is_divided = agent.is_divided(request.service)
    if not is_divided and has_untried_host(agent, request, now):
        place(agent, request, now)
        return
    requests.refuse(agent, request, rejection.reason, rejection.retry_after_ms)


def _place_forward(agent, request, now):
    """Queue a request that another agent chose this host for, or refuse it."""
    is_own = request.service == agent.settings.service
    if not is_own or _is_misplaced(agent, request):
        requests.refuse(agent, request, messages.Reason.NOT_OWNER)
        return
    rejection = admission.enqueue(agent, request, now)
    if rejection is not None:
        requests.refuse(
            agent, request, rejection.reason, rejection.retry_after_ms
        )


def _is_misplaced(agent, request):
    if request.head.key is None or not agent.is_divided(request.service):
        return False
    plan = agent.plan_of(request.service)
    if plan is None or plan.version < request.plan_version:
        # The sender knows a newer plan, which will come.
        return False
    return plan.piece_of(request.head.key).host_id != agent.host_id


def _host_for(agent, request, now):
    if agent.is_divided(request.service):
        plan = agent.plan_of(request.service)
        if plan is None:
            return None
        request.plan_version = plan.version
        key = request.head.key or 0
        return agent.hosts.get(plan.piece_of(key).host_id)
    return _choose(agent, request, now)


def _usable(agent, service, now):
    hosts = [
        host
        for host in agent.hosts
        if host.record.service == service
        and host.record.state == rows.HostState.READY
    ]
    good = [host for host in hosts if _is_good(agent, host, now)]
    return good or hosts


def _is_good(agent, host, now):
    if host.host_id == agent.host_id:
        # The row of this host may be old while the store is out of reach.
        return admission.general_rejection(agent, now) is None
    return host.avoid_until <= now


def _choose(agent, request, now):
    hosts = _usable(agent, request.service, now)
    fresh = [host for host in hosts if host.host_id not in request.tried]
    if not fresh:
        return None
    return agent.host_policy.choose(agent, request, fresh)


def _forward(agent, request, host, now):
    request.state = rows.RequestState.FORWARDED
    request.host_id = host.host_id
    request.exchange += 1
    request.started = now
    host.in_flight += 1
    if host.failures:
        # Others wait for what becomes of this one.
        host.avoid_until = max(host.avoid_until, now + TRIAL_MS)
    counting.count(agent, 'requests_forwarded', service=request.service)
    decisions.record(
        agent,
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
    agent.outbox.post(
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
