"""Metrics of an agent in the Prometheus text format."""

from prometheus_client import parser

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import exposition


def read_samples(agent):
    """Return the metric values of an agent by name and labels."""
    text = exposition.as_text(agent, lambda: 7).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class TestExposition:
    """Counters, gauges and histograms of an agent that serves requests."""

    def test_requests_keys_and_versions(self):
        """Guards against counters that are not updated, and invalid text.

        The text is read by the parser of the Prometheus client. Buckets must
        be cumulative, and all agents together hold each key once.
        """
        fleet = fleetsim.deployment()
        for key in range(0, 60_000, 6000):
            fleet.call('m0', '/look/', key)
        fleet.run(1000)
        samples = read_samples(fleet.agents['m0'])
        ended = {
            labels: value
            for (name, labels), value in samples.items()
            if name == 'laburnumlatch_requests_ended_total'
        }
        assert sum(ended.values()) == 10
        assert all(('outcome', 'answered') in labels for labels in ended)
        assert samples['laburnumlatch_log_lines_left_out_total', ()] == 7
        assert samples['laburnumlatch_ready', ()] == 1
        bucket_counts = [
            value
            for (name, _labels), value in samples.items()
            if name == 'laburnumlatch_request_duration_seconds_bucket'
        ]
        assert bucket_counts == sorted(bucket_counts)
        assert bucket_counts[-1] == 10
        keys_held = [
            read_samples(agent)['laburnumlatch_keys_held', ()]
            for agent in fleet.agents.values()
        ]
        assert sum(keys_held) == 65_536
