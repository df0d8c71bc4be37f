"""Steps in the life of a request row that several systems share."""

from laburnumlatch.core import logs
from laburnumlatch.slots import metrics
from laburnumlatch.slots import queues
from laburnumlatch.slots import records
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import retries
from laburnumlatch.slots import rows

# Each may hold 128 KB of a body, so together at most 64 MB.
MAX_PARKED = 512
RETRY_AFTER_MS = 500
# An attempt that begins with less time left than this mostly ends in doubt:
# the hop to the owner and short work take about as long.
MIN_ATTEMPT_MS = 50

_log = logs.logger('requests')


def refuse(world, request, reason, retry_after_ms=0, owner=''):
    """Tell the caller that the request was not run, and drop its row.

    Where an earlier attempt may have run, the outcome is unknown instead.
    """
    outcome = requestmsg.Outcome.NOT_RUN
    if request.may_have_run:
        outcome = requestmsg.Outcome.UNKNOWN
    end(world, request, outcome, reason)
    _post_refusal(world, request, outcome, reason, retry_after_ms, owner)


def give_up(world, request, reason):
    """Tell the caller that the outcome is unknown, and drop the row."""
    end(world, request, requestmsg.Outcome.UNKNOWN, reason)
    _post_refusal(world, request, requestmsg.Outcome.UNKNOWN, reason)


def replay(world, request, answer):
    """Give the caller the kept answer of an earlier attempt."""
    end(world, request)
    logs.decision(_log, request, world.settings.host_id, 'replay')
    world.outbox.post(
        requestmsg.Replay(
            request.number,
            request.request_id,
            answer,
            request.epoch,
            world.settings.address,
        )
    )


def park(world, request, reason, owner=''):
    """Let the request wait for an owner, and place it again after a while.

    It is refused if it has been forwarded here: its ingress knows where to
    place it.
    """
    if request.forwarded_from:
        refuse(world, request, reason, RETRY_AFTER_MS, owner)
    else:
        try_again(world, request, reason, owner)


def try_again(world, request, reason, owner=''):
    """Place the request again after a while, also one forwarded here.

    It is refused if too little time would be left for another attempt, or if
    too many wait.
    """
    release(world, request)
    due = world.now + retries.backoff_ms(world, request.waits)
    is_late = due + MIN_ATTEMPT_MS >= request.deadline
    if is_late or len(world.parked) >= MAX_PARKED:
        refuse(world, request, reason, RETRY_AFTER_MS, owner)
        return
    logs.decision(_log, request, owner or '-', f'wait {reason}')
    request.waits += 1
    request.hint = owner
    request.last_reason = reason
    request.state = rows.RequestState.PARKED
    world.parked.put(request.number, request)
    world.placements.push(due, request.number)
    world.wake_at(due)


def wait_for_record(world, request):
    """Let a repeat wait for the outcome of the request that runs."""
    if len(world.parked) >= MAX_PARKED:
        give_up(world, request, requestmsg.Reason.DUPLICATE)
        return
    logs.decision(_log, request, world.settings.host_id, 'wait duplicate')
    request.state = rows.RequestState.WAITING
    world.parked.put(request.number, request)
    record = world.records.get(request.record_key)
    record.waiting.append(request.number)


def suspect(request):
    """Note that the current exchange may have run the request.

    The epoch of the first such exchange is the one to claim later: under a
    newer epoch the owner could not know about that exchange.
    """
    if not request.may_have_run:
        request.claimed_epoch = request.epoch
    request.repeats += 1
    request.is_repeat = True
    request.may_have_run = True


def release(world, request):
    """Give back what the current exchange of the request occupies."""
    world.parked.pop(request.number)
    if request.target == world.settings.host_id:
        _release_here(world, request)
    elif request.target:
        host = world.hosts.get(request.target)
        if host is not None:
            host.in_flight -= 1
    request.target = ''


def end(
    world,
    request,
    outcome=requestmsg.Outcome.UNKNOWN,
    reason=requestmsg.Reason.BROKEN,
    answer=None,
):
    """Drop the row, give back what it occupies and settle its record."""
    release(world, request)
    world.requests.pop(request.number)
    if request.has_record:
        records.settle(world, request, outcome, reason, answer)


def cut_off(world, request):
    """Close the caller's connection inside its answer, and drop the row."""
    end(world, request)
    world.outbox.post(requestmsg.Cancel(request.number, request.exchange))
    logs.decision(_log, request, '-', 'cut off')
    if not request.detached:
        world.outbox.post(requestmsg.CutOff(request.number))


def _release_here(world, request):
    host = world.hosts.get(request.target)
    if host is not None and not request.forwarded_from:
        host.in_flight -= 1
    if request.state == rows.RequestState.QUEUED:
        queues.leave(world, request)
    elif request.state in rows.AT_SERVER:
        server = world.local_server()
        if server is not None:
            server.running -= 1


def _post_refusal(
    world,
    request,
    outcome,
    reason,
    retry_after_ms=0,
    owner='',
):
    metrics.count(world, f'{outcome} {reason}')
    logs.decision(_log, request, owner or '-', f'{outcome} {reason}')
    if request.detached:
        return
    world.outbox.post(
        requestmsg.Refuse(
            request.number,
            request.request_id,
            outcome,
            reason,
            retry_after_ms,
            _told_epoch(request, outcome),
            owner,
        )
    )


def _told_epoch(request, outcome):
    # A caller claims this epoch when it repeats the request; a newer one
    # than that of the attempt in doubt would let the repeat run.
    if outcome == requestmsg.Outcome.UNKNOWN and request.may_have_run:
        return request.claimed_epoch or 0
    return request.epoch
