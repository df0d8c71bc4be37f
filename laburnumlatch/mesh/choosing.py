"""Policies for the host of a request whose service is not divided by key."""

import abc

from laburnumlatch.mesh import worktimes

# A host in another failure domain must be this much sooner to be chosen, and
# so much more for each KB of the body: bytes between domains are dear.
OTHER_DOMAIN_MS = 20
OTHER_DOMAIN_MS_PER_KB = 20
BYTES_PER_KB = 1000
# A host whose every answer is a failure is as good as one with this wait.
FAILED_MS = 1000
# A slow host gets little work and so is seldom heard; in this time half of
# what it is slower by is forgotten, so that it is tried again.
SLOW_HALF_LIFE_MS = 2000


class HostPolicy(abc.ABC):
    """Chooses one of the hosts that can serve a request."""

    @abc.abstractmethod
    def choose(self, agent, request, hosts):
        """Return one of `hosts`, a sequence of `rows.Host`."""


class SoonestEndPolicy(HostPolicy):
    """Chooses where the request is expected to end soonest.

    Answers hosts of different speed, slow and failing ones, those whose queue
    is full, and those whose link is. The own requests under way count at
    once, reports of other hosts until they are older than the wait that they
    tell of.
    """

    def choose(self, agent, request, hosts):
        """Return the host with the least cost, by chance among equals."""
        usual_ms = min(_known_work_ms(agent, request, host) for host in hosts)
        return min(
            hosts,
            key=lambda host: (
                _cost_ms(agent, request, host, usual_ms)
                + self.round_trip_ms(agent, request, host),
                agent.rng.random(),
            ),
        )

    def round_trip_ms(self, agent, request, host):
        """Return what a request spends on its way to a host, if known.

        The link of a host to which many send large bodies may be slower than
        its queue, and its agent cannot tell of what has not arrived.
        """
        known = host.round_trips.get(request.route)
        if known is None or host.host_id == agent.host_id:
            return 0
        halvings = (agent.now - known.updated_at) / SLOW_HALF_LIFE_MS
        return known.mean_ms * 0.5**halvings


class RandomPolicy(HostPolicy):
    """Chooses by chance: the baseline for `SoonestEndPolicy`."""

    def choose(self, agent, request, hosts):
        """Return any host."""
        return agent.rng.choice(hosts)


def _cost_ms(agent, request, host, usual_ms):
    cost_ms = (
        _wait_ms(agent, host)
        + _work_ms(agent, request, host, usual_ms)
        + host.failure_ratio * FAILED_MS
    )
    if host.record.domain == agent.settings.domain:
        return cost_ms
    body_kb = len(request.body) / BYTES_PER_KB
    return cost_ms + OTHER_DOMAIN_MS + body_kb * OTHER_DOMAIN_MS_PER_KB


def _wait_ms(agent, host):
    """Return how long a request would wait at a host, as far as known here."""
    if host.host_id == agent.host_id:
        return worktimes.expected_wait_ms(agent)
    reported = max(0, host.wait_ms - (agent.now - host.reported_at))
    slots = max(1, host.record.slots)
    beyond = max(0, host.in_flight + 1 - slots)
    return max(reported, beyond * worktimes.DEFAULT_WORK_MS / slots)


def _work_ms(agent, request, host, usual_ms):
    """Return what the request takes at a host; `usual_ms` if unknown."""
    known_ms = _known_work_ms(agent, request, host)
    if host.host_id == agent.host_id:
        return known_ms
    halvings = (agent.now - host.reported_at) / SLOW_HALF_LIFE_MS
    return usual_ms + (known_ms - usual_ms) * 0.5**halvings


def _known_work_ms(agent, request, host):
    if host.host_id == agent.host_id:
        return worktimes.work_ms(agent, request.route)
    return host.work_ms.get(request.route, worktimes.DEFAULT_WORK_MS)
