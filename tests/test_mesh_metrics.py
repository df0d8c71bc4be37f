"""Metrics of an agent as text."""

from prometheus_client import parser

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import exposition


def samples_of(agent):
    """Return the values by name and labels."""
    text = exposition.as_text(agent, lambda: 7).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class TestExposition:
    """What on-call engineers see of an agent."""

    def test_requests_keys_and_versions(self):
        """Guards against counters that stand still, and unreadable text."""
        fleet = fleetsim.deployment()
        for key in range(0, 60_000, 6000):
            fleet.call('m0', '/look/', key)
        fleet.run(1000)
        found = samples_of(fleet.agents['m0'])
        ended = {
            labels: value
            for (name, labels), value in found.items()
            if name == 'laburnumlatch_requests_ended_total'
        }
        assert sum(ended.values()) == 10
        assert all(('outcome', 'answered') in labels for labels in ended)
        assert found['laburnumlatch_log_lines_left_out_total', ()] == 7
        assert found['laburnumlatch_ready', ()] == 1
        buckets = [
            value
            for (name, _labels), value in found.items()
            if name == 'laburnumlatch_request_duration_seconds_bucket'
        ]
        assert buckets == sorted(buckets)
        assert buckets[-1] == 10
        held = [
            samples_of(agent)['laburnumlatch_keys_held', ()]
            for agent in fleet.agents.values()
        ]
        assert sum(held) == 65_536
