"""Requests in one agent, from their arrival to what is sent."""

import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import fleetwork
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks

STEP_MS = 50
CALLS = 400


def sent_for(kind, exchange):
    """Return the `Send` for a forwarded request."""
    fleet = fleetsim.deployment()
    agent = fleet.agents['m0']
    agent.outbox.clear()
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
    agent.inbox.post(messages.ForwardArrived(99_001, 'm1', forward))
    ticks.tick(agent, fleet.now + 1)
    (send,) = agent.outbox.take(messages.Send)
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


class TestLostHost:
    """A host that is gone, and whose row of the store stays."""

    def test_few_requests_try_it(self):
        """Guards against a second of every few that waits for a connection."""
        fleet = fleetsim.deployment(others=4)
        fleet.stop('m3')
        fleet.backends['m3'].is_up = False
        numbers = []
        for _ in range(CALLS):
            numbers.append(fleet.call('m0', '/', time_left_ms=1500))
            fleet.run(STEP_MS)
        fleet.run(2000)
        late = [
            number
            for number in numbers
            if fleet.ended[number] - fleet.arrived[number]
            >= fleetwork.CONNECT_MS
        ]
        # Those sent before the first failure is known, then one a pause.
        first = fleetwork.CONNECT_MS // STEP_MS
        pauses = CALLS * STEP_MS // outcomes.MAX_AVOID_MS + 2
        assert len(late) <= first + pauses

    def test_returned_host_serves_again(self):
        """Guards against a host that is avoided although it has returned."""
        fleet = fleetsim.deployment(others=2)
        # Host b1 prefers m1, which is in its failure domain.
        fleet.cut.add('m1')
        for _ in range(200):
            fleet.call('b1', '/', time_left_ms=1500)
            fleet.run(STEP_MS)
        fleet.cut.clear()
        fleet.run(outcomes.MAX_AVOID_MS)
        before = len(fleet.backends['m1'].started)
        for _ in range(100):
            fleet.call('b1', '/', time_left_ms=1500)
            fleet.run(STEP_MS)
        assert len(fleet.backends['m1'].started) > before + 10
