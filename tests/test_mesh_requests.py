"""Requests in one agent, from their arrival to what is sent."""

import pytest

from laburnumlatch.experiments import fleet
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks


def sent_for(kind, exchange):
    """Return the `Send` for a forwarded request."""
    net = fleet.deployment()
    world = net.worlds['m0']
    world.outbox.clear()
    forward = messages.Forward(
        number=7,
        exchange=exchange,
        head=messages.Head('GET', '/x', 'moti.example', (), 'r7'),
        body=b'',
        service='moti',
        kind=kind,
        priority=1,
        time_left_ms=700,
        target_ms=300,
        route='status',
    )
    world.inbox.post(messages.ForwardArrived(99_001, 'm1', forward))
    ticks.tick(world, net.now + 1)
    (send,) = world.outbox.take(messages.Send)
    return send


class TestConnections:
    """Which requests may share a connection to the backend server."""

    @pytest.mark.parametrize(
        ('kind', 'exchange', 'is_fresh'),
        [
            (routes.Kind.SAFE, 1, False),
            (routes.Kind.SAFE, 2, True),
            (routes.Kind.ONCE, 1, True),
        ],
    )
    def test_repeat_has_a_connection_of_its_own(self, kind, exchange, is_fresh):
        """Guards against a late answer to the first send of a request."""
        assert sent_for(kind, exchange).fresh_connection == is_fresh
