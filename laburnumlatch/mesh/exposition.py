"""Counters, gauges and latency histograms of an agent as Prometheus text.

All values are read from the agent's tables on each scrape.
"""

import collections
import itertools
import types

from prometheus_client import core
from prometheus_client import exposition
from prometheus_client import registry

from laburnumlatch.core import clock
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import retrybudget
from laburnumlatch.mesh.evacuation import progress
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.pacing import coldness
from laburnumlatch.mesh.pacing import serverload

METRIC_PREFIX = 'laburnumlatch'
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
LATENCY_BUCKETS_MS = (
    *(5, 10, 25, 50, 100, 200, 300, 400, 600, 800),
    *(1000, 1500, 2000, 3000, 5000),
)
COUNTER_HELP = types.MappingProxyType({
    'requests_received': 'Requests received from callers on this host.',
    'requests_ended': 'Finished requests by outcome; the reason of an answered '
    'request is its status.',
    'requests_refused_unplaced': 'Requests refused before their service was '
    'determined.',
    'caller_connections_closed': 'Connections of callers closed because memory '
    'or descriptors were short.',
    'requests_forwarded': 'Requests forwarded to agents of other hosts.',
    'requests_repeated': 'Retries of safe requests.',
    'requests_displaced': 'Queued requests refused because more urgent ones '
    'joined the queue.',
    'exchanges_failed': 'Exchanges that ended without a response.',
    'calls_ended': 'Finished nested calls of requests that run here, by route '
    'of the request; late calls ended after their own target and that of the '
    'request.',
    'balance_rounds': 'Searches of the planner for keys to move.',
    'internal_faults': 'Outgoing messages that could not be carried out, by '
    'class, callbacks of the loop that have raised, and runs of systems that '
    'only report.',
    'plan_faults': 'Steps of planning that have raised, for a service or the '
    'report of a host.',
    'store_calls': 'Responses of the store by the part that made the call.',
    'grants': 'Grants to the backend server by outcome.',
    'keys_received': 'Keys granted to this host for the first time.',
    'keys_released': 'Keys released by the backend server.',
    'announcements': 'Announcements of the backend server by outcome.',
    'cold_changes': 'How often the backend server became cold or warm.',
    'paced_starts': 'Requests sent to the backend server while it was cold.',
})


class AgentCollector(registry.Collector):
    """Collects the metrics of one agent from its tables."""

    def __init__(self, agent, count_left_out):
        """Collect from `agent`.

        `count_left_out` returns the number of log lines dropped so far.
        """
        self._agent = agent
        self._count_left_out = count_left_out

    def collect(self):
        """Yield all metric families."""
        yield from _counters(self._agent)
        yield core.CounterMetricFamily(
            f'{METRIC_PREFIX}_log_lines_left_out',
            'Log lines dropped instead of written.',
            value=self._count_left_out(),
        )
        yield _latencies(self._agent)
        gauges = itertools.chain(
            _load_gauges(self._agent),
            _state_gauges(self._agent),
            _evacuation_gauges(self._agent),
        )
        for name, help_text, value in gauges:
            yield core.GaugeMetricFamily(
                f'{METRIC_PREFIX}_{name}', help_text, value=value
            )
        yield _retry_budget(self._agent)
        yield _hosts(self._agent)
        yield _versions(self._agent)


def as_text(agent, count_left_out):
    """Return all metrics as bytes in the Prometheus text format."""
    collectors = registry.CollectorRegistry()
    collectors.register(AgentCollector(agent, count_left_out))
    return exposition.generate_latest(collectors)


def _counters(agent):
    counters_by_name = collections.defaultdict(list)
    for counter in agent.counters:
        counters_by_name[counter.name].append(counter)
    for name, counters in counters_by_name.items():
        family = core.CounterMetricFamily(
            f'{METRIC_PREFIX}_{name}',
            COUNTER_HELP[name],
            labels=tuple(counters[0].labels),
        )
        for counter in counters:
            label_values = tuple(
                str(label) for label in counter.labels.values()
            )
            family.add_metric(label_values, counter.total)
        yield family


def _latencies(agent):
    family = core.HistogramMetricFamily(
        f'{METRIC_PREFIX}_request_duration_seconds',
        'Time until callers received their responses.',
        labels=('service', 'kind'),
    )
    for row in agent.latencies:
        total_ms, buckets = _cumulative_buckets(row.recorded)
        family.add_metric(
            (row.service, str(row.kind)), buckets, total_ms / clock.MS_PER_S
        )
    return family


