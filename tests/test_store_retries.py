"""Retries of all hosts while the store is unavailable."""

import attrs

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import storeretry

OUTAGE_MS = 10_000
# A host retries the read of a table at the longest backoff, after a few
# retries with shorter ones.
SHORTEST_MS = storeretry.MAX_DELAY_MS * (1 - storeretry.JITTER_RATIO)
MAX_READS_PER_TABLE = OUTAGE_MS / SHORTEST_MS + 3
TABLE_COUNT = 2
# Within this time after the outage, hosts must know what they missed.
RECOVERY_MS = 2000


def run_outage(fleet):
    """Run an outage of the store and publish a configuration during it."""
    fleet.store.is_down = True
    fleet.run(OUTAGE_MS)
    fleet.configuration = attrs.evolve(fleet.configuration, version=2)
    fleet.store.is_down = False
    fleet.run(RECOVERY_MS)


class TestOutage:
    """An outage of the store that lasts for seconds."""

    def test_hosts_back_off(self):
        """Guards against several store calls a second by each host.

        Without backoff all hosts would retry at once while the store is down.
        """
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.store.calls = 0
        fleet.store.configuration_reads = 0
        fleet.store.is_down = True
        fleet.run(OUTAGE_MS)
        hosts = len(fleet.agents)
        assert fleet.store.calls / hosts <= TABLE_COUNT * MAX_READS_PER_TABLE
        assert fleet.store.configuration_reads / hosts <= MAX_READS_PER_TABLE

    def test_changes_are_known_soon_after_the_outage(self):
        """Guards against a backoff that delays hosts long after the outage."""
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.stop('m1')
        run_outage(fleet)
        for agent in fleet.agents.values():
            assert agent.configuration_version == 2
            assert agent.members_view.is_watched

    def test_row_of_a_draining_server_is_written_soon(self):
        """Guards against a host's row that is still missing after an outage.

        The server starts draining during the outage, so that the first writes
        of the row fail.
        """
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.store.is_down = True
        fleet.backends['m1'].is_draining = True
        fleet.run(OUTAGE_MS)
        fleet.store.is_down = False
        fleet.run(RECOVERY_MS)
        for agent in fleet.agents.values():
            assert agent.hosts.get('m1').record.state == 'draining'
