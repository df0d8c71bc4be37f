"""Agents that are paused and resume while cut off from all others."""

import pytest

from laburnumlatch.experiments import fleetsim

# Messages that were sent to the paused agent before the cut wait for it.
CUT_MS = (800, 1200, 1500, 1800)
SETTLE_MS = 8000


class TestPausedPlanner:
    """A paused planner that owns keys as well."""

    @pytest.mark.parametrize('pause_ms', range(3500, 11_500, 2000))
    @pytest.mark.parametrize('cut_ms', CUT_MS)
    def test_old_renewals_do_not_count_for_a_majority(self, cut_ms, pause_ms):
        """Guards against two owners of a key after a pause of the planner.

        Renewals that were sent before the cut are read after the pause. If
        they counted as new contacts, the old planner would have a majority
        and go on issuing leases beside its successor.
        """
        fleet = fleetsim.deployment(divided=4, others=1)
        (planner,) = fleet.planner_hosts()
        fleet.paused.add(planner)
        fleet.run(cut_ms)
        fleet.partitioned_hosts.add(planner)
        fleet.store.refused_hosts = {planner}
        fleet.run(max(1, pause_ms - cut_ms))
        fleet.paused.discard(planner)
        fleet.run(SETTLE_MS)
        assert not fleet.violations
        fleet.partitioned_hosts.clear()
        fleet.store.refused_hosts = set()
        fleet.run(SETTLE_MS)
        assert not fleet.violations
        assert len(fleet.planner_hosts()) == 1
