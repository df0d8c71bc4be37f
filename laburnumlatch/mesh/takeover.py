"""In which order agents take the planner role of one that is lost."""

from laburnumlatch.mesh import members

MAX_STAGGERS = 12
# A planner that uses a whole core fills a link of this many Mbit/s.
MBPS_PER_CORE = 50


def rank(agent):
    """Return this host's place in the order in which agents read the row.

    It is at most `MAX_STAGGERS`. Hosts with more capacity for planning come
    first, and of equal ones those whose service is not divided by key.
    """
    hosts = sorted(
        members.live_hosts(agent),
        key=lambda host: (
            -_planning_capacity(host.record),
            agent.is_divided_host(host),
            host.host_id,
        ),
    )
    ids = [host.host_id for host in hosts[:MAX_STAGGERS]]
    if agent.host_id not in ids:
        return MAX_STAGGERS
    return ids.index(agent.host_id)


def _planning_capacity(record):
    """Return how much planning work a host can take, in cores.

    All hosts send their renewals to the planner, so a slow link limits it like
    a slow core.
    """
    return min(record.cores, record.link_mbps / MBPS_PER_CORE)
