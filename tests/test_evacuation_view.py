"""What an operator sees of an evacuation: logs, metrics, status."""

import asyncio

import logbook

from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import members
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from tests import evacuations
from tests import stores
from tests import test_configuration as fixtures
from tests import test_mesh_metrics

GAUGES = (
    'laburnumlatch_evacuated_domains',
    'laburnumlatch_evacuation_pieces_left',
    'laburnumlatch_evacuation_requests_left',
)


def gauges(agent):
    """Return the gauges about evacuations, in the order of `GAUGES`."""
    samples = test_mesh_metrics.read_samples(agent)
    return tuple(samples[name, ()] for name in GAUGES)


class TestView:
    """What has yet to leave, and that all has left."""

    def test_agent_shows_domains_pieces_and_requests(self):
        """Guards against an evacuation that nobody sees, or that never ends.

        A domain without a host does not count.
        """
        fleet = evacuations.deployment()
        agent = fleet.agents['m0']
        fleet.backends['m0'].work_ms = 2000
        fleet.call('m0', '/')
        fleet.run(10)
        assert gauges(agent) == (0, 0, 0)
        fleet.store.evacuate('d0', 'nowhere')
        fleet.run(100)
        assert gauges(agent) == (1, 2, 1)
        document = report.status(state.from_agent(agent))
        assert document['evacuations']['domains'] == ['d0']
        assert document['evacuations']['keys'] > 20_000
        assert '1 requests here' in report.status_text(document)
        fleet.run(5000)
        assert gauges(agent) == (1, 0, 0)
        fleet.store.end_evacuation('d0')
        fleet.run(100)
        assert gauges(agent) == (0, 0, 0)
        document = report.status(state.from_agent(agent))
        assert 'evacuated' not in report.status_text(document)

    def test_store_shows_domains_and_keys(self):
        """Guards against a status without agents that hides an evacuation."""
        fleet = evacuations.deployment()
        memory = stores.MemoryStore()
        plan = evacuations.plan_of(fleet)
        rows = {
            'op/evacuate/d1': b'',
            'plans/bokun': wire.pack_compressed(plan),
        }
        for host in fleet.agents['b0'].hosts:
            key = f'{members.HOST_PREFIX}{host.host_id}'
            rows[key] = wire.pack(host.record)
        for key, body in rows.items():
            memory.rows[key] = storemsg.StoreRow(key, 1, body)
        stored = asyncio.run(state.from_store(memory, fixtures.CODEC))
        evacuated = report.status(stored)['evacuations']
        assert evacuated['domains'] == ['d1']
        assert evacuated['keys'] == evacuations.keys_in(fleet, 'd1')
        assert 'evacuated: d1' in report.status_text(report.status(stored))

    def test_lines_are_few_and_tell_the_end(self):
        """Guards against a line for each step, or none that all has left.

        Hosts with nothing to report write begin and end only.
        """
        fleet = evacuations.deployment()
        handler = logbook.TestHandler()
        with handler:
            fleet.store.evacuate('d0', 'nowhere')
            fleet.run(5000)
            fleet.store.end_evacuation('d0')
            fleet.run(100)
        texts = [
            record.message
            for record in handler.records
            if record.channel == 'evacuation'
        ]
        count = len(fleet.agents)
        assert texts.count('evacuation-begun domain=d0') == count
        assert texts.count('evacuation-ended domain=d0') == count
        ignored = [text for text in texts if 'evacuation-ignored' in text]
        assert len(ignored) == count
        progress = [text for text in texts if 'evacuation-progress' in text]
        assert 3 <= len(progress) <= 5
        assert 'pieces=0 keys=0 requests=0' in progress[-1]
