"""What the planner expects of hosts whose backend server is cold."""

import attrs

from laburnumlatch.core import clock
from laburnumlatch.mesh import balancing
from laburnumlatch.mesh import bucketloads

# A host that is cold for longer gives keys away. For a shorter time, moving
# them away and back costs callers more than the cold server refuses.
MAX_KEPT_MS = 10_000


def limit(agent, service, candidates, now):
    """Return the candidates of a service with the capacity that they have now.

    `candidates` are `balancing.Candidate`s. Those that are cold get at most
    the keys that the cold rate of the service bears, in the same proportion as
    others; those that have more keep them.
    """
    entry = agent.configuration.services.get(service)
    if entry is None or not entry.cold_per_s:
        return candidates
    cold_ms = {
        host.host_id: _cold_ms(agent, host.host_id, now) for host in candidates
    }
    if not any(cold_ms.values()):
        return candidates
    kept = _capacity_in_use(agent, service, candidates, now)
    cold_capacity = entry.cold_per_s / clock.MS_PER_S
    limited = []
    for host in candidates:
        capacity = host.capacity
        if cold_ms[host.host_id]:
            keeps_keys = cold_ms[host.host_id] <= MAX_KEPT_MS
            in_use = kept.get(host.host_id, 0) if keeps_keys else 0
            capacity = min(capacity, max(cold_capacity, in_use))
        limited.append(
            attrs.evolve(
                host, capacity=capacity, is_cold=bool(cold_ms[host.host_id])
            )
        )
    return limited


def _cold_ms(agent, host_id, now):
    return max(0, agent.lease_holders.get(host_id).cold_until - now)


def _capacity_in_use(agent, service, candidates, now):
    """Return the capacity by host for which its present load is the mean."""
    plan = agent.plan_of(service)
    loads = agent.bucket_loads.get(service)
    if plan is None or loads is None:
        return {}
    rates = bucketloads.rates(loads, now)
    # As in the search for moves, keys of lost hosts are left out of the mean.
    host_ids = {host.host_id for host in candidates}
    pieces = [piece for piece in plan.pieces if piece.host_id in host_ids]
    relative_loads = balancing.relative_load_by_host(pieces, rates, candidates)
    return {
        host.host_id: relative_loads[host.host_id] * host.capacity
        for host in candidates
    }
