"""How one agent sends requests: connections, and hosts that are lost."""

import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import fleetwork
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks

STEP_MS = 50
CALLS = 400


def send_command(kind, exchange):
    """Return the `Send` that an agent issues for a forwarded request."""
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
    """Which requests may use a kept connection to the backend server."""

    @pytest.mark.parametrize(
        ('kind', 'exchange', 'is_fresh'),
        [
            (routes.Kind.SAFE, 1, False),
            (routes.Kind.SAFE, 2, True),
            (routes.Kind.ONCE, 1, False),
        ],
    )
    def test_retry_uses_a_new_connection(self, kind, exchange, is_fresh):
        """Guards against a late response to an earlier exchange.

        On a kept connection it could be taken for the response to a retry.
        """
        assert send_command(kind, exchange).fresh_connection == is_fresh

    @pytest.mark.parametrize('kind', list(routes.Kind))
    def test_only_safe_requests_may_be_sent_again(self, kind):
        """Guards against a client that repeats a request on its own."""
        assert send_command(kind, 1).is_safe == (kind == routes.Kind.SAFE)


class TestLostHost:
    """A host that is gone while its row stays in the store."""

    def test_few_requests_wait_for_its_connect_timeout(self):
        """Guards against probing a lost host at a constant short interval.

        Each probe delays its request by the connect timeout, so the interval
        between probes must grow up to `MAX_AVOID_MS`.
        """
        fleet = fleetsim.deployment(others=4)
        fleet.stop('m3')
        fleet.backends['m3'].is_up = False
        numbers = []
        for _ in range(CALLS):
            numbers.append(fleet.call('m0', '/', time_left_ms=1500))
            fleet.run(STEP_MS)
        fleet.run(2000)
        delayed = [
            number
            for number in numbers
            if fleet.ended_at[number] - fleet.arrived_at[number]
            >= fleetwork.CONNECT_TIMEOUT_MS
        ]
        # Requests sent before the first failure is known, then one per probe.
        first = fleetwork.CONNECT_TIMEOUT_MS // STEP_MS
        probes = CALLS * STEP_MS // outcomes.MAX_AVOID_MS + 2
        assert len(delayed) <= first + probes

    def test_returned_host_serves_again(self):
        """Guards against a host that stays avoided after it has returned.

        Many attempts in a row have failed before; the next probe reaches the
        host and must end the backoff.
        """
        fleet = fleetsim.deployment(others=2)
        # Host b1 prefers m1, which is in its failure domain.
        fleet.partitioned_hosts.add('m1')
        for _ in range(200):
            fleet.call('b1', '/', time_left_ms=1500)
            fleet.run(STEP_MS)
        fleet.partitioned_hosts.clear()
        fleet.run(outcomes.MAX_AVOID_MS)
        started_before = len(fleet.backends['m1'].started)
        for _ in range(100):
            fleet.call('b1', '/', time_left_ms=1500)
            fleet.run(STEP_MS)
        assert len(fleet.backends['m1'].started) > started_before + 10
