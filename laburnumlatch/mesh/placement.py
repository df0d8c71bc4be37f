"""System: chooses the host that serves each request.

A key of a divided service has one owner. For other services the host policy
chooses among the hosts that are ready.
"""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import regions
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.pacing import coldness

# While one request probes a host that could not be reached, others avoid the
# host for this time: longer than connecting to it may take.
PROBE_MS = 1000


def run(agent, now):
    """Place new requests and those whose parking time is over."""
    for number in agent.placements.pop_due(now):
        request = agent.parked.pop(number)
        if request is not None:
            place(agent, request, now)
    agent.placements.drop_stale(agent.parked.__contains__)
    if agent.placements.next_due is not None:
        agent.wake_at(agent.placements.next_due)


def place(agent, request, now):
    """Queue the request here, forward it, park it or refuse it."""
    if request.sender:
        _place_forwarded(agent, request, now)
        return
    host = _select_host(agent, request, now)
    if regions.is_excluded(agent, request, host):
        requests.refuse(agent, request, messages.Reason.REGION)
    elif host is None:
        requests.park(agent, request, messages.Reason.NO_HOST)
    elif host.host_id == agent.host_id:
        _place_here(agent, request, now)
    else:
        _forward(agent, request, host, now)


def _place_here(agent, request, now):
    """Queue the request for the own server, or handle its rejection."""
    rejection = admission.enqueue(agent, request, now)
    if rejection is not None:
        _handle_rejection(agent, request, rejection, now)


def has_untried_host(agent, request, now):
    """Return whether another host of an undivided service can be tried."""
    return any(
        host.host_id not in request.tried_hosts
        for host in _usable_hosts(agent, request, now)
    )


def has_room_elsewhere(agent, request, now, max_wait_ms):
    """Return whether another host is expected to start a request in time."""
    return any(
        host.host_id != agent.host_id
        and host.host_id not in request.tried_hosts
        and choosing.expected_wait_ms(agent, request, host) <= max_wait_ms
        for host in _usable_hosts(agent, request, now)
    )


def has_ready_untried_host(agent, request):
    """Return whether a host is left for a request, if only an avoided one."""
    return any(
        host.host_id not in request.tried_hosts
        for host in _ready_hosts(agent, request)
    )


def _handle_rejection(agent, request, rejection, now):
    """Place a request that was rejected here on another host, or refuse it.

    If this host's domain is evacuated, a key waits for its next owner.
    """
    if rejection is admission.EVACUATED:
        requests.park(agent, request, rejection.reason)
        return
    request.tried_hosts.append(agent.host_id)
    is_divided = agent.is_divided(request.service)
    if not is_divided and has_untried_host(agent, request, now):
        place(agent, request, now)
        return
    requests.refuse(agent, request, rejection.reason, rejection.retry_after_ms)


def _place_forwarded(agent, request, now):
    """Queue a request that another agent forwarded here, or refuse it."""
    is_own_service = request.service == agent.settings.service
    if not is_own_service or _is_misplaced(agent, request):
        requests.refuse(agent, request, messages.Reason.NOT_OWNER)
        return
    rejection = admission.enqueue(agent, request, now)
    if rejection is not None:
        requests.refuse(
            agent, request, rejection.reason, rejection.retry_after_ms
        )


def _is_misplaced(agent, request):
    """Return whether the plan gives the key of the request to another host."""
    if request.head.key is None or not agent.is_divided(request.service):
        return False
    plan = agent.plan_of(request.service)
    if plan is None or plan.version < request.plan_version:
        # The sender has a newer plan, which will arrive here too.
        return False
    return plan.piece_of(request.head.key).host_id != agent.host_id


def _select_host(agent, request, now):
    """Return the host that shall serve a request, or None."""
    if agent.is_divided(request.service):
        plan = agent.plan_of(request.service)
        if plan is None:
            return None
        request.plan_version = plan.version
        key = request.head.key or 0
        owner = agent.hosts.get(plan.piece_of(key).host_id)
        if owner is None or domains.is_bound_over(
            agent, owner.record.domain, now
        ):
            return None
        return owner
    return _choose_host(agent, request, now)


def _usable_hosts(agent, request, now):
    """Return the available hosts for a request; if none is, all ready ones."""
    hosts = _ready_hosts(agent, request)
    available = [host for host in hosts if _is_available(agent, host, now)]
    return available or hosts


def _ready_hosts(agent, request):
    """Return the hosts of the service that the request may reach."""
    return [
        host
        for host in agent.hosts
        if host.record.service == request.service
        and host.record.state == rows.HostState.READY
        and not domains.is_evacuated(agent, host.record.domain)
        and regions.allows(agent, request, host)
    ]


def _is_available(agent, host, now):
    if host.host_id == agent.host_id:
        # The row of this host may be outdated while the store is unreachable.
        return admission.general_rejection(agent, now) is None
    return host.avoid_until <= now


def _choose_host(agent, request, now):
    hosts = _usable_hosts(agent, request, now)
    untried = [
        host for host in hosts if host.host_id not in request.tried_hosts
    ]
    if not untried:
        return None
    warm = [
        host for host in untried if not coldness.is_host_cold(agent, host, now)
    ]
    return agent.host_policy.choose(agent, request, warm or untried)


def _forward(agent, request, host, now):
    request.state = rows.RequestState.FORWARDED
    request.host_id = host.host_id
    request.exchange += 1
    request.started_at = now
    host.in_flight += 1
    if host.failures:
        # This request probes the host; others avoid it until the outcome.
        host.avoid_until = max(host.avoid_until, now + PROBE_MS)
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
        report_age_ms=now - host.reported_at if host.reported_at else None,
        left_ms=request.deadline - now,
    )
    forward = _forward_message(request, now)
    agent.outbox.post(
        messages.SendForward(host.host_id, host.record.address, forward)
    )


def _forward_message(request, now):
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
        regions=regions.encode(request.regions),
        **_origin_fields(request, now),
    )


def _origin_fields(request, now):
    """Return the fields of a `Forward` about the origin of a nested call."""
    if not request.is_nested:
        return {}
    return {
        'rank': request.rank,
        'origin_left_ms': request.origin_deadline - now,
        'origin_target_left_ms': request.origin_target_end - now,
    }
