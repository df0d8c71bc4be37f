"""Evacuation of failure domains: what agents know, and requests that leave."""

import attrs
import pytest

from laburnumlatch.core import storemsg
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import configuring
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings
from laburnumlatch.mesh.evacuation import domains
from tests import evacuations
from tests import test_mesh_late_input


def read(version, *evacuated, ended=(), is_complete=False):
    """Return a response of the store about evacuated domains."""
    return configmsg.ConfigurationRead(
        configuring.READ_TICKET, (), version, evacuated, ended, is_complete
    )


def known(agent):
    """Return the domains in the table of an agent."""
    return set(agent.evacuations.keys())


class TestKnownDomains:
    """What an agent takes for evacuated, by responses of the store."""

    def test_full_read_replaces_what_was_known(self):
        """Guards against an evacuation that outlives a restored store."""
        fleet = evacuations.deployment()
        copy = fleet.store.copy()
        fleet.store.evacuate('d0')
        fleet.run(200)
        agent = fleet.agents['b1']
        assert known(agent) == {'d0'}
        fleet.store.restore(copy)
        fleet.run(3000)
        assert not known(agent)

    def test_late_read_does_not_end_a_newer_evacuation(self):
        """Guards against a lost evacuation when two calls cross.

        A full read runs beside the watch if a lease names a newer
        configuration, and may show the state before the watch's response.
        """
        agent = evacuations.deployment().agents['b1']
        domains.update(agent, read(2**50 + 5, 'd0'), agent.now)
        domains.update(agent, read(2**50 + 4, is_complete=True), agent.now)
        assert known(agent) == {'d0'}

    def test_begin_and_withdrawal_seconds_apart(self):
        """Guards against a withdrawal that is missed, and against lost work."""
        fleet = evacuations.deployment()
        numbers = evacuations.serve(fleet, 500)
        fleet.store.evacuate('d0')
        numbers += evacuations.serve(fleet, 1500)
        fleet.store.end_evacuation('d0')
        numbers += evacuations.serve(fleet, 1000)
        fleet.store.evacuate('d0')
        numbers += evacuations.serve(fleet, 4000)
        fleet.store.end_evacuation('d0')
        began = fleet.now
        numbers += evacuations.serve(fleet, 1500)
        assert not evacuations.refused(fleet, numbers)
        assert evacuations.late_starts(fleet, 'd0', began)
        evacuations.check_owners(fleet)

    def test_unknown_domain_counts_once_it_has_a_host(self):
        """Guards against an evacuation that is read before the host's row."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('nowhere')
        fleet.run(1200)
        agent = fleet.agents['b1']
        assert agent.evacuations.get('nowhere').is_known is False
        record = agent.hosts.get('b0').record
        agent.hosts.get('b0').record = attrs.evolve(record, domain='nowhere')
        fleet.run(1200)
        assert agent.evacuations.get('nowhere').is_known

    def test_host_without_a_row_is_taken_for_evacuated(self):
        """Guards against keys for a new host whose domain is not known yet."""
        fleet = evacuations.deployment()
        agent = fleet.agents['b1']
        assert not domains.is_host_evacuated(agent, 'new')
        fleet.store.evacuate('d0')
        fleet.run(100)
        assert domains.is_host_evacuated(agent, 'new')
        assert not domains.is_host_evacuated(agent, 'b1')

    def test_begin_is_unknown_in_the_first_read(self):
        """Guards against a bound that a restarted agent counts anew.

        The planner cannot move its keys, so requests for them are parked.
        """
        fleet = evacuations.deployment()
        fleet.store.writes_to_reject['plans/bokun'] = 1000
        fleet.store.evacuate('d0')
        evacuations.serve(fleet, 300)
        fleet.stop('b0')
        fleet.start('b0')
        restarted_at = fleet.now
        evacuations.serve(fleet, 3000)
        assert not evacuations.starts(fleet, 'b0', restarted_at)
        key = evacuations.first_key(fleet, 'b0')
        number = fleet.call('b0', '/look/', key=key)
        fleet.run(40)
        assert fleet.outcomes[number] is None

    def test_bound_counts_from_the_last_response_of_the_store(self):
        """Guards against requests sent by an agent that was cut off.

        The evacuation began while the store did not respond to it.
        """
        fleet = evacuations.deployment()
        agent = fleet.agents['b0']
        fleet.store.refused_hosts.add('b0')
        failed = storemsg.StoreFailed(configuring.WATCH_TICKET, 'refused')
        fleet.post('b0', failed)
        fleet.run(3000)
        fleet.store.evacuate('d0')
        fleet.run(4000)
        fleet.store.refused_hosts.clear()
        while not known(agent):
            fleet.run(10)
        assert not domains.may_start(agent, fleet.now)


class TestRequests:
    """Requests during an evacuation."""

    def test_none_starts_after_the_bound_and_none_is_refused(self):
        """Guards against requests that reach servers which are to be empty."""
        fleet = evacuations.deployment()
        numbers = evacuations.serve(fleet, 1000)
        fleet.store.evacuate('d0')
        ends_at = fleet.now + evacuations.END_MS
        numbers += evacuations.serve(fleet, 7000)
        assert not evacuations.late_starts(fleet, 'd0', ends_at)
        assert not evacuations.refused(fleet, numbers)
        evacuations.check_owners(fleet)

    def test_undivided_service_leaves_at_once(self):
        """Guards against the own host as last resort of its callers."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(200)
        began = fleet.now
        numbers = evacuations.serve(fleet, 2000, callers=('m0',))
        assert not evacuations.starts(fleet, 'm0', began)
        assert not evacuations.refused(fleet, numbers)

    @pytest.mark.parametrize('caller', ['m0', 'b1'])
    def test_queued_requests_run_elsewhere(self, caller):
        """Guards against queued requests that are refused to their callers.

        They wait for a server that does not finish its work within the bound.
        They came from a caller on that host, or from another host.
        """
        fleet = evacuations.deployment()
        fleet.backends['m0'].work_ms = 60_000
        agent = fleet.agents['m0']
        bounds = settings.Bounds(evacuation_ms=domains.MARGIN_MS)
        agent.settings = attrs.evolve(agent.settings, bounds=bounds)
        hosts = fleet.agents[caller].hosts
        hosts.get('m1').avoid_until = fleet.now + 60
        hosts.get('m2').avoid_until = fleet.now + 60
        for _ in range(12):
            fleet.call(caller, '/')
            fleet.run(3)
        waiting = [request.request_id for request in agent.queue]
        assert waiting
        fleet.store.evacuate('d0')
        fleet.run(evacuations.COMPLETION_MS)
        elsewhere = [
            *evacuations.starts(fleet, 'm1'),
            *evacuations.starts(fleet, 'm2'),
        ]
        assert set(elsewhere).issuperset(waiting)

    def test_nested_calls_leave_too(self):
        """Guards against calls of running requests to the own server."""
        fleet = evacuations.deployment()
        for host_id in ('b0', 'b3'):
            fleet.backends[host_id].nested_calls = 2
        fleet.store.evacuate('d0')
        fleet.run(100)
        began = fleet.now
        numbers = evacuations.serve(
            fleet, 2000, callers=('b0', 'b3'), step_ms=40
        )
        assert not evacuations.starts(fleet, 'm0', began)
        assert not evacuations.refused(fleet, numbers)

    def test_key_without_next_owner_is_parked(self):
        """Guards against a refusal at once while its owner is evacuated.

        The planner cannot write the plan for a moment: the request comes as
        the bound is over, and the plan follows.
        """
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(60)
        fleet.store.writes_to_reject['plans/bokun'] = 1000
        fleet.run(evacuations.END_MS)
        keys = [evacuations.first_key(fleet, name) for name in ('b0', 'b3')]
        while (
            fleet.agents[fleet.planner_hosts()[0]].timers.get('planner/plan')
            - fleet.now
            > 100
        ):
            fleet.run(1)
        fleet.store.writes_to_reject.clear()
        numbers = [
            fleet.call('b0', '/look/', key=keys[0]),
            fleet.call('b1', '/look/', key=keys[1]),
        ]
        fleet.run(40)
        assert [fleet.outcomes[number] for number in numbers] == [None, None]
        # The ingress does not ask a host whose bound is over.
        (waiting,) = fleet.agents['b1'].requests
        assert not waiting.exchange
        assert not evacuations.refused(fleet, numbers)

    def test_read_is_not_sent_again_after_the_bound(self):
        """Guards against a retry on a new connection after the bound."""
        fleet = evacuations.deployment()
        fleet.run(200)
        backend = fleet.backends['m0']
        for _ in range(40):
            fleet.call('m0', '/')
            fleet.run(100)
        fleet.store.evacuate('d0')
        began = fleet.now
        agent = fleet.agents['m0']
        fleet.run(60)
        end = domains.ends_at(agent, agent.evacuations.get('d0'))
        fleet.run(end - fleet.now - 5)
        backend.silent_connections = agent.backend.slots
        for number in range(agent.backend.slots):
            forward = test_mesh_late_input.forward(routes.Kind.SAFE, number)
            fleet.post(
                'm0', messages.ForwardArrived(90_000 + number, 'b1', forward)
            )
        fleet.run(2000)
        assert not evacuations.starts(fleet, 'm0', began + evacuations.END_MS)
