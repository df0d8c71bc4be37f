"""Shares of the parts of a split route, over many agents."""

import random

import attrs
import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import configuring
from laburnumlatch.mesh import intake
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings

ADDRESSES = tuple(f'127.0.0.1:{port}' for port in range(1, 7))
SECOND_MS = 1000
MIN_REQUESTS = 300
MAX_MISS = 0.1
# With some requests a second at each agent, the sequence halves the miss of
# independent choices.
MAX_MISS_OF_SEQUENCE = MAX_MISS / 2
SEEDS = (1, 2, 3)
FIFTHS = (1, 1, 1, 1, 1)


def split(*weights, name='status'):
    """Return a route that is split among services `s0`, `s1`, ..."""
    shares = tuple(
        routes.Share(f's{number}', weight)
        for number, weight in enumerate(weights)
    )
    return routes.Route(name, 'a.example', '/', routes.Kind.SAFE, shares)


def configuration(version, *declared):
    """Return a configuration of some routes."""
    return routes.Configuration(version, declared)


def create_agents(count, seed):
    """Return agents in their initial state."""
    return [
        agentstate.create(
            settings.Settings(
                f'h{number}', 'd', 'r', 's', *ADDRESSES, memory_bytes=10**8
            ),
            number + count * seed,
            now=0,
        )
        for number in range(count)
    ]


def apply(agent, *versions):
    """Let an agent read some configurations."""
    agent.inbox.post(configmsg.ConfigurationRead('t', versions, 1))
    configuring.run(agent, agent.now)


def receive(agent, now):
    """Let a caller's request arrive at an agent; return its service."""
    number = agent.next_ticket()
    head = messages.Head('GET', '/x', 'a.example', (), f'r{number}')
    agent.now = now
    agent.inbox.post(messages.RequestArrived(number, head, b'', 1000))
    intake.run(agent, now)
    request = agent.requests.get(number)
    return None if request is None else request.service


def send(agents, per_second, begin_ms, rng):
    """Send requests for two seconds, at random times to random agents.

    Returns (time, service) pairs in order.
    """
    times = sorted(
        begin_ms + rng.randrange(2 * SECOND_MS) for _ in range(2 * per_second)
    )
    return [(now, receive(rng.choice(agents), now)) for now in times]


def largest_miss(sent, weights):
    """Return the largest miss of a share in seconds with enough requests.

    That is the difference between the share of a part and that of its weight.
    """
    largest, start = 0, 0
    for end, (now, _service) in enumerate(sent, 1):
        while now - sent[start][0] >= SECOND_MS:
            start += 1
        if end - start < MIN_REQUESTS:
            continue
        services = [service for _at, service in sent[start:end]]
        for number, weight in enumerate(weights):
            share = services.count(f's{number}') / len(services)
            miss = abs(share - weight / sum(weights))
            largest = max(largest, miss)
    return largest


class TestShares:
    """Each part of a split gets the share of its weight in any second."""

    @pytest.mark.parametrize('seed', SEEDS)
    @pytest.mark.parametrize(
        ('before', 'after'), [((85, 15), (30, 70)), (FIFTHS, (2, 8))]
    )
    @pytest.mark.parametrize(
        ('count', 'per_second', 'max_miss'),
        [
            (80, 320, MAX_MISS_OF_SEQUENCE),
            (320, 320, MAX_MISS),
            (4, 320, MAX_MISS_OF_SEQUENCE),
            (80, 3000, MAX_MISS_OF_SEQUENCE),
        ],
    )
    def test_many_agents(
        self, count, per_second, max_miss, before, after, seed
    ):
        """Guards against agents that all begin with the heaviest part.

        Also behind a change of weights.
        """
        rng = random.Random(seed)
        agents = create_agents(count, seed)
        for version, weights in enumerate((before, after), 1):
            for agent in agents:
                apply(agent, configuration(version, split(*weights)))
            sent = send(agents, per_second, version * 2 * SECOND_MS, rng)
            assert largest_miss(sent, weights) < max_miss

    def test_callers_of_one_domain(self):
        """Guards against shares that hold over all domains only.

        A third of the agents get the requests of one domain's callers.
        """
        rng = random.Random(4)
        agents = create_agents(81, 4)
        for agent in agents:
            apply(agent, configuration(1, split(9, 1)))
        sent = send(agents[:27], 320, 0, rng)
        assert largest_miss(sent, (9, 1)) < MAX_MISS_OF_SEQUENCE


class TestShortPart:
    """A part of a split without capacity."""

    def test_nothing_moves_to_another_part(self):
        """Guards against a full part whose requests overload the others."""
        lookup, book, status = fleetconfig.CONFIGURATION.routes
        parts = (routes.Share('moti', 1), routes.Share('next', 1))
        status = attrs.evolve(status, shares=parts)
        services = {
            **fleetconfig.CONFIGURATION.services,
            'next': routes.Service('next', '/health', 9),
        }
        fleet = fleetsim.Fleet(
            [('m0', 'moti', 'd0'), ('n0', 'next', 'd1'), ('n1', 'next', 'd2')],
            configuration=routes.Configuration(
                1, (lookup, book, status), services
            ),
        )
        fleet.run(fleetsim.SETTLE_MS)
        fleet.backends['m0'].sheds = 1000
        for _ in range(100):
            fleet.call('n0', '/')
            fleet.run(20)
        fleet.run(SECOND_MS)
        runs = sum(len(fleet.backends[host].started) for host in ('n0', 'n1'))
        assert 45 <= runs <= 55


class TestInvalidWeights:
    """A split whose weights are all 0."""

    def test_last_valid_form_stays(self):
        """Guards against a division by 0, and against losing the route.

        The rest of the new version is put in force.
        """
        (agent,) = create_agents(1, 1)
        apply(agent, configuration(1, split(1, 0)))
        other = split(1, name='other')
        apply(agent, configuration(2, split(0, 0), other))
        assert agent.configuration.routes == (split(1, 0), other)
        assert agent.configuration_version == 2
        assert receive(agent, 1) == 's0'

    def test_route_without_valid_form_is_left_out(self):
        """Guards against a failure at the first configuration."""
        (agent,) = create_agents(1, 1)
        apply(agent, configuration(1, split(0, 0)))
        assert receive(agent, 1) is None
        assert agent.outbox.take(messages.Refuse)


class TestState:
    """What an agent keeps of a split."""

    def test_state_is_dropped_with_the_route(self):
        """Guards against state that grows with each configuration."""
        (agent,) = create_agents(1, 1)
        for version in range(1, 9):
            apply(agent, configuration(version, split(version, 9)))
            receive(agent, 1)
        assert len(agent.split_positions) == 1
        apply(agent, configuration(9, split(1, 1, name='other')))
        assert not len(agent.split_positions)
