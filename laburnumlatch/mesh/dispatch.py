"""System: starts queued requests at the local backend server."""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import regions
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.evacuation import domains
from laburnumlatch.mesh.overload import fairness
from laburnumlatch.mesh.overload import floor
from laburnumlatch.mesh.overload import startable
from laburnumlatch.mesh.pacing import pace
from laburnumlatch.mesh.pacing import serverload

# A backend server that has failed gets one trial request in this time.
TRIAL_MS = 500


def run(agent, now):
    """Start queued requests in the free slots of the backend server."""
    backend = agent.backend
    if backend is None or not len(agent.queue):
        return
    if agent.configuration is None or not _may_send(agent, now):
        return
    if not agent.departure_log.is_known:
        # An earlier process may have acknowledged that the server leaves.
        return
    free_slots = serverload.usable_slots(backend) - backend.running
    free_starts = min(free_slots, pace.free_starts(agent, now))
    if free_starts > 0:
        waiting = admission.startable_requests(agent, now)
        _start_next(agent, waiting, free_starts, now)
    if len(agent.queue):
        pace.wake_at_next_start(agent, now)


def _start_next(agent, waiting, count, now):
    """Start up to `count` of the requests that may start."""
    for _ in range(min(count, len(waiting))):
        request = floor.next_to_start(agent, waiting)
        _start(agent, request, agent.backend, now)


def _may_send(agent, now):
    """Return whether the backend server may be sent any request now."""
    if now < domains.paused_sends_until(agent):
        agent.wake_at(domains.paused_sends_until(agent))
        return False
    is_closed = admission.is_closed(agent.backend, now)
    return not is_closed and domains.may_start(agent, now)


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

    By now this host may have to release the key, the backend server may be
    leaving or cold, or the bound of an evacuation may be over.
    """
    if not _may_send(agent, now) or not startable.may_start(
        agent, request, now
    ):
        return False
    if not pace.free_starts(agent, now):
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
    regions.record_send(agent, request, now)
    request.exchange += 1
    request.started_at = now
    pace.count_send(agent, request, now)
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
