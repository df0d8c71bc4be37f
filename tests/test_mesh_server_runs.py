"""What hosts report of grants that may last, and how the planner waits."""

import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import ranges

CALL_INTERVAL_MS = 20
# By then keys that were given away are granted, and old grants have ended.
SETTLE_MS = 8000
LONG_WORK_MS = 1600
# A process that has ended starts again after this time.
AWAY_MS = 500
# Moments at which a server crashes. In some of them its next run gets a renewal
# of a grant before it announces itself.
CRASHES_MS = range(1800, 4600, 70)


def load(fleet, key, duration_ms):
    """Send lookups of a key for some time."""
    ends_at = fleet.now + duration_ms
    while fleet.now < ends_at:
        fleet.call('m0', '/look/', key)
        fleet.run(CALL_INTERVAL_MS)


def check_owners(fleet):
    """Check that no key has had two owners, and that each has one now."""
    assert not fleet.violations
    assert not fleet.early_grants
    assert fleet.owned_key_count() == ranges.KEY_COUNT


def restart_until_granted(fleet, host_id):
    """Restart a server; return once it holds keys or has announced itself.

    Grants that were meant for the run before reach the next one.
    """
    backend = fleet.backends[host_id]
    fleet.grants.kept_connections.add(host_id)
    key = backend.held_ranges()[0][0]
    backend.restart()
    while not backend.sequence and not backend.holds(key):
        fleet.run(1)
    return key


class TestSilentHost:
    """A host that has given up its lease, and is silent from then on."""

    @pytest.mark.parametrize('silenced', ['paused', 'partitioned_hosts'])
    @pytest.mark.parametrize('awake_ms', range(100, 400, 20))
    def test_keys_stay_until_the_reported_grants_end(self, awake_ms, silenced):
        """Guards against two owners when a host falls silent.

        Two lost answers look like a server that is down, so the host gave up
        its lease and reported how long its grants last. That was forgotten
        once it was silent.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        key = backend.held_ranges()[0][0]
        backend.lost_answers = 2
        load(fleet, key, awake_ms)
        hosts = getattr(fleet, silenced)
        hosts.add(host_id)
        fleet.run(SETTLE_MS)
        hosts.clear()
        fleet.run(SETTLE_MS)
        check_owners(fleet)


class TestRestartedServer:
    """A server that starts again before its agent notices that it had ended."""

    @pytest.mark.parametrize('offset_ms', CRASHES_MS)
    def test_key_stays_while_the_next_run_works_on_it(self, offset_ms):
        """Guards against a key that is given away while work on it runs.

        The next run accepted the renewal of a grant and a booking. Its first
        announcement made the agent give up the lease, and report that no
        grants last.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        backend.work_ms = LONG_WORK_MS
        fleet.run(offset_ms)
        key = restart_until_granted(fleet, host_id)
        fleet.call('m0', '/book/', key, 2000)
        fleet.run(SETTLE_MS)
        check_owners(fleet)

    @pytest.mark.parametrize('offset_ms', CRASHES_MS)
    def test_keys_stay_while_grants_of_an_earlier_agent_last(self, offset_ms):
        """Guards against two owners after a server and its agent restart.

        The next run accepted the renewal of a grant from an agent that was
        killed. The next agent process reported that run and no grants.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        fleet.run(offset_ms)
        restart_until_granted(fleet, host_id)
        fleet.stop(host_id)
        fleet.run(AWAY_MS)
        fleet.start(host_id)
        fleet.run(SETTLE_MS)
        check_owners(fleet)

    @pytest.mark.parametrize('offset_ms', CRASHES_MS)
    def test_next_run_takes_no_grant_of_the_run_before(self, offset_ms):
        """Guards against a fencing token that does not rise with the owner.

        A renewal went over a new connection, to the next run of the server,
        which its agent did not know yet.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        fleet.run(offset_ms)
        former_fences = backend.fences()
        backend.restart()
        while not backend.sequence:
            fleet.run(1)
            assert not backend.fences()
        fleet.run(SETTLE_MS)
        assert not set(former_fences).intersection(backend.fences())
        assert not fleet.low_fences
        check_owners(fleet)

    def test_keys_stay_without_a_kept_connection(self):
        """Guards against renewals that wait for a connection forever.

        The server has closed the connections that carried its grants. The
        next announcement shows that it is in the same run.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        held = sorted(fleet.backends[host_id].held_ranges())
        for _ in range(SETTLE_MS // CALL_INTERVAL_MS):
            fleet.grants.close_connections(host_id)
            fleet.run(CALL_INTERVAL_MS)
            assert sorted(fleet.backends[host_id].held_ranges()) == held
        check_owners(fleet)

    @pytest.mark.parametrize('offset_ms', range(0, 4600, 460))
    def test_keys_do_not_wait_for_the_next_periodic_renewal(self, offset_ms):
        """Guards against keys without an owner once they are released.

        The planner learned that from the next renewal, up to 400 ms later.
        """
        fleet = fleetsim.deployment()
        backend = fleet.backends[fleet.owner_beside_planner()]
        fleet.run(offset_ms)
        backend.restart()
        while not backend.sequence:
            fleet.run(1)
        fleet.run(leases.RENEW_MS)
        check_owners(fleet)