def _cumulative_buckets(recorded):
    """Return the sum in ms and the (bound in s, count) pairs of a histogram.

    Each count includes the counts of all smaller buckets.
    """
    counts = dict.fromkeys(LATENCY_BUCKETS_MS, 0)
    total = 0
    total_ms = 0
    for step in recorded.get_recorded_iterator():
        count = step.count_added_in_this_iter_step
        total += count
        total_ms += count * step.value_iterated_to
        for bucket_ms in LATENCY_BUCKETS_MS:
            if step.value_iterated_to <= bucket_ms:
                counts[bucket_ms] += count
    buckets = [
        (str(bound_ms / clock.MS_PER_S), counts[bound_ms])
        for bound_ms in LATENCY_BUCKETS_MS
    ]
    return total_ms, (*buckets, ('+Inf', total))


def _load_gauges(agent):
    backend = agent.backend
    yield 'requests_open', 'Requests open in this agent.', len(agent.requests)
    yield (
        'queue_length',
        'Requests queued for the backend server.',
        len(agent.queue),
    )
    yield (
        'queue_wait_seconds',
        'Expected wait of a new request in the queue.',
        forecast.expected_wait_ms(agent) / clock.MS_PER_S,
    )
    yield (
        'backend_running',
        'Requests running at the backend server.',
        0 if backend is None else backend.running,
    )
    yield (
        'backend_slots',
        'Requests that the backend server runs concurrently.',
        0 if backend is None else backend.slots,
    )
    yield (
        'backend_up',
        'Whether the backend server responds.',
        int(backend is not None and backend.failed_since is None),
    )
    yield (
        'backend_cold_seconds',
        'Time until the backend server is warm.',
        coldness.remaining_ms(agent, agent.now) / clock.MS_PER_S,
    )
    yield (
        'backend_slowness',
        'How long work takes on the machine, as its server reports; 1 is the '
        'usual speed.',
        serverload.slowness(agent),
    )


def _state_gauges(agent):
    now = agent.now
    yield (
        'ready',
        'Whether this agent accepts requests of callers.',
        int(agent.is_ready),
    )
    yield (
        'planner_role',
        'Whether this agent holds the planner role.',
        int(agent.role.is_held),
    )
    yield (
        'lease_remaining_seconds',
        'Time until the lease of this host expires.',
        max(0, agent.lease.expires - now) / clock.MS_PER_S,
    )
    yield (
        'keys_held',
        'Keys granted to the backend server.',
        sum(
            holding.size
            for holding in agent.holdings
            if holding.state == leaserows.HoldingState.HELD
        ),
    )
    yield (
        'configuration_age_seconds',
        'Time since the store last reported the configuration.',
        _age_s(now, agent.operator_view.updated_at),
    )
    yield (
        'members_age_seconds',
        'Time since the store last reported the hosts.',
        _age_s(now, agent.members_view.updated_at),
    )


def _evacuation_gauges(agent):
    left = progress.remaining(agent)
    yield (
        'evacuated_domains',
        'Failure domains that the operator has evacuated.',
        len(progress.effective_domains(agent)),
    )
    yield (
        'evacuation_pieces_left',
        'Key ranges that have yet to leave hosts of evacuated domains.',
        left.pieces,
    )
    yield (
        'evacuation_requests_left',
        'Requests that have yet to leave this host of an evacuated domain.',
        left.requests,
    )


def _age_s(now, updated_at):
    """Return the time since `updated_at` in seconds, -1 before any update."""
    return (now - updated_at) / clock.MS_PER_S if updated_at else -1


def _retry_budget(agent):
    family = core.GaugeMetricFamily(
        f'{METRIC_PREFIX}_retry_budget',
        "This agent's part of the retry budget.",
        labels=('service', 'state'),
    )
    for service, _window in agent.retry_windows.items():
        budget = retrybudget.current_budget(agent, service, agent.now)
        family.add_metric((service, 'spent'), budget.spent)
        family.add_metric((service, 'allowed'), budget.allowed)
    return family


def _hosts(agent):
    family = core.GaugeMetricFamily(
        f'{METRIC_PREFIX}_hosts',
        'Known hosts by state.',
        labels=('service', 'state'),
    )
    counts = collections.Counter(
        (host.record.service, host.record.state) for host in agent.hosts
    )
    for (service, state), count in counts.items():
        family.add_metric((service, str(state)), count)
    return family


def _versions(agent):
    family = core.GaugeMetricFamily(
        f'{METRIC_PREFIX}_version',
        'Versions of the configuration, the planner term and the plans here.',
        labels=('kind', 'name'),
    )
    family.add_metric(('configuration', ''), agent.configuration_version)
    family.add_metric(('planner_term', ''), agent.role.term)
    for row in agent.plans:
        family.add_metric(('plan', row.plan.service), row.plan.version)
    return family
