"""Agents that are paused and come back cut off from all others."""

import pytest

from laburnumlatch.experiments import fleetsim

# What the others said by then waits for the paused agent.
CUT_MS = (800, 1200, 1500, 1800)
REST_MS = 8000


class TestPausedPlanner:
    """The planner, which owns keys as well."""

    @pytest.mark.parametrize('pause_ms', range(3500, 11_500, 2000))
    @pytest.mark.parametrize('cut_ms', CUT_MS)
    def test_old_renewals_are_no_sign_of_a_majority(self, cut_ms, pause_ms):
        """Guards against two owners: renewals of before count as new."""
        fleet = fleetsim.deployment(divided=4, others=1)
        (planner,) = fleet.planner_hosts()
        fleet.paused.add(planner)
        fleet.run(cut_ms)
        fleet.partitioned_hosts.add(planner)
        fleet.store.refused_hosts = {planner}
        fleet.run(max(1, pause_ms - cut_ms))
        fleet.paused.discard(planner)
        fleet.run(REST_MS)
        assert not fleet.violations
        fleet.partitioned_hosts.clear()
        fleet.store.refused_hosts = set()
        fleet.run(REST_MS)
        assert not fleet.violations
        assert len(fleet.planner_hosts()) == 1
