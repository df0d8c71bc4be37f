"""System: the planned stop of this process.

After the signal the agent serves its callers until they have noticed, and
then ends once its requests have ended and its keys are handed over, or when
its grace period is over.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import processmsg

# Callers leave an agent after two readiness checks that failed, one second
# apart; requests that they send until then are served.
SERVE_CALLERS_MS = 2500
# The process must have ended before the platform kills it, also on a machine
# so busy that its last steps take several times as long as usual.
MARGIN_MS = 800
# Pause between two checks whether everything has ended.
CHECK_INTERVAL_MS = 300
# Time for a response, or the outcome of a request that ends at its deadline,
# to reach the caller.
DELIVERY_MS = 200
# Keys that have no next owner this long before the end stay on this host.
KEEP_KEYS_MS = 2300
# Forwards that were in flight when the last request ended are refused for
# this time; a request started later would be cut off by the end of the
# process.
REFUSE_FORWARDS_MS = 200

_log = logs.logger('leaving')


def run(agent, now):
    """Start the stop on its signal, and report when the process may exit."""
    is_signaled = bool(agent.inbox.take(processmsg.Stopping))
    if is_signaled and agent.stopping_since is None:
        _log.info('stopping', requests=len(agent.requests))
        agent.stopping_since = now
    since = agent.stopping_since
    if since is None:
        return
    latest_end = _latest_end(agent)
    is_open = agent.closing_since is None
    if is_open and now >= since + SERVE_CALLERS_MS and _is_done(agent, now):
        agent.closing_since = now
    if now >= latest_end or _has_closed(agent, now):
        agent.outbox.post(processmsg.Stopped(latest_end))
        return
    agent.wake_at(min(latest_end, now + _pause_ms(agent)))


def refuses_callers(agent, now):
    """Return whether new requests of callers on this host are refused.

    By then callers had time to notice that the agent is stopping.
    """
    since = agent.stopping_since
    return since is not None and now >= since + SERVE_CALLERS_MS


def ends_in_time(agent, request):
    """Return whether a request will have ended before the process must end.

    It may take until its deadline, however long its work usually takes.
    """
    if agent.stopping_since is None:
        return True
    return request.deadline + DELIVERY_MS <= _latest_end(agent)


def _latest_end(agent):
    """Return when the process must end, in ms of the agent's clock."""
    grace_ms = agent.settings.bounds.grace_ms
    return agent.stopping_since + grace_ms - MARGIN_MS


def _has_closed(agent, now):
    since = agent.closing_since
    return since is not None and now >= since + REFUSE_FORWARDS_MS


def _pause_ms(agent):
    return (
        CHECK_INTERVAL_MS if agent.closing_since is None else REFUSE_FORWARDS_MS
    )


def _is_done(agent, now):
    """Return whether no request is open and no key waits for its next owner.

    Without the store keys cannot move. They then stay with the backend
    server, and this agent takes them over again after its restart.
    """
    if len(agent.requests):
        return False
    return now >= _latest_end(agent) - KEEP_KEYS_MS or not len(agent.holdings)
