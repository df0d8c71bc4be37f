"""Work that takes less than the clock of an agent shows."""

import attrs
import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import bucketloads
from tests import test_mesh_bucketloads

SLOWNESS = 12
SLOW_HOSTS = ('b0', 'b1')
SERVED_MS = 8000
# The mean slowness of a machine follows within this time.
SETTLED_MS = 30_000


def quick_fleet():
    """Return a deployment with work too quick for the clock.

    The machines of some servers are slow, which their responses report.
    """
    fleet = fleetsim.deployment()
    for host_id, backend in fleet.backends.items():
        backend.work_ms = 0
        backend.reported_slots = backend.slots
        if host_id in SLOW_HOSTS:
            backend.slowness = SLOWNESS
    return fleet


class TestNewPlanner:
    """An agent takes the planner role while servers are slow at quick work."""

    def test_planner_goes_on(self):
        """Guards against planners that end one after another (review/11).

        All work in the first report of a host rounded to 0 ms, and the next
        planner divided by the mean.
        """
        fleet = quick_fleet()
        fleetload.Load(fleet, '/look/', 1).run(SERVED_MS)
        (former,) = fleet.planner_hosts()
        fleet.stop(former)
        fleetload.Load(fleet, '/look/', 1).run(SERVED_MS)
        (planner,) = fleet.planner_hosts()
        loads = fleet.agents[planner].bucket_loads.get(fleetconfig.SERVICE)
        assert set(SLOW_HOSTS) <= set(loads.mean_ms) | {former}
        assert min(loads.mean_ms.values()) > 0

    def test_slow_hosts_look_no_faster(self):
        """Guards against keys that move to the hosts whose work rounds to 0."""
        fleet = quick_fleet()
        fleetload.Load(fleet, '/look/', 1).run(SETTLED_MS)
        (planner,) = fleet.planner_hosts()
        agent = fleet.agents[planner]
        loads = agent.bucket_loads.get(fleetconfig.SERVICE)
        times_ms = {
            host_id: mean_ms * agent.lease_holders.get(host_id).slowness
            for host_id, mean_ms in loads.mean_ms.items()
        }
        usual_ms = min(
            times_ms[host_id]
            for host_id in times_ms
            if host_id not in SLOW_HOSTS
        )
        for host_id in SLOW_HOSTS:
            assert times_ms[host_id] == pytest.approx(usual_ms, rel=0.3)


class TestReports:
    """Reports of finished requests, as the planner counts them."""

    def test_work_without_time_tells_no_speed(self):
        """Guards against a mean of 0 by an earlier build, which rounds it."""
        loads = bucketloads.create(0)
        report = test_mesh_bucketloads.finished_report((0, 0))
        bucketloads.add(loads, report, 0)
        assert not loads.mean_ms
        bucketloads.add(loads, attrs.evolve(report, busy_ms=8), 0)
        assert loads.mean_ms == {'b0': 4}
