"""System: starts queued requests at the local backend server."""

from laburnumlatch.core import logs
from laburnumlatch.slots import admission
from laburnumlatch.slots import deadlines
from laburnumlatch.slots import ownership
from laburnumlatch.slots import queues
from laburnumlatch.slots import records
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import rows

_log = logs.logger('dispatch')


def run(world, now):
    """Start the most urgent requests while the server has free slots."""
    server = world.local_server()
    if server is None:
        return
    for request in queues.in_order(world):
        if server.running >= admission.limit(server, now):
            return
        if ownership.is_releasing(world, request.service, request.slot):
            if request.repeatable:
                # It would wait here until its ingress gives this host up, and
                # then nobody could tell that it has not run.
                requests.park(world, request, requestmsg.Reason.NOT_OWNER)
            continue
        if _may_start(world, request, now):
            _start(world, request, server, now)


def _may_start(world, request, now):
    service = world.services.get(request.service)
    if request.repeatable and not service.divided_by_key:
        return True
    # Checked after the last wait: the lease may have lapsed meanwhile.
    token = ownership.token(world, request.service, request.slot, now)
    if token is None:
        requests.park(world, request, requestmsg.Reason.NOT_OWNER)
        return False
    if token != request.epoch and not request.repeatable:
        if request.is_repeat:
            # Another host may have served the slot in between and run it.
            request.may_have_run = True
            requests.give_up(world, request, requestmsg.Reason.NO_RECORD)
            return False
        records.open_record(world, request, token)
    request.epoch = token
    return True


def _start(world, request, server, now):
    request.state = rows.RequestState.RUNNING
    admission.started(world, request, now)
    request.exchange += 1
    server.running += 1
    logs.decision(_log, request, world.settings.host_id, 'run')
    deadlines.watch_for_silence(world, request, now)
    world.outbox.post(
        requestmsg.Send(
            number=request.number,
            exchange=request.exchange,
            address=server.address,
            request_id=request.request_id,
            operation=request.operation,
            key=request.key,
            slot=request.slot,
            token=request.epoch,
            time_left_ms=request.deadline - now,
            fresh_connection=not request.repeatable or request.exchange > 1,
        )
    )
