"""Counters, gauges and latencies of an agent as Prometheus text.

Everything is read from the tables of the agent when it is asked for.
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
from laburnumlatch.mesh import worktimes

PREFIX = 'laburnumlatch'
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
BUCKETS_MS = (
    *(5, 10, 25, 50, 100, 200, 300, 400, 600, 800),
    *(1000, 1500, 2000, 3000, 5000),
)
COUNTERS = types.MappingProxyType({
    'requests_received': 'Requests of callers on this host.',
    'requests_ended': 'Requests by how they ended; the reason of an answer '
    'is its status.',
    'requests_refused_unplaced': 'Requests refused before a service was known.',
    'requests_forwarded': 'Requests passed to agents of other hosts.',
    'requests_repeated': 'Safe requests sent once more.',
    'exchanges_failed': 'Exchanges that ended without an answer.',
    'calls_ended': 'Calls of requests that run here, by the route of the '
    'request; late ones were answered after its target and their own.',
    'balance_rounds': 'Searches for keys to move, by the planner.',
    'store_calls': 'Answers of the store by the part that asked.',
    'grants': 'Grants at the backend server by outcome.',
    'keys_received': 'Keys granted to this host for the first time.',
    'keys_released': 'Keys given back at the backend server.',
    'announcements': 'Announcements of the backend server by outcome.',
})


class AgentCollector(registry.Collector):
    """Reads the tables of one agent."""

    def __init__(self, agent, count_left_out):
        """Take the agent's state; `count_left_out` counts log lines."""
        self._agent = agent
        self._count_left_out = count_left_out

    def collect(self):
        """Yield all families."""
        yield from _counters(self._agent)
        yield core.CounterMetricFamily(
            f'{PREFIX}_log_lines_left_out',
            'Log lines that were not written.',
            value=self._count_left_out(),
        )
        yield _latencies(self._agent)
        gauges = itertools.chain(
            _load_gauges(self._agent), _belief_gauges(self._agent)
        )
        for name, help_text, value in gauges:
            yield core.GaugeMetricFamily(
                f'{PREFIX}_{name}', help_text, value=value
            )
        yield _retry_budget(self._agent)
        yield _hosts(self._agent)
        yield _versions(self._agent)


def as_text(agent, count_left_out):
    """Return all metrics as bytes in the text format."""
    collected = registry.CollectorRegistry()
    collected.register(AgentCollector(agent, count_left_out))
    return exposition.generate_latest(collected)


def _counters(agent):
    by_name = collections.defaultdict(list)
    for counter in agent.counters:
        by_name[counter.name].append(counter)
    for name, counters in by_name.items():
        family = core.CounterMetricFamily(
            f'{PREFIX}_{name}', COUNTERS[name], labels=tuple(counters[0].labels)
        )
        for counter in counters:
            labels = tuple(str(label) for label in counter.labels.values())
            family.add_metric(labels, counter.total)
        yield family


def _latencies(agent):
    family = core.HistogramMetricFamily(
        f'{PREFIX}_request_duration_seconds',
        'Time until callers had their answers.',
        labels=('service', 'kind'),
    )
    for row in agent.latencies:
        total_ms, buckets = _cumulative(row.recorded)
        family.add_metric(
            (row.service, str(row.kind)), buckets, total_ms / clock.MS_PER_S
        )
    return family


def _cumulative(recorded):
    """Return the sum in ms and the (bound, count) pairs of a histogram."""
    counts = dict.fromkeys(BUCKETS_MS, 0)
    total = 0
    total_ms = 0
    for step in recorded.get_recorded_iterator():
        added = step.count_added_in_this_iter_step
        total += added
        total_ms += added * step.value_iterated_to
        for limit_ms in BUCKETS_MS:
            if step.value_iterated_to <= limit_ms:
                counts[limit_ms] += added
    buckets = [
        (str(bound_ms / clock.MS_PER_S), counts[bound_ms])
        for bound_ms in BUCKETS_MS
    ]
    return total_ms, (*buckets, ('+Inf', total))


def _load_gauges(agent):
    backend = agent.backend
    yield 'requests_open', 'Requests in this agent.', len(agent.requests)
    yield 'queue_length', 'Requests that wait here.', len(agent.queue)
    yield (
        'queue_wait_seconds',
        'How long a new request would wait here.',
        worktimes.expected_wait_ms(agent) / clock.MS_PER_S,
    )
    yield (
        'backend_running',
        'Requests at the backend server.',
        0 if backend is None else backend.running,
    )
    yield (
        'backend_slots',
        'Requests that the backend server takes at a time.',
        0 if backend is None else backend.slots,
    )
    yield (
        'backend_up',
        'Whether the backend server answers.',
        int(backend is not None and backend.failed_since is None),
    )


def _belief_gauges(agent):
    now = agent.now
    yield 'ready', 'Whether callers may send.', int(agent.is_ready)
    yield (
        'planner_role',
        'Whether this agent plans ownership.',
        int(agent.role.is_held),
    )
    yield (
        'lease_remaining_seconds',
        'How long the lease of this host lasts.',
        max(0, agent.lease.expires - now) / clock.MS_PER_S,
    )
    yield (
        'keys_held',
        'Keys granted at the backend server.',
        sum(
            holding.size
            for holding in agent.holdings
            if holding.state == leaserows.HoldingState.HELD
        ),
    )
    yield (
        'configuration_age_seconds',
        'Time since the store last told of the configuration.',
        _age_s(now, agent.configuration_updated_at),
    )
    yield (
        'members_age_seconds',
        'Time since the store last told of the hosts.',
        _age_s(now, agent.members_updated_at),
    )


def _age_s(now, heard):
    """Return the time since `heard` in seconds, -1 if there was nothing."""
    return (now - heard) / clock.MS_PER_S if heard else -1


def _retry_budget(agent):
    family = core.GaugeMetricFamily(
        f'{PREFIX}_retry_budget',
        "This agent's part of the budget of repeats.",
        labels=('service', 'state'),
    )
    for service, _window in agent.retry_windows.items():
        budget = retrybudget.state(agent, service, agent.now)
        family.add_metric((service, 'spent'), budget.spent)
        family.add_metric((service, 'allowed'), budget.allowed)
    return family


def _hosts(agent):
    family = core.GaugeMetricFamily(
        f'{PREFIX}_hosts', 'Known hosts by state.', labels=('service', 'state')
    )
    counts = collections.Counter(
        (host.record.service, host.record.state) for host in agent.hosts
    )
    for (service, state), count in counts.items():
        family.add_metric((service, str(state)), count)
    return family


def _versions(agent):
    family = core.GaugeMetricFamily(
        f'{PREFIX}_version',
        'Versions of what this agent follows.',
        labels=('kind', 'name'),
    )
    family.add_metric(('configuration', ''), agent.configuration_version)
    family.add_metric(('planner_term', ''), agent.role.term)
    for row in agent.plans:
        family.add_metric(('plan', row.plan.service), row.plan.version)
    return family
