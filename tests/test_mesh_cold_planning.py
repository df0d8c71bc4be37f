"""The planner's view of hosts whose backend servers are cold."""

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from tests import test_mesh_cold_servers

COLD_MS = test_mesh_cold_servers.COLD_MS
LONG_COLD_MS = 12_000
KEY_COUNT = fleetconfig.KEY_COUNT
# Of four hosts, each has a quarter of the keys.
EQUAL_KEYS = KEY_COUNT // 4


def loaded_fleet(per_step=1.2):
    """Return a deployment of four owners, and its load after three seconds."""
    fleet = test_mesh_cold_servers.cold_fleet(divided=4)
    load = fleetload.Load(fleet, '/look/', per_step)
    run(fleet, load, 3000)
    return fleet, load


def run(fleet, load, duration_ms):
    """Send requests for a time."""
    for _ in range(duration_ms // fleetload.STEP_MS):
        load.send()
        fleet.run(fleetload.STEP_MS)


def keys_of(fleet, host_id):
    """Return how many keys the newest plan gives to a host."""
    plan = max(
        (agent.plan_of(fleetconfig.SERVICE) for agent in fleet.agents.values()),
        key=lambda known: known.version,
    )
    return sum(
        piece.end - piece.start + 1
        for piece in plan.pieces
        if piece.host_id == host_id
    )


class TestColdOwner:
    """An owner of keys whose server becomes cold while it serves them."""

    def test_keys_stay_for_a_few_seconds(self):
        """Guards against keys that move away and back within seconds.

        The owner bears a tenth of its load while it is cold.
        """
        fleet, load = loaded_fleet()
        owner = fleet.owner_beside_planner()
        before = keys_of(fleet, owner)
        fleet.backends[owner].cold_until = fleet.now + COLD_MS
        run(fleet, load, COLD_MS)
        assert keys_of(fleet, owner) == before

    def test_keys_leave_a_server_that_stays_cold(self):
        """Guards against callers refused for long while others have room."""
        fleet, load = loaded_fleet()
        owner = fleet.owner_beside_planner()
        before = keys_of(fleet, owner)
        fleet.backends[owner].cold_until = fleet.now + LONG_COLD_MS
        run(fleet, load, COLD_MS)
        assert keys_of(fleet, owner) < before / 2


class TestNewServer:
    """A host that comes back with a cold server."""

    def test_keys_come_when_it_is_warm(self):
        """Guards against a cold server that gets the keys of a warm one."""
        fleet, load = loaded_fleet()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        backend.is_up = False
        run(fleet, load, 12_000)
        assert not keys_of(fleet, host_id)
        backend.restart(cold_ms=LONG_COLD_MS)
        run(fleet, load, 4000)
        assert keys_of(fleet, host_id) < EQUAL_KEYS / 4
        backend.cold_until = 0
        run(fleet, load, 8000)
        assert keys_of(fleet, host_id) > EQUAL_KEYS / 2
        assert not fleet.violations

    def test_lost_keys_go_to_warm_hosts(self):
        """Guards against a whole piece that is given to a cold server.

        It has no keys, and so the least load of all hosts.
        """
        fleet, load = loaded_fleet(per_step=0.4)
        first, second = [
            host_id
            for host_id in ('b0', 'b1', 'b2', 'b3')
            if host_id not in fleet.planner_hosts()
        ][:2]
        fleet.backends[first].is_up = False
        run(fleet, load, 10_000)
        fleet.backends[first].restart(cold_ms=LONG_COLD_MS)
        run(fleet, load, 1000)
        fleet.backends[second].is_up = False
        run(fleet, load, 7000)
        assert not keys_of(fleet, second)
        assert keys_of(fleet, first) < EQUAL_KEYS / 4
