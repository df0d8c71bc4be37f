"""System: answers and failures of exchanges, and repeats of safe requests."""

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import silence
from laburnumlatch.mesh import worktimes

# So many exchanges in a row without any answer mean that the backend server
# is down; it is tried again after `TRIAL_MS`.
DOWN_FAILURES = 2
TRIAL_MS = 500
# A host that could not be reached is avoided for this time, then tried with
# one request, and avoided for twice as long after each try in vain: a try
# costs up to the connect timeout, and the row of a lost host stays.
AVOID_MS = 1000
MAX_AVOID_MS = 4000
# An agent that could not be reached is likely to be starting again.
UNREACHABLE_RETRY_MS = 600
# Less time than this is not worth another try.
MIN_REPEAT_MS = 120
# The weight of one answer in the moving share of failures of a host.
FAILED_WEIGHT = 0.1
# The weight of one answer in what a request spends on its way to a host.
TRANSIT_WEIGHT = 0.5

_log = logs.logger('outcomes')


def run(agent, now):
    """Deliver answers, and decide what follows from failures."""
    _retry_backend(agent, now)
    for ended in agent.inbox.take(messages.ExchangeEnded):
        request = _current(agent, ended)
        if request is not None:
            _ended(agent, request, ended, now)
    for failed in agent.inbox.take(messages.ExchangeFailed):
        request = _current(agent, failed)
        if request is not None:
            _failed(agent, request, failed, now)


def _current(agent, event):
    request = agent.requests.get(event.number)
    if request is None or request.exchange != event.exchange:
        return None
    return request


def _ended(agent, request, ended, now):
    is_failure = ended.answer.status >= requests.STATUS_SERVER_ERROR
    host = agent.hosts.get(request.host_id)
    if host is not None:
        host.failed_rate += FAILED_WEIGHT * (is_failure - host.failed_rate)
    if request.state == rows.RequestState.RUNNING:
        worktimes.record_work_time(agent, request, now, has_failed=is_failure)
        silence.record_completion(agent, request, now)
        agent.backend.failures = 0
        agent.backend.failed_since = None
        agent.backend.last_end = now
    else:
        _heard(agent, request.host_id, ended.wait_ms, now)
        if host is not None and ended.work_ms is not None:
            host.work_ms[request.route] = ended.work_ms
        if host is not None and ended.held_ms is not None:
            _learn_transit(host, request, ended.held_ms, now)
    requests.deliver(agent, request, ended.answer)


def _learn_transit(host, request, held_ms, now):
    """Learn what a request of a route spends between here and a host."""
    took_ms = max(0, now - request.started - held_ms)
    known = host.transits.setdefault(request.route, rows.Transit(took_ms))
    known.mean_ms += TRANSIT_WEIGHT * (took_ms - known.mean_ms)
    known.learned = now


def _failed(agent, request, failed, now):
    is_local = request.state == rows.RequestState.RUNNING
    counting.count(
        agent,
        'exchanges_failed',
        target='backend' if is_local else 'agent',
        phase=failed.phase,
        reason=failed.reason,
    )
    decisions.record(
        agent,
        request,
        'exchange-failed',
        host=request.host_id,
        phase=failed.phase,
        reason=failed.reason,
        verdict=failed.verdict,
        detail=failed.detail or None,
    )
    if _has_reached_server(failed):
        request.sends += 1
    if not _has_not_run(failed):
        request.may_have_run = True
    if is_local:
        _count_failure(agent, request, failed, now)
    else:
        _note_host(agent, request, failed, now)
    if request.is_detached:
        requests.drop(agent, request)
    elif _has_not_run(failed):
        _place_elsewhere(agent, request, failed, now)
    else:
        _repeat(agent, request, failed, now)


def _has_reached_server(failed):
    """Tell whether a backend server may have got the request."""
    if failed.reason == messages.Reason.SHED:
        return True
    if failed.verdict is not None:
        return failed.verdict != messages.Verdict.NOT_RUN
    return failed.phase != messages.Phase.UNSENT


