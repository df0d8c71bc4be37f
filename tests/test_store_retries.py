"""Calls of all hosts to a store that is away."""

import attrs

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import storeretry

OUTAGE_MS = 10_000
# A host asks for a table at the longest pause, and a few times sooner.
SHORTEST_MS = storeretry.MAX_DELAY_MS * (1 - storeretry.JITTER_RATIO)
MOST_READS = OUTAGE_MS / SHORTEST_MS + 3
TABLES = 2
# What hosts missed must have come by then.
BACK_MS = 2000


def after_outage(fleet):
    """Let the store be away for a time, while something changes."""
    fleet.store.is_down = True
    fleet.run(OUTAGE_MS)
    fleet.configuration = attrs.evolve(fleet.configuration, version=2)
    fleet.store.is_down = False
    fleet.run(BACK_MS)


class TestOutage:
    """A store that is away for seconds."""

    def test_few_calls_are_made_in_vain(self):
        """Guards against all hosts asking several times a second."""
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.store.calls = 0
        fleet.store.configuration_reads = 0
        fleet.store.is_down = True
        fleet.run(OUTAGE_MS)
        hosts = len(fleet.agents)
        assert fleet.store.calls / hosts <= TABLES * MOST_READS
        assert fleet.store.configuration_reads / hosts <= MOST_READS

    def test_changes_are_known_soon_after_its_return(self):
        """Guards against hosts that wait too long to ask again."""
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.stop('m1')
        after_outage(fleet)
        for agent in fleet.agents.values():
            assert agent.configuration_version == 2
            assert agent.is_watching

    def test_row_of_a_server_that_leaves_is_written_soon(self):
        """Guards against a row that is still missing after the outage."""
        fleet = fleetsim.deployment(divided=6, others=2)
        fleet.store.is_down = True
        fleet.backends['m1'].is_draining = True
        fleet.run(OUTAGE_MS)
        fleet.store.is_down = False
        fleet.run(BACK_MS)
        for agent in fleet.agents.values():
            assert agent.hosts.get('m1').record.state == 'draining'
