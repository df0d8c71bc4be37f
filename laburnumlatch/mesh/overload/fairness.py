"""Fair division of a server among routes, and among domains of callers.

The measure is work started in the last seconds. Requests of a route or domain
that has had more than its share go behind others of their rank. So a burst
takes what the others leave, and no more.
"""

import collections

import attrs

# Work counts half after this time.
HALF_LIFE_MS = 2000
# Shares vary by chance; a share counts as exceeded beyond this ratio.
TOLERANCE = 1.25
# A route or domain competes with the others if it has had at least this part
# of the work.
MIN_ACTIVE_RATIO = 0.02
# Less work than this is forgotten.
MIN_WORK_MS = 1
# How often the hosts of each domain are counted.
COUNT_INTERVAL_MS = 1000
# How often old work is dropped.
DROP_INTERVAL_MS = 1000


@attrs.define
class _Usage:
    """Work of one route or domain, as it counted at the time `at`, in ms."""

    work_ms: float = 0
    at: int = 0

    def work_at(self, now):
        """Return the work as it counts now, in ms."""
        return self.work_ms * 0.5 ** ((now - self.at) / HALF_LIFE_MS)


def _new_usages():
    return collections.defaultdict(lambda: collections.defaultdict(_Usage))


@attrs.define
class Usages:
    """Work started in the last seconds.

    `by_route` and `by_domain` have a `_Usage` by rank and name. `host_counts`
    has the number of hosts of each domain, by which its share is weighted, as
    it was at `counted_at`. Old work was dropped last at `dropped_at`.
    """

    by_route: dict = attrs.Factory(_new_usages)
    by_domain: dict = attrs.Factory(_new_usages)
    host_counts: collections.Counter = attrs.Factory(collections.Counter)
    counted_at: int = 0
    dropped_at: int = 0


def record_start(agent, request, work_ms):
    """Count the expected work of a request that starts, unless it is nested."""
    if request.is_nested:
        return
    usages = agent.usages
    if agent.now >= usages.dropped_at + DROP_INTERVAL_MS:
        usages.dropped_at = agent.now
        _drop_old(usages.by_route, agent.now)
        _drop_old(usages.by_domain, agent.now)
    for table, name in (
        (usages.by_route, request.route),
        (usages.by_domain, _domain_of(agent, request)),
    ):
        usage = table[request.rank][name]
        usage.work_ms = usage.work_at(agent.now) + work_ms
        usage.at = agent.now


def exceeded_shares(agent, request):
    """Return how many of its route and its domain have exceeded their share.

    A nested call exceeds none: refusing it wastes the work on its request.
    """
    if request.is_nested:
        return 0
    usages = agent.usages
    if agent.now >= usages.counted_at + COUNT_INTERVAL_MS:
        usages.counted_at = agent.now
        usages.host_counts = collections.Counter(
            host.record.domain for host in agent.hosts
        )
    by_route = usages.by_route[request.rank]
    by_domain = usages.by_domain[request.rank]
    domain = _domain_of(agent, request)
    return _is_exceeded(
        by_route, request.route, collections.Counter(), agent.now
    ) + _is_exceeded(by_domain, domain, usages.host_counts, agent.now)


def has_domain_exceeded(agent, rank, request):
    """Return whether the domain of a sender has had more than its share."""
    usages = agent.usages
    return _is_exceeded(
        usages.by_domain[rank],
        _domain_of(agent, request),
        usages.host_counts,
        agent.now,
    )


def _is_exceeded(by_name, own_name, weights, now):
    works_ms = {name: usage.work_at(now) for name, usage in by_name.items()}
    total_ms = sum(works_ms.values())
    total_weight = sum(
        weights[name] or 1
        for name, work_ms in works_ms.items()
        if name == own_name or work_ms > MIN_ACTIVE_RATIO * total_ms
    )
    own_ms = works_ms.get(own_name, 0)
    own_weight = weights[own_name] or 1
    return own_ms * total_weight > TOLERANCE * total_ms * own_weight


def _drop_old(by_rank, now):
    """Drop what has not started for long; routes come and go."""
    for rank, by_name in tuple(by_rank.items()):
        for name, usage in tuple(by_name.items()):
            if usage.work_at(now) < MIN_WORK_MS:
                by_name.pop(name)
        if not by_name:
            by_rank.pop(rank)


def _domain_of(agent, request):
    """Return the domain of the host that received the request."""
    if request.sender:
        host = agent.hosts.get(request.sender)
        return '' if host is None else host.record.domain
    return agent.settings.domain
