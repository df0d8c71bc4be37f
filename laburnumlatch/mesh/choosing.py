"""Policies that choose a host for services that are not divided by key."""

import abc

from laburnumlatch.mesh import worktimes
from laburnumlatch.mesh.overload import forecast
from laburnumlatch.mesh.overload import hostwaits

# Traffic between failure domains is expensive: a host in another domain is
# chosen only if a request ends sooner there by this time, plus a time for
# each KB of the body.
OTHER_DOMAIN_PENALTY_MS = 20
OTHER_DOMAIN_PENALTY_MS_PER_KB = 20
BYTES_PER_KB = 1000
# A host that fails every request ranks like a host with this wait.
FAILURE_PENALTY_MS = 1000
# A slow host gets few requests, so measurements of it are rare. In this time
# the estimate of how much slower it is falls by half, so that it is tried
# again.
ESTIMATE_HALF_LIFE_MS = 2000


class HostPolicy(abc.ABC):
    """Chooses one of the hosts that can serve a request."""

    @abc.abstractmethod
    def choose(self, agent, request, hosts):
        """Return one of `hosts`, a sequence of `rows.Host`."""


class SoonestEndPolicy(HostPolicy):
    """Chooses the host at which the request is expected to end soonest.

    This handles hosts of different speed, slow hosts, failing hosts, and hosts
    with a full queue or a full link. This agent's own requests in flight count
    at once. The wait that another host reported shrinks with the age of the
    report, until none of it is left.
    """

    def choose(self, agent, request, hosts):
        """Return the host with the lowest cost; ties are broken at random."""
        best_work_ms = min(
            _last_work_ms(agent, request, host) for host in hosts
        )
        return min(
            hosts,
            key=lambda host: (
                _cost_ms(agent, request, host, best_work_ms)
                + self.round_trip_ms(agent, request, host),
                agent.rng.random(),
            ),
        )

    def round_trip_ms(self, agent, request, host):
        """Return the expected network time to a host and back, 0 if unknown.

        When many agents send large bodies to a host, its link may be slower
        than its queue, and its agent cannot report requests that have not
        arrived yet.
        """
        round_trip = host.round_trips.get(request.route)
        if round_trip is None or host.host_id == agent.host_id:
            return 0
        half_lives = (agent.now - round_trip.updated_at) / ESTIMATE_HALF_LIFE_MS
        return round_trip.mean_ms * 0.5**half_lives


class RandomPolicy(HostPolicy):
    """Chooses at random: the baseline for `SoonestEndPolicy`."""

    def choose(self, agent, request, hosts):
        """Return a random host."""
        return agent.rng.choice(hosts)


def _cost_ms(agent, request, host, best_work_ms):
    """Return wait, work and penalties of a request at a host, in ms."""
    cost_ms = (
        expected_wait_ms(agent, request, host)
        + _expected_work_ms(agent, request, host, best_work_ms)
        + host.failure_ratio * FAILURE_PENALTY_MS
    )
    if host.record.domain == agent.settings.domain:
        return cost_ms
    body_kb = len(request.body) / BYTES_PER_KB
    return (
        cost_ms
        + OTHER_DOMAIN_PENALTY_MS
        + body_kb * OTHER_DOMAIN_PENALTY_MS_PER_KB
    )


def expected_wait_ms(agent, request, host):
    """Return how long a request would wait at a host.

    For another host this is the larger of two estimates: the wait that it
    last reported, less the age of the report, and the time for the requests of
    this agent, with the new one, that exceed the slots of that host.
    """
    if host.host_id == agent.host_id:
        order = agent.wait_policy.rank(request)
        return forecast.expected_wait_ms(agent, order)
    reported_ms = hostwaits.expected_wait_ms(host, request.rank, agent.now)
    slots = max(1, host.record.slots)
    excess_requests = max(0, host.in_flight + 1 - slots)
    return max(reported_ms, excess_requests * worktimes.DEFAULT_WORK_MS / slots)


def _expected_work_ms(agent, request, host, best_work_ms):
    """Return the expected work time of a request at a host.

    `best_work_ms` is the shortest work time among the hosts. The estimate for
    another host approaches it as the report of that host ages.
    """
    last_work_ms = _last_work_ms(agent, request, host)
    if host.host_id == agent.host_id:
        return last_work_ms
    half_lives = (agent.now - host.reported_at) / ESTIMATE_HALF_LIFE_MS
    return best_work_ms + (last_work_ms - best_work_ms) * 0.5**half_lives


def _last_work_ms(agent, request, host):
    """Return the work time here now, or the last one that a host reported."""
    if host.host_id == agent.host_id:
        return worktimes.current_work_ms(agent, request)
    work_ms = host.work_ms.get(request.route)
    if work_ms is None:
        return worktimes.work_ms_elsewhere(agent, request)
    return work_ms
