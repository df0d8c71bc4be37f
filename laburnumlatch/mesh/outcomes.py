"""System: handles responses and failures of exchanges, and retries.

A failure is counted against the local backend server, or against the host to
which the request was forwarded. Then the request is sent again, or ended.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import silence
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.pacing import pace
from laburnumlatch.mesh.pacing import serverload

# After this many consecutive exchanges without a response the backend server
# counts as down. It is tried again after `BACKEND_RETRY_MS`, once it has
# announced itself. A request that was sent and failed only after this time is
# not counted.
MAX_BACKEND_FAILURES = 2
BACKEND_RETRY_MS = 500
# Backoff for a host that could not be reached: it is avoided for this time,
# then tried with one request, and avoided for twice as long after each failed
# attempt. An attempt costs up to the connect timeout, and the row of a lost
# host stays in the store.
AVOID_MS = 1000
MAX_AVOID_MS = 4000
# An agent that could not be reached is probably restarting.
UNREACHABLE_RETRY_AFTER_MS = 600
# A request with less time left than this is not retried.
MIN_RETRY_TIME_MS = 120
# A backend server that refuses a request may have room after this time.
SHED_PAUSE_MS = 100
# A request that its server refuses is sent to the same server at most so often.
MAX_SENDS_TO_OWNER = 2
# Weight of one response in the moving average share of failures of a host.
FAILURE_WEIGHT = 0.1
# Weight of one response in the moving average round trip to a host.
ROUND_TRIP_WEIGHT = 0.5

_log = logs.logger('outcomes')


def run(agent, now):
    """Deliver responses, and retry or end requests whose exchange failed."""
    _retry_backend(agent, now)
    for ended in agent.inbox.take(messages.ExchangeEnded):
        request = _request_of(agent, ended)
        if request is not None:
            _handle_response(agent, request, ended, now)
    for failure in agent.inbox.take(messages.ExchangeFailed):
        request = _request_of(agent, failure)
        if request is not None:
            _handle_failure(agent, request, failure, now)


def _request_of(agent, event):
    """Return the request, or None if the event is of an earlier exchange."""
    request = agent.requests.get(event.number)
    if request is None or request.exchange != event.exchange:
        return None
    return request


def _handle_response(agent, request, ended, now):
    is_failure = ended.answer.status >= requests.STATUS_SERVER_ERROR
    host = agent.hosts.get(request.host_id)
    if host is not None:
        host.failure_ratio += FAILURE_WEIGHT * (is_failure - host.failure_ratio)
    if request.state == rows.RequestState.RUNNING:
        usual_ms = worktimes.usual_work_ms(agent, request.route)
        serverload.update(agent, ended.server_load, usual_ms, now)
        worktimes.record_work_time(agent, request, now, has_failed=is_failure)
        silence.record_completion(agent, request, now)
        agent.backend.failures = 0
        agent.backend.failed_since = None
        agent.backend.last_response = now
    else:
        _update_wait(agent, request.host_id, ended, now)
        if host is not None and ended.work_ms is not None:
            host.work_ms[request.route] = ended.work_ms
            worktimes.record_reported_work_time(
                agent, request.route, ended.work_ms
            )
        if host is not None and ended.held_ms is not None:
            _update_round_trip(host, request, ended.held_ms, now)
    requests.deliver(agent, request, ended.answer)


def _update_round_trip(host, request, held_ms, now):
    """Update the mean round trip time of the route with one request.

    Its network time is the time since it was sent, less the time for which
    the other agent had it.
    """
    network_ms = max(0, now - request.started_at - held_ms)
    round_trip = host.round_trips.setdefault(
        request.route, rows.RoundTrip(network_ms)
    )
    round_trip.mean_ms += ROUND_TRIP_WEIGHT * (network_ms - round_trip.mean_ms)
    round_trip.updated_at = now


def _handle_failure(agent, request, failure, now):
    is_local = request.state == rows.RequestState.RUNNING
    counting.count(
        agent,
        'exchanges_failed',
        target='backend' if is_local else 'agent',
        phase=failure.phase,
        reason=failure.reason,
    )
    decisions.record(
        agent,
        request,
        'exchange-failed',
        host=request.host_id,
        phase=failure.phase,
        reason=failure.reason,
        verdict=failure.verdict,
        detail=failure.detail or None,
    )
    if is_local:
        pace.count_failure(agent, request, failure, now)
    if is_local and _send_again_if_stale(agent, request, failure, now):
        return
    if _may_have_reached_server(failure):
        request.backend_sends += 1
    if not _has_not_run(failure):
        request.may_have_run = True
    if is_local:
        _count_backend_failure(agent, request, failure, now)
    else:
        _count_host_failure(agent, request, failure, now)
    if request.is_detached:
        requests.remove(agent, request)
    elif _has_not_run(failure):
        _place_elsewhere(agent, request, failure, now)
    else:
        _retry_or_end(agent, request, failure, now)


def _send_again_if_stale(agent, request, failure, now):
    """Send a safe request again if the server had closed its connection.

    It keeps its slot. The server has most likely closed the connection for
    having rested, without reading the request.
    """
    is_stale = failure.is_stale and request.is_safe
    if not is_stale or request.is_retry or request.is_detached:
        return False
    if not dispatch.may_send_again(agent, request, now):
        return False
    decisions.record(agent, request, 'connection-stale')
    dispatch.send(agent, request, now)
    return True


def _may_have_reached_server(failure):
    """Return whether a backend server may have received the request."""
    if failure.reason == messages.Reason.SHED:
        return True
    if failure.verdict is not None:
        return failure.verdict != messages.Verdict.NOT_RUN
    return failure.phase != messages.Phase.UNSENT


def _has_not_run(failure):
    """Return whether the request has certainly not run in this exchange."""
    if failure.verdict is not None:
        return failure.verdict == messages.Verdict.NOT_RUN
    return failure.phase != messages.Phase.SENT


def _count_backend_failure(agent, request, failure, now):
    """Count a failed exchange; too many in a row take the server out of use.

    A refusal is a response, and does not count, and neither does a request
    that was not sent for want of memory.
    """
    backend = agent.backend
    is_refusal = failure.phase == messages.Phase.REFUSED
    if is_refusal or failure.reason == messages.Reason.NO_MEMORY:
        return
    took_ms = now - request.started_at
    if failure.phase == messages.Phase.SENT and took_ms > BACKEND_RETRY_MS:
        # One request that took too long says little about the others.
        return
    backend.failures += 1
    if (
        backend.failures >= MAX_BACKEND_FAILURES
        and backend.failed_since is None
    ):
        backend.failed_since = now
        backend.resume_at = now + BACKEND_RETRY_MS
        _log.warning('backend-down', server=backend.life.server_id)


def _retry_backend(agent, now):
    """Resume sending to a backend server that counted as down.

    It must have announced itself since then. One more failure takes it out of
    use again.
    """
    backend = agent.backend
    if backend is None or backend.failed_since is None:
        return
    if now < backend.resume_at:
        agent.wake_at(backend.resume_at)
    elif backend.last_announced > backend.failed_since:
        backend.failed_since = None
        backend.failures = MAX_BACKEND_FAILURES - 1
        _log.info('backend-retried', server=backend.life.server_id)


def _count_host_failure(agent, request, failure, now):
    """Avoid a host that was not reached, or that cannot serve now."""
    host = agent.hosts.get(request.host_id)
    if host is None:
        return
    if failure.verdict is None:
        _back_off(host, request, now)
    else:
        _update_wait(agent, request.host_id, failure, now)
        if failure.reason in {
            messages.Reason.NO_MEMORY,
            messages.Reason.SERVER_DOWN,
            messages.Reason.SHED,
            messages.Reason.STOPPING,
        }:
            host.avoid_until = now + AVOID_MS // 2


def _back_off(host, request, now):
    """Avoid a host that was not reached, twice as long each time."""
    if host.failures and request.started_at <= host.failed_at:
        # Requests that were in flight together count as one failure.
        return
    host.avoid_until = now + min(AVOID_MS * 2**host.failures, MAX_AVOID_MS)
    host.failed_at = now
    host.failures += 1


def _update_wait(agent, host_id, event, now):
    """Update the waits that a host reported; stop avoiding it if it was lost.

    `event` is the message with its response.
    """
    host = agent.hosts.get(host_id)
    if host is not None and event.wait_ms is not None:
        host.wait_ms = event.wait_ms
        host.waits = event.waits
        host.reported_at = now
        if event.cold_ms is not None:
            host.cold_until = now + event.cold_ms
        if host.failures:
            host.failures = 0
            host.avoid_until = now


def _place_elsewhere(agent, request, failure, now):
    """Find another host for a request that has not run, or refuse it.

    A forwarded request is always refused: its sender chooses the next host.
    A request that the host refused as `NOT_OWNER` is parked, as the owner of
    its key has changed or its backend server is leaving.
    """
    requests.free_capacity(agent, request)
    request.tried_hosts.append(request.host_id)
    retry_after_ms = failure.retry_after_ms or UNREACHABLE_RETRY_AFTER_MS
    if request.sender:
        requests.refuse(agent, request, failure.reason, retry_after_ms)
    elif failure.reason == messages.Reason.NOT_OWNER:
        requests.park(agent, request, failure.reason)
    elif _may_place_elsewhere(agent, request, failure, now):
        placement.place(agent, request, now)
    elif _may_send_to_owner_again(agent, request, failure, now):
        _send_to_owner_again(agent, request, now)
    else:
        requests.refuse(agent, request, failure.reason, retry_after_ms)


def _may_send_to_owner_again(agent, request, failure, now):
    """Return whether the owner of a key may get a request that it refused.

    No other server can run the request, and this one may refuse only some.
    """
    is_shed = failure.reason == messages.Reason.SHED
    if not is_shed or request.backend_sends >= MAX_SENDS_TO_OWNER:
        return False
    time_left_ms = request.deadline - now - SHED_PAUSE_MS
    return (
        agent.is_divided(request.service)
        and time_left_ms > MIN_RETRY_TIME_MS
        and retrybudget.spend_retry(agent, request.service, now)
    )


def _send_to_owner_again(agent, request, now):
    due = now + SHED_PAUSE_MS
    counting.count(agent, 'requests_repeated', service=request.service)
    decisions.record(agent, request, 'repeated', tried=request.backend_sends)
    requests.schedule_placement(agent, request, due)
    agent.wake_at(due)


def _may_place_elsewhere(agent, request, failure, now):
    """Return whether another host may get the request.

    If a backend server may have received it, this is a retry: it counts
    against the attempts of the route and the retry budget.
    """
    if agent.is_divided(request.service):
        return False
    if not placement.has_untried_host(agent, request, now):
        return False
    if not _may_have_reached_server(failure):
        return True
    return request.backend_sends < request.attempts and retrybudget.spend_retry(
        agent, request.service, now
    )


def _retry_or_end(agent, request, failure, now):
    """Retry a safe request that may have run, or end it.

    Only the agent that received the request from its caller retries it, unless
    the request has ended an agent: it would end the next one, too.
    """
    requests.free_capacity(agent, request)
    request.tried_hosts.append(request.host_id)
    verdict = failure.verdict or messages.Verdict.UNKNOWN
    is_retryable_here = (
        not request.sender
        and verdict == messages.Verdict.UNKNOWN
        and failure.reason != messages.Reason.AGENT_FAILED
    )
    is_allowed = (
        is_retryable_here
        and request.is_safe
        and len(request.tried_hosts) < request.attempts
        and now + MIN_RETRY_TIME_MS < request.deadline
    )
    if is_allowed and retrybudget.spend_retry(agent, request.service, now):
        counting.count(agent, 'requests_repeated', service=request.service)
        decisions.record(
            agent, request, 'repeated', tried=len(request.tried_hosts)
        )
        placement.place(agent, request, now)
        return
    requests.end(agent, request, verdict, failure.reason)
