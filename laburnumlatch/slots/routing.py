"""System: which host each request goes to, and who owns a key."""

from laburnumlatch.core import hashing
from laburnumlatch.core import logs
from laburnumlatch.slots import deadlines
from laburnumlatch.slots import holders
from laburnumlatch.slots import queues
from laburnumlatch.slots import records
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import rows

ID_BITS = 128

_log = logs.logger('routing')


def run(world, now):
    """Take in requests and send each on its way."""
    records.expire(world, now)
    for asked in world.inbox.take(requestmsg.OwnerAsked):
        world.outbox.post(_told_owner(world, asked))
    for arrived in world.inbox.take(requestmsg.RequestArrived):
        request = _accept(world, arrived, now)
        if request is not None:
            place(world, request, now)
    for number in world.placements.pop_due(now):
        waiting = world.parked.pop(number)
        if waiting is not None:
            place(world, waiting, now)
    if world.placements.next_due is not None:
        world.wake_at(world.placements.next_due)


def _told_owner(world, asked):
    service = world.services.get(asked.service)
    if service is None:
        reason = _no_service_reason(world)
        return requestmsg.TellOwner(
            asked.number, asked.service, asked.key, reason=reason
        )
    slot = hashing.slot_of(asked.key, service.slot_count)
    held = holders.holding(world, service.name, slot)
    host = world.hosts.get(held.host_id) if held else None
    if not service.divided_by_key or host is None:
        reason = requestmsg.Reason.NO_OWNER
        return requestmsg.TellOwner(
            asked.number, asked.service, asked.key, reason=reason
        )
    return requestmsg.TellOwner(
        asked.number,
        asked.service,
        asked.key,
        host.host_id,
        host.address,
        held.epoch,
    )


def _accept(world, arrived, now):
    service = world.services.get(arrived.service)
    if service is None:
        _refuse_unknown(world, arrived, _no_service_reason(world))
        return None
    operation = service.operations.get(arrived.operation)
    if operation is None:
        _refuse_unknown(world, arrived, requestmsg.Reason.UNKNOWN_OPERATION)
        return None
    if (arrived.body_bytes or 0) > service.body_bytes:
        _refuse_unknown(world, arrived, requestmsg.Reason.BODY_TOO_LARGE)
        return None
    request = _row(world, arrived, service, operation, now)
    world.requests.put(request.number, request)
    if request.deadline <= now:
        requests.refuse(world, request, requestmsg.Reason.TOO_LATE)
        return None
    world.deadlines.push(request.deadline, request.number)
    deadlines.watch_queue(world, request, now)
    return request


def _no_service_reason(world):
    # A restarted agent knows no service before it has its documents.
    if len(world.services):
        return requestmsg.Reason.UNKNOWN_SERVICE
    return requestmsg.Reason.NOT_READY


def _row(world, arrived, service, operation, now):
    request_id = arrived.request_id
    if not request_id:
        request_id = f'{world.rng.getrandbits(ID_BITS):032x}'
    # A non-repeatable operation of a service without divided keys belongs to
    # the slot of its request ID, so that its repeats meet the same record.
    slot_key = arrived.key if service.divided_by_key else request_id
    time_left_ms = operation.deadline_ms
    if arrived.time_left_ms is not None:
        time_left_ms = min(time_left_ms, arrived.time_left_ms)
    is_repeat = _is_repeat(arrived)
    return rows.Request(
        number=arrived.number,
        request_id=request_id,
        service=service.name,
        operation=operation.name,
        key=arrived.key,
        slot=hashing.slot_of(slot_key, service.slot_count),
        class_name=operation.class_name,
        repeatable=operation.repeatable,
        arrived=now,
        deadline=now + time_left_ms,
        body_bytes=arrived.body_bytes,
        attempt=arrived.attempt or 1,
        forward_exchange=arrived.forward_exchange,
        is_repeat=is_repeat,
        may_have_run=is_repeat and not operation.repeatable,
        claimed_epoch=arrived.epoch,
        forwarded_from=arrived.forwarded_from,
    )


def _is_repeat(arrived):
    if arrived.is_repeat:
        return True
    return bool(arrived.request_id) and arrived.attempt != 1


def place(world, request, now):
    """Queue the request here, forward it, let it wait, or refuse it."""
    verdict = None
    if not request.repeatable:
        verdict = records.known(world, request)
    if verdict is not None:
        _follow(world, request, verdict)
        return
    service = world.services.get(request.service)
    if service.divided_by_key or not request.repeatable:
        host = _owner(world, request)
    else:
        host = _choose(world, request, now)
    if host is not None and host.host_id == world.settings.host_id:
        _queue(world, request)
    elif request.forwarded_from:
        _refuse_forwarded(world, request, host)
    else:
        _pass_on(world, request, host, now)


