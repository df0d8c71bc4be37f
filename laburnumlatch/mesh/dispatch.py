"""System: starts queued requests at the local backend server."""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import floor

# A backend server that has failed gets one trial request in this time.
TRIAL_MS = 500


def run(agent, now):
    """Start queued requests in the free slots of the backend server."""
    backend = agent.backend
    if backend is None or not len(agent.queue):
        return
    if agent.configuration is None or admission.is_closed(backend, now):
        return
    if not agent.departure_log.is_known:
        # An earlier process may have acknowledged that the server leaves.
        return
    if backend.running >= backend.slots:
        return
    startable = admission.startable_requests(agent, now)
    while startable and backend.running < backend.slots:
        _start(agent, floor.next_to_start(agent, startable), backend, now)


def _start(agent, request, backend, now):
    entry = agent.queue.pop(request.number)
    fairness.record_start(agent, request, entry.work_ms)
    request.state = rows.RequestState.RUNNING
    backend.running += 1
    decisions.record(
        agent,
        request,
        'started',
        server=backend.life.server_id,
        key=request.head.key,
        waited_ms=now - request.arrived_at,
        left_ms=request.deadline - now,
    )
    send(agent, request, now)


def may_send_again(agent, request, now):
    """Return whether a running request may be sent once more, and count it.

    By now this host may have to release the key, or the backend server may be
    leaving.
    """
    is_closed = admission.is_closed(agent.backend, now)
    if is_closed or not admission.may_start(agent, request, now):
        return False
    if not retrybudget.spend_retry(agent, request.service, now):
        return False
    counting.count(agent, 'requests_repeated', service=request.service)
    return True


def send(agent, request, now):
    """Send a request that occupies a slot to the local backend server.

    Each call begins a new exchange; responses to earlier ones are ignored.
    A request that is sent again gets a new connection.
    """
    backend = agent.backend
    request.exchange += 1
    request.started_at = now
    agent.running.put(request, worktimes.found_running_ms(agent, request))
    agent.outbox.post(
        messages.Send(
            number=request.number,
            exchange=request.exchange,
            address=backend.address,
            server_id=backend.life.server_id,
            head=request.head,
            body=request.body,
            time_left_ms=request.deadline - now,
            fresh_connection=request.is_retry,
            is_safe=request.is_safe,
        )
    )
