"""System: the order in which requests of one connection of a caller start.

A caller may send further requests before the response to an earlier one. Safe
requests of a connection run side by side. Any other request runs alone: it
starts when all earlier ones have ended, and later ones wait for it. So the
requests have the effect that they would have one after another, and none that
must not run twice is in flight while an earlier response could still be lost
with the connection.
"""

from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import requests
from laburnumlatch.mesh import rows


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
