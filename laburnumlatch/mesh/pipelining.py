"""System: the order in which requests of one connection of a caller start.

A caller may send further requests before the response to an earlier one. Safe
requests of a connection run side by side. Any other request runs alone: it
starts when all earlier ones have ended, and later ones wait for it. So the
requests have the effect that they would have one after another, and none that
must not run twice is in flight while an earlier response could still be lost
with the connection.
"""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows

# Reasons that may no longer hold a little later.
_PASSING_REASONS = frozenset((
    messages.Reason.NO_ROOM,
    messages.Reason.CALLS_FAIL,
    messages.Reason.SERVER_DOWN,
))
MIN_PAUSE_MS = 50


def run(agent, now):
    """Let `placement` choose a host for held requests that may start."""
    for request in agent.held:
        if not _is_blocked(agent, request):
            requests.free_capacity(agent, request)
            decisions.record(
                agent, request, 'released', waited_ms=now - request.arrived_at
            )
            requests.schedule_placement(agent, request, now)


def join_connection(agent, request):
    """Add a request to the open ones of its connection, as the last."""
    connection = agent.connections.get(request.connection)
    if connection is None:
        connection = agent.connections.put(
            request.connection, rows.CallerConnection(request.connection)
        )
    connection.open_numbers.append(request.number)


def open_count(agent, connection_number):
    """Return how many requests of a connection are open."""
    connection = agent.connections.get(connection_number)
    return 0 if connection is None else len(connection.open_numbers)


def hold_if_blocked(agent, request):
    """Return whether an earlier request holds this one, and then keep it."""
    if not _is_blocked(agent, request):
        return False
    request.state = rows.RequestState.HELD
    agent.held.put(request.number, request)
    decisions.record(agent, request, 'held', connection=request.connection)
    return True


def refuse_in_turn(agent, request, reason, retry_after_ms):
    """Refuse a request that no backend server has got, unless it can wait.

    The caller would receive the refusal only behind the responses to earlier
    requests of the connection. Until then the request is placed again after
    each `retry_after_ms`.
    """
    due = agent.now + max(MIN_PAUSE_MS, int(retry_after_ms))
    if (
        _is_behind_another(agent, request)
        and reason in _PASSING_REASONS
        and not request.backend_sends
        and due < request.deadline
    ):
        requests.free_capacity(agent, request)
        request.tried_hosts.clear()
        decisions.record(agent, request, 'waits-in-order', reason=reason)
        requests.schedule_placement(agent, request, due)
        agent.wake_at(due)
        return
    requests.refuse(agent, request, reason, retry_after_ms)


def _is_behind_another(agent, request):
    connection = agent.connections.get(request.connection)
    if connection is None:
        return False
    return connection.open_numbers[0] != request.number


def _is_blocked(agent, request):
    """Return whether an earlier request of the connection must end first."""
    connection = agent.connections.get(request.connection)
    if connection is None:
        return False
    for number in connection.open_numbers:
        if number == request.number:
            return False
        if not (request.is_safe and agent.requests.get(number).is_safe):
            return True
    return False
