"""System: answers, broken exchanges and retries."""

from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import retries
from laburnumlatch.slots import rows

LATENCY_WEIGHT = 0.2
# Each asks the record at the owner again; three cover a lost connection and
# a restart of the agent, and the epoch rule answers after that.
MAX_REPEATS = 3

# After these another host may serve the slot soon, or already does.
_ROUTE_AGAIN = frozenset((
    requestmsg.Reason.NOT_OWNER,
    requestmsg.Reason.NO_OWNER,
    requestmsg.Reason.SERVER_DOWN,
    requestmsg.Reason.DRAINING,
    requestmsg.Reason.NOT_READY,
))

_AWAITS_ANSWER = frozenset((
    rows.RequestState.RUNNING,
    rows.RequestState.FORWARDED,
))
_IN_EXCHANGE = frozenset((*rows.AT_SERVER, rows.RequestState.FORWARDED))


def run(world, now):
    """Act on everything that exchanges reported."""
    for began in world.inbox.take(requestmsg.AnswerBegan):
        request = _current(world, began)
        if request is not None and request.state in _AWAITS_ANSWER:
            _begin(world, request, began, now)
    for ended in world.inbox.take(requestmsg.AnswerEnded):
        request = _current(world, ended)
        if request is not None:
            _finish(world, request, ended, now)
    for broke in world.inbox.take(requestmsg.ExchangeBroke):
        request = _current(world, broke)
        if request is not None:
            _break(world, request, broke, now)
    for left in world.inbox.take(requestmsg.CallerLeft):
        request = world.requests.get(left.number)
        if request is not None:
            _abandon(world, request)


def _current(world, event):
    request = world.requests.get(event.number)
    if request is None or request.exchange != event.exchange:
        return None
    # Between two exchanges the number is still that of the older one.
    return request if request.state in _IN_EXCHANGE else None


def _begin(world, request, began, now):
    if began.epoch:
        request.epoch = began.epoch
    if began.outcome == requestmsg.Outcome.ANSWERED:
        _relay(world, request, began)
        return
    world.outbox.post(requestmsg.Cancel(request.number, request.exchange))
    _refused(world, request, began, now)


def _relay(world, request, began):
    request.state = rows.RequestState.RELAYING
    if request.detached:
        return
    world.outbox.post(
        requestmsg.Relay(
            request.number,
            request.exchange,
            request.request_id,
            request.epoch,
            began.owner or world.settings.address,
        )
    )


def _refused(world, request, began, now):
    reason = began.reason or requestmsg.Reason.BROKEN
    is_known = began.outcome == requestmsg.Outcome.NOT_RUN
    if is_known and not request.repeatable:
        # The owner says so only where its records prove it.
        request.may_have_run = False
    if reason in _ROUTE_AGAIN and began.replayable and not request.detached:
        requests.park(world, request, reason, began.owner)
    elif is_known and _can_choose_again(world, request, began, now):
        requests.park(world, request, reason)
    elif is_known:
        requests.refuse(
            world, request, reason, began.retry_after_ms, began.owner
        )
    else:
        requests.give_up(world, request, reason)


def _can_choose_again(world, request, began, now):
    service = world.services.get(request.service)
    return (
        request.repeatable
        and not service.divided_by_key
        and began.replayable
        and retries.take(world, now)
    )


def _finish(world, request, ended, now):
    host = world.hosts.get(request.target)
    if host is not None:
        latency_ms = now - request.arrived
        host.latency_ms += LATENCY_WEIGHT * (latency_ms - host.latency_ms)
    retries.count_success(world, now)
    requests.end(
        world,
        request,
        requestmsg.Outcome.ANSWERED,
        requestmsg.Reason.DUPLICATE,
        ended.answer,
    )


def _break(world, request, broke, now):
    is_relaying = request.state == rows.RequestState.RELAYING
    if is_relaying or broke.phase == requestmsg.Phase.ANSWERING:
        # The caller has an outcome already and must not be told another.
        requests.cut_off(world, request)
    elif broke.phase == requestmsg.Phase.UNSENT:
        _break_unsent(world, request, broke)
    elif _may_send_again(world, request, broke, now):
        requests.suspect(request)
        requests.park(world, request, requestmsg.Reason.BROKEN)
    else:
        requests.give_up(world, request, requestmsg.Reason.BROKEN)


def _break_unsent(world, request, broke):
    reason = requestmsg.Reason.SERVER_DOWN
    if broke.replayable and not request.detached:
        requests.park(world, request, reason)
    else:
        requests.refuse(world, request, reason, requests.RETRY_AFTER_MS)


def _may_send_again(world, request, broke, now):
    if not broke.replayable or request.detached:
        return False
    if request.repeatable:
        return retries.take(world, now)
    # The record at the owner knows what became of the request.
    is_elsewhere = request.target != world.settings.host_id
    return is_elsewhere and request.repeats < MAX_REPEATS


def _abandon(world, request):
    request.detached = True
    if request.state in rows.AT_SERVER and request.has_record:
        # The run goes on, so that a repeat can be given its answer.
        world.outbox.post(requestmsg.Drain(request.number, request.exchange))
        return
    outcome = requestmsg.Outcome.UNKNOWN
    if request.state in _IN_EXCHANGE:
        world.outbox.post(requestmsg.Cancel(request.number, request.exchange))
    elif not request.may_have_run:
        outcome = requestmsg.Outcome.NOT_RUN
    requests.end(world, request, outcome)