def _pass_on(world, request, host, now):
    if _hint_is_newer(world, request, host):
        _forward(world, request, '', request.hint, now)
    elif host is None:
        _wait_for_host(world, request, now)
    else:
        _forward(world, request, host.host_id, host.address, now)


def _wait_for_host(world, request, now):
    """Park the request, or refuse it if all hosts back off for too long."""
    service = world.services.get(request.service)
    backoffs = [
        host.backoff_until
        for host in world.hosts
        if host.service == request.service
        and host.state == rows.HostState.READY
    ]
    is_chosen = request.repeatable and not service.divided_by_key
    if is_chosen and backoffs and min(backoffs) >= request.deadline:
        requests.refuse(
            world, request, requestmsg.Reason.SHED, min(backoffs) - now
        )
    else:
        requests.park(world, request, requestmsg.Reason.NO_OWNER)


def _queue(world, request):
    if not request.repeatable:
        verdict = records.meet(world, request, request.epoch)
        if verdict != records.Verdict.RUN:
            _follow(world, request, verdict)
            return
        records.open_record(world, request, request.epoch)
    request.state = rows.RequestState.QUEUED
    request.target = world.settings.host_id
    queues.enter(world, request)
    host = world.hosts.get(request.target)
    if host is not None and not request.forwarded_from:
        host.in_flight += 1


def _follow(world, request, verdict):
    record = world.records.get(request.record_key)
    if record is not None:
        request.epoch = record.epoch
    if verdict == records.Verdict.WAIT:
        requests.wait_for_record(world, request)
    elif verdict == records.Verdict.REPLAY:
        requests.replay(world, request, record.answer)
    elif verdict == records.Verdict.NOT_RUN:
        request.may_have_run = False
        requests.refuse(world, request, record.reason, requests.RETRY_AFTER_MS)
    elif record is None:
        requests.give_up(world, request, requestmsg.Reason.NO_RECORD)
    else:
        requests.give_up(world, request, record.reason)


def _refuse_forwarded(world, request, host):
    if host is None:
        requests.refuse(
            world,
            request,
            requestmsg.Reason.NO_OWNER,
            requests.RETRY_AFTER_MS,
        )
        return
    requests.refuse(
        world,
        request,
        requestmsg.Reason.NOT_OWNER,
        requests.RETRY_AFTER_MS,
        host.address,
    )


def _hint_is_newer(world, request, host):
    # A hint counts only while this agent still names the host that gave it.
    if request.hint in {'', world.settings.address}:
        return False
    return host is None or [host.host_id] == request.tried[-1:]


def _owner(world, request):
    held = holders.holding(world, request.service, request.slot)
    if held is None:
        return None
    request.epoch = held.epoch
    return world.hosts.get(held.host_id)


def _choose(world, request, now):
    if request.forwarded_from:
        return world.hosts.get(world.settings.host_id)
    ready = [
        host
        for host in world.hosts
        if host.service == request.service
        and host.state == rows.HostState.READY
        and host.backoff_until <= now
    ]
    fresh = [host for host in ready if host.host_id not in request.tried]
    hosts = fresh or ready
    return world.policy.pick(hosts, world.rng) if hosts else None


def _forward(world, request, host_id, address, now):
    request.state = rows.RequestState.FORWARDED
    request.target = host_id
    request.exchange += 1
    request.tried.append(host_id)
    host = world.hosts.get(host_id)
    if host is not None:
        host.in_flight += 1
    logs.decision(_log, request, host_id or address, 'forward')
    deadlines.watch_for_silence(world, request, now)
    world.outbox.post(
        requestmsg.Forward(
            number=request.number,
            exchange=request.exchange,
            host_id=host_id,
            address=address,
            request_id=request.request_id,
            attempt=request.attempt,
            epoch=request.claimed_epoch,
            time_left_ms=request.deadline - now,
            fresh_connection=not request.repeatable or request.exchange > 1,
            is_repeat=request.is_repeat,
        )
    )


def _refuse_unknown(world, arrived, reason):
    # An earlier attempt may have met another version of the configuration.
    outcome = requestmsg.Outcome.NOT_RUN
    if _is_repeat(arrived):
        outcome = requestmsg.Outcome.UNKNOWN
    world.outbox.post(
        requestmsg.Refuse(
            arrived.number,
            arrived.request_id,
            outcome,
            reason,
        )
    )
