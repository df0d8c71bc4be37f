"""Who holds the planner's role."""

import types

import pytest

from laburnumlatch.experiments import fleetsim

TAKEN_MS = 4000
WEAK = types.MappingProxyType({'cores': 0.4, 'link_mbps': 10})
STRONG = types.MappingProxyType({'cores': 2, 'link_mbps': 200})


def mixed(strong, seed):
    """Return a deployment in which only the hosts `strong` have room."""
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
    """Hosts of different size."""

    @pytest.mark.parametrize('seed', range(4))
    def test_role_goes_to_a_host_with_room(self, seed):
        """Guards against a planner whose link and core are always full."""
        strong = {'b2', 'b4', 'm1'}
        fleet = mixed(strong, seed)
        while fleet.planner_hosts()[0] not in strong:
            fleet.stop(fleet.planner_hosts()[0])
            fleet.run(TAKEN_MS)
        for _ in range(2):
            fleet.stop(fleet.planner_hosts()[0])
            fleet.run(TAKEN_MS)
            assert fleet.planner_hosts()[0] in strong
        assert not fleet.violations
