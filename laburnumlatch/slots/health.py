"""System: state of backend servers as exchanges and probes show it.

The reported load never decides whether a server is well. A single silent
connection does not count while others work.
"""

import attrs

from laburnumlatch.slots import admission
from laburnumlatch.slots import choice
from laburnumlatch.slots import hotslots
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import rows
from laburnumlatch.slots import servermsg

TIMER = 'health/probe'
PROBE_MS = 500
# Work without any answer for this long, with a probe that stays silent as
# well, means that the server is frozen.
SILENT_MS = 1000
# Without any answer for this long, probes that say "up" are not believed.
DISBELIEF_MS = 5000
DISBELIEF_TIMES = 10
FAILURES = 2


@attrs.define
class Health:
    """What is known about the local backend server; times in ms.

    `failures` counts exchanges on fresh connections that broke since the last
    sign of life, `answered` is the time of the last answer of an exchange,
    `probe_due` the time until which the last probe may be answered.
    """

    server_id: str
    answered: int
    failures: int = 0
    probe_due: int | None = None


def run(world, now):
    """Learn from the events of this tick before others take them."""
    server = world.local_server()
    for began in world.inbox.peek(requestmsg.AnswerBegan):
        request = _current(world, began)
        if request is not None:
            _note_answer(world, request, began, now)
    for ended in world.inbox.peek(requestmsg.AnswerEnded):
        request = _current(world, ended)
        if request is not None:
            choice.learn(world, request, now)
            if _is_at_server(world, request):
                admission.learn(world, request, now)
                hotslots.count(world, request.slot, now - request.started)
    if server is not None:
        state = _health(world, server, now)
        _note_breaks(world, server, state, now)
        _take_probes(world, server, state, now)
        _watch(world, server, state, now)


def _note_answer(world, request, began, now):
    """Take an answer as a sign of life, and back off if it says so."""
    until = now + began.retry_after_ms
    server = world.local_server()
    if _is_at_server(world, request):
        state = _health(world, server, now)
        state.answered = now
        state.failures = 0
        server.on_trial = False
        server.failed_since = None
        if began.reason == requestmsg.Reason.SHED:
            # What else runs was not shed, so the server can carry that much.
            server.backoff_limit = max(0, server.running - 1)
            server.backoff_until = max(server.backoff_until, until)
    if began.reason in _BUSY:
        # Also the local host: the retry would meet the same server again.
        host = world.hosts.get(request.target)
        if host is not None:
            host.backoff_until = max(host.backoff_until, until)


def _note_breaks(world, server, state, now):
    for broke in world.inbox.peek(requestmsg.ExchangeBroke):
        request = _current(world, broke)
        if request is not None and _is_at_server(world, request):
            state.failures += 1
    if state.failures >= FAILURES or (state.failures and server.on_trial):
        _fail(server, now)


def _take_probes(world, server, state, now):
    for probed in world.inbox.take(servermsg.Probed):
        state.probe_due = None
        if not probed.is_up:
            state.failures += 1
        elif server.failed_since is not None:
            # A health endpoint can mislead: one request is tried first.
            server.failed_since = None
            server.on_trial = True
            state.answered = now
            state.failures = 0
        elif not server.on_trial:
            state.failures = 0
        own = world.hosts.get(world.settings.host_id)
        if own is not None:
            own.reported_load = probed.load


def _watch(world, server, state, now):
    """Probe a server that is silent or has failed."""
    if not server.running:
        state.answered = now
    silent_ms = now - state.answered
    is_unanswered = state.probe_due is not None and now >= state.probe_due
    usual_ms = admission.usual_service_ms(world)
    if is_unanswered and silent_ms >= max(SILENT_MS, 2 * usual_ms):
        _fail(server, now)
    if silent_ms >= max(DISBELIEF_MS, DISBELIEF_TIMES * usual_ms):
        _fail(server, now)
    is_needed = server.running or state.failures or server.failed_since
    if is_needed and world.due(TIMER, PROBE_MS, now):
        if state.probe_due is None or is_unanswered:
            state.probe_due = now + SILENT_MS
        world.outbox.post(servermsg.Probe(server.server_id, server.address))


def _fail(server, now):
    server.on_trial = False
    if server.failed_since is None:
        server.failed_since = now


def _health(world, server, now):
    known = world.health.get(server.server_id)
    if known is None:
        known = Health(server.server_id, now)
        world.health.put(server.server_id, known)
    return known


def _is_at_server(world, request):
    is_local = request.target == world.settings.host_id
    return is_local and request.state in rows.AT_SERVER


def _current(world, event):
    request = world.requests.get(event.number)
    if request is None or request.exchange != event.exchange:
        return None
    return request


_BUSY = frozenset((
    requestmsg.Reason.SHED,
    requestmsg.Reason.QUEUE_FULL,
    requestmsg.Reason.SERVER_DOWN,
))