def _has_not_run(failed):
    if failed.verdict is not None:
        return failed.verdict == messages.Verdict.NOT_RUN
    return failed.phase != messages.Phase.SENT


def _count_failure(agent, request, failed, now):
    backend = agent.backend
    if failed.phase == messages.Phase.REFUSED:
        return
    took_ms = now - request.started
    if failed.phase == messages.Phase.SENT and took_ms > TRIAL_MS:
        # A request that took too long says little about the others.
        return
    backend.failures += 1
    if backend.failures >= DOWN_FAILURES and backend.failed_since is None:
        backend.failed_since = now
        backend.resume_at = now + TRIAL_MS
        _log.warning('backend-down', server=backend.life.server_id)


def _retry_backend(agent, now):
    """Let a backend server that failed have work again after a while."""
    backend = agent.backend
    if backend is None or backend.failed_since is None:
        return
    if now < backend.resume_at:
        agent.wake_at(backend.resume_at)
    elif backend.heard > backend.failed_since:
        backend.failed_since = None
        backend.failures = DOWN_FAILURES - 1
        _log.info('backend-retried', server=backend.life.server_id)


def _note_host(agent, request, failed, now):
    host = agent.hosts.get(request.host_id)
    if host is None:
        return
    if failed.verdict is None:
        _avoid(host, request, now)
    else:
        _heard(agent, request.host_id, failed.wait_ms, now)
        if failed.reason in {
            messages.Reason.SERVER_DOWN,
            messages.Reason.SHED,
            messages.Reason.STOPPING,
        }:
            host.avoid_until = now + AVOID_MS // 2


def _avoid(host, request, now):
    if host.failures and request.started <= host.failed_at:
        # Requests that were under way together count as one failure.
        return
    host.avoid_until = now + min(AVOID_MS * 2**host.failures, MAX_AVOID_MS)
    host.failed_at = now
    host.failures += 1


def _heard(agent, host_id, wait_ms, now):
    host = agent.hosts.get(host_id)
    if host is not None and wait_ms is not None:
        host.wait_ms = wait_ms
        host.reported = now
        if host.failures:
            host.failures = 0
            host.avoid_until = now


def _place_elsewhere(agent, request, failed, now):
    """Place a request that has not run, or refuse it."""
    requests.release(agent, request)
    request.tried.append(request.host_id)
    retry_after_ms = failed.retry_after_ms or UNREACHABLE_RETRY_MS
    if request.sender:
        requests.refuse(agent, request, failed.reason, retry_after_ms)
    elif failed.reason == messages.Reason.NOT_OWNER:
        requests.park(agent, request, failed.reason)
    elif _may_place(agent, request, failed, now):
        placement.place(agent, request, now)
    else:
        requests.refuse(agent, request, failed.reason, retry_after_ms)


def _may_place(agent, request, failed, now):
    if agent.is_divided(request.service):
        return False
    if not placement.has_untried_host(agent, request, now):
        return False
    if not _has_reached_server(failed):
        return True
    return request.sends < request.attempts and retrybudget.spend_retry(
        agent, request.service, now
    )


def _repeat(agent, request, failed, now):
    """Send a safe request once more, or say that its outcome is unknown."""
    requests.release(agent, request)
    request.tried.append(request.host_id)
    verdict = failed.verdict or messages.Verdict.UNKNOWN
    is_own = not request.sender and verdict == messages.Verdict.UNKNOWN
    is_allowed = (
        is_own
        and request.is_safe
        and len(request.tried) < request.attempts
        and now + MIN_REPEAT_MS < request.deadline
    )
    if is_allowed and retrybudget.spend_retry(agent, request.service, now):
        counting.count(agent, 'requests_repeated', service=request.service)
        decisions.record(agent, request, 'repeated', tried=len(request.tried))
        placement.place(agent, request, now)
        return
    requests.end(agent, request, verdict, failed.reason)
