"""Which host gets the planner role."""

import types

import pytest

from laburnumlatch.experiments import fleetsim

TAKEOVER_MS = 4000
WEAK = types.MappingProxyType({'cores': 0.4, 'link_mbps': 10})
STRONG = types.MappingProxyType({'cores': 2, 'link_mbps': 200})


def mixed_fleet(strong, seed):
    """Return a deployment in which only hosts in `strong` have spare capacity.

    `strong` is a set of host IDs.
    """
    hosts = [(f'b{number}', 'bokun', 'd0') for number in range(6)]
    hosts += [(f'm{number}', 'moti', 'd0') for number in range(3)]
    machines = {
        host_id: STRONG if host_id in strong else WEAK
        for host_id, _service, _domain in hosts
    }
    fleet = fleetsim.Fleet(hosts, seed, host_settings=machines)
    fleet.run(fleetsim.SETTLE_MS)
    return fleet


class TestHosts:
    """Hosts with different numbers of cores and different links."""

    @pytest.mark.parametrize('seed', range(4))
    def test_strong_host_takes_the_role(self, seed):
        """Guards against a planner whose link and core are always saturated.

        Each time that the planner is lost, one of the strong hosts must take
        the role as long as there is one.
        """
        strong = {'b2', 'b4', 'm1'}
        fleet = mixed_fleet(strong, seed)
        while fleet.planner_hosts()[0] not in strong:
            fleet.stop(fleet.planner_hosts()[0])
            fleet.run(TAKEOVER_MS)
        for _ in range(2):
            fleet.stop(fleet.planner_hosts()[0])
            fleet.run(TAKEOVER_MS)
            assert fleet.planner_hosts()[0] in strong
        assert not fleet.violations
