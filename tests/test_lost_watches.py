"""Responses of the store that one host does not get, while it gets others."""

import attrs
import pytest

from laburnumlatch.experiments import fleetsim

# Bounds of the platform: from the confirmation of a change, and from the end
# of the last disruption between a host and the store.
APPLY_MS = 2000
CONTACT_MS = 3000
# A change of rows of hosts has no bound of its own; a host that has joined is
# to get requests by then.
JOIN_MS = 4000
SILENCES_MS = (300, 1200, 2300)


def silence_around(fleet, host_id, silence_ms, change):
    """Change something in the middle of a silence of the store for a host."""
    fleet.store.silent_hosts.add(host_id)
    fleet.run(silence_ms // 2)
    change()
    fleet.run(silence_ms - silence_ms // 2)
    fleet.store.silent_hosts.clear()


def publish(fleet, version):
    """Let the operator write a version of the configuration."""
    fleet.configuration = attrs.evolve(fleet.configuration, version=version)


def restart(fleet, host_id):
    """Start the next run of a server, which announces itself at once."""
    server = fleet.backends[host_id]
    server.restart()
    fleet.post(host_id, server.announce())


def chosen_host(fleet, is_planner):
    """Return the planner's host, or the first one of the other hosts."""
    (planner,) = fleet.planner_hosts()
    others = (host_id for host_id in fleet.agents if host_id != planner)
    return planner if is_planner else min(others)


@pytest.mark.parametrize('is_planner', [True, False])
@pytest.mark.parametrize('silence_ms', SILENCES_MS)
class TestConfiguration:
    """A host whose watch of the configuration gets no response."""

    def test_version_is_in_force_within_the_bound(self, silence_ms, is_planner):
        """Guards against an old configuration after a silence of the store.

        The response to the watch was lost, and nothing showed that before the
        call was given up after half a minute.
        """
        fleet = fleetsim.deployment()
        host_id = chosen_host(fleet, is_planner)
        silence_around(fleet, host_id, silence_ms, lambda: publish(fleet, 2))
        fleet.run(CONTACT_MS)
        for agent in fleet.agents.values():
            assert agent.configuration_version == 2

    def test_second_silence_is_like_the_first(self, silence_ms, is_planner):
        """Guards against a check that is lost like the watch before it."""
        fleet = fleetsim.deployment()
        host_id = chosen_host(fleet, is_planner)
        silence_around(fleet, host_id, silence_ms, lambda: publish(fleet, 2))
        fleet.run(APPLY_MS // 2)
        silence_around(fleet, host_id, silence_ms, lambda: publish(fleet, 3))
        fleet.run(CONTACT_MS)
        for agent in fleet.agents.values():
            assert agent.configuration_version == 3

    def test_evacuation_is_known_within_the_bound(self, silence_ms, is_planner):
        """Guards against an evacuation that a host does not know of.

        It changes no version of the configuration.
        """
        fleet = fleetsim.deployment()
        host_id = chosen_host(fleet, is_planner)
        silence_around(
            fleet, host_id, silence_ms, lambda: fleet.store.evacuate('d9')
        )
        fleet.run(CONTACT_MS)
        for agent in fleet.agents.values():
            assert 'd9' in agent.evacuations


@pytest.mark.parametrize('is_planner', [True, False])
@pytest.mark.parametrize('silence_ms', SILENCES_MS)
class TestMembers:
    """A host whose watch of the hosts gets no response."""

    def test_changed_host_is_known_soon(self, silence_ms, is_planner):
        """Guards against requests to hosts as they were half a minute ago."""
        fleet = fleetsim.deployment()
        host_id = chosen_host(fleet, is_planner)
        server = fleet.backends['m1']
        silence_around(fleet, host_id, silence_ms, lambda: restart(fleet, 'm1'))
        fleet.run(JOIN_MS)
        for agent in fleet.agents.values():
            assert agent.hosts.get('m1').record.life == server.life
