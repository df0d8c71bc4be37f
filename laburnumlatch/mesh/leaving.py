"""System: the planned end of this process."""

from laburnumlatch.core import logs
from laburnumlatch.mesh import messages

# Callers leave after two status checks a second apart; requests that they
# send until then are served.
SERVE_MS = 2500
# The process must be gone before the platform ends it.
MARGIN_MS = 300
QUIET_MS = 300
# An answer, or the end of a request at its deadline, takes this much longer to
# reach the caller.
ANSWER_MS = 200
# Keys that have no next owner so long before the end stay here.
KEYS_STAY_MS = 2300
# Forwards that were on their way when the last request ended are refused for
# this time; what started later would be cut off by the end of the process.
LAST_FORWARDS_MS = 200

_log = logs.logger('leaving')


def run(agent, now):
    """Serve on after the signal to stop, and say when all is done."""
    is_told = bool(agent.inbox.take(messages.Stopping))
    if is_told and agent.stopping_since is None:
        _log.info('stopping', requests=len(agent.requests))
        agent.stopping_since = now
    since = agent.stopping_since
    if since is None:
        return
    last = _last(agent)
    is_open = agent.closing_since is None
    if is_open and now >= since + SERVE_MS and _is_done(agent, now):
        agent.closing_since = now
    if now >= last or _has_closed(agent, now):
        agent.outbox.post(messages.Stopped())
        return
    agent.wake_at(min(last, now + _pause_ms(agent)))


def refuses_callers(agent, now):
    """Tell whether new requests of callers on this host are refused.

    Callers have been told to leave by then.
    """
    since = agent.stopping_since
    return since is not None and now >= since + SERVE_MS


def ends_in_time(agent, request):
    """Tell whether a request has ended by itself before the process must.

    It may last until its deadline, however long such work usually takes.
    """
    if agent.stopping_since is None:
        return True
    return request.deadline + ANSWER_MS <= _last(agent)


def _last(agent):
    grace_ms = agent.settings.bounds.grace_ms
    return agent.stopping_since + grace_ms - MARGIN_MS


def _has_closed(agent, now):
    since = agent.closing_since
    return since is not None and now >= since + LAST_FORWARDS_MS


def _pause_ms(agent):
    return QUIET_MS if agent.closing_since is None else LAST_FORWARDS_MS


def _is_done(agent, now):
    """Tell whether no request is open and no key waits for its next owner.

    Without the store keys cannot move. They then stay with the backend
    server, and this agent takes them up again when it is back.
    """
    if len(agent.requests):
        return False
    return now >= _last(agent) - KEYS_STAY_MS or not len(agent.holdings)
