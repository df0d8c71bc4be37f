"""Which hosts the requests of a route with regions reach, in a `Fleet`."""

import collections
import types

import attrs
import pytest

from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import regions
from laburnumlatch.mesh import routes

# Failure domain d3 has no region in the settings.
REGIONS = types.MappingProxyType({
    'd0': 'north',
    'd1': 'south',
    'd2': 'east',
})
DIVIDED_HOSTS = (('b0', 'bokun', 'd0'), ('b1', 'bokun', 'd1'))
OTHER_HOSTS = tuple((f'm{number}', 'moti', f'd{number}') for number in range(4))
CALLS = 40
STEP_MS = 30
TIME_MS = 2000


def create_fleet(**regions_by_route):
    """Return a running fleet with regions for some routes, by their names."""
    declared = tuple(
        attrs.evolve(
            route, regions=frozenset(regions_by_route.get(route.name, ()))
        )
        for route in fleetconfig.CONFIGURATION.routes
    )
    hosts = DIVIDED_HOSTS + OTHER_HOSTS
    fleet = fleetsim.Fleet(
        hosts,
        configuration=attrs.evolve(fleetconfig.CONFIGURATION, routes=declared),
        host_settings={host[0]: {'regions': REGIONS} for host in hosts},
    )
    fleet.run(fleetsim.SETTLE_MS)
    return fleet


def key_of(fleet, host_id):
    """Return a key of a host."""
    return fleet.backends[host_id].held_ranges()[0][0]


def runs_by_host(fleet):
    """Return how many requests have begun at the server of each host."""
    return collections.Counter({
        host_id: len(backend.started)
        for host_id, backend in fleet.backends.items()
        if backend.started
    })


class TestOtherServices:
    """A service that is not divided by key."""

    def test_only_hosts_in_the_regions_get_requests(self):
        """Guards against reaching a host elsewhere, or one of no known region.

        The agent that the callers are connected to is itself not allowed.
        """
        fleet = create_fleet(status=('south', 'east'))
        for _ in range(CALLS):
            fleet.call('m0', '/')
            fleet.run(STEP_MS)
        assert set(runs_by_host(fleet)) <= {'m1', 'm2'}
        assert runs_by_host(fleet).total() == CALLS

    def test_retries_and_last_resort_stay_in_the_regions(self):
        """Guards against leaving the regions because their hosts refuse."""
        fleet = create_fleet(status=('south',))
        fleet.backends['m1'].sheds = 10 * CALLS
        numbers = [fleet.call('m0', '/') for _ in range(CALLS)]
        fleet.run(TIME_MS)
        assert not runs_by_host(fleet)
        verdicts = {fleet.outcomes[number].verdict for number in numbers}
        assert verdicts == {messages.Verdict.NOT_RUN}

    def test_without_an_allowed_host_the_request_has_not_run(self):
        """Guards against falling back to other hosts, and against waiting."""
        fleet = create_fleet(status=('west',))
        number = fleet.call('m0', '/')
        fleet.run(STEP_MS)
        assert fleet.outcomes[number].verdict == messages.Verdict.NOT_RUN
        assert fleet.outcomes[number].reason == messages.Reason.REGION
        assert not runs_by_host(fleet)


class TestDividedService:
    """A service divided by key: only the owner of a key can serve it."""

    @pytest.mark.parametrize('caller', ['b0', 'm0'])
    def test_owner_elsewhere_gets_no_request(self, caller):
        """Guards against sending a request, with its body, to the owner."""
        fleet = create_fleet(book=('south',))
        numbers = [
            fleet.call(caller, '/book/', key_of(fleet, owner))
            for owner in ('b0', 'b1')
        ]
        fleet.run(TIME_MS)
        refused, delivered = (fleet.outcomes[number] for number in numbers)
        assert refused.verdict == messages.Verdict.NOT_RUN
        assert refused.reason == messages.Reason.REGION
        assert isinstance(delivered, messages.Deliver)
        assert set(runs_by_host(fleet)) == {'b1'}


class TestNestedCalls:
    """Calls that a backend server makes while it runs a request."""

    @pytest.mark.parametrize(
        ('book', 'status', 'allowed'),
        [
            (('south', 'east'), (), {'m2'}),
            (('south', 'east'), ('east', 'north'), {'m2'}),
            ((), ('north',), {'m0'}),
            (('south',), ('north',), set()),
        ],
    )
    def test_both_lists_bind(self, book, status, allowed):
        """Guards against a call that leaves the regions of its request.

        The request comes from another host, so its list must come with it.
        The host nearest to its server, m1, refuses the calls.
        """
        fleet = create_fleet(book=book, status=status)
        fleet.backends['b1'].nested_calls = 1
        fleet.backends['m1'].sheds = 10 * CALLS
        for _ in range(CALLS):
            fleet.call('m0', '/book/', key_of(fleet, 'b1'))
            fleet.run(STEP_MS)
        fleet.run(TIME_MS)
        reached = runs_by_host(fleet)
        assert reached.pop('b1')
        assert set(reached) <= allowed
        assert bool(reached) == bool(allowed)

    def test_call_of_an_ended_request_is_bound(self):
        """Guards against a free call once the caller of its request has left.

        The server of a read goes on although its connection was closed.
        """
        fleet = create_fleet(lookup=('south',))
        number = fleet.call('m0', '/look/', key_of(fleet, 'b1'))
        fleet.run(STEP_MS)
        fleet.post('m0', messages.CallerLeft(number))
        fleet.run(STEP_MS)
        assert not len(fleet.agents['b1'].requests)
        for suffix in range(CALLS):
            fleet.call('b1', '/', request_id=f'r{number}.{suffix}')
        fleet.run(TIME_MS)
        assert set(runs_by_host(fleet)) == {'b1', 'm1'}

    def test_bindings_are_dropped(self):
        """Guards against memory that grows with each request."""
        fleet = create_fleet(book=('south',))
        agent = fleet.agents['b1']
        fleet.call('b1', '/book/', key_of(fleet, 'b1'))
        fleet.run(TIME_MS)
        assert len(agent.region_bindings) == 1
        fleet.run(fleetconfig.BOOK_TIMEOUT_MS + regions.RETENTION_MS)
        fleet.call('b1', '/look/', key_of(fleet, 'b1'))
        fleet.run(TIME_MS)
        assert not len(agent.region_bindings)
        assert not len(agent.region_binding_ends)


class TestForward:
    """The list of regions in the message between agents."""

    @pytest.mark.parametrize('binding', [None, (), ('east', 'south')])
    def test_binding_arrives(self, binding):
        """Guards against taking an empty list for none: it allows no host."""
        codec = wire.Codec(peermsg.KINDS)
        head = messages.Head('GET', '/x', 'h', (), 'r1')
        forward = messages.Forward(
            1, 1, head, b'', 's', routes.Kind.SAFE, 1, 9, 9, regions=binding
        )
        decoded = codec.decode(codec.encode(peermsg.Ask(forward, 5)))
        assert decoded.forward.regions == binding
