"""A small share of the server for requests that are never the most urgent."""

from laburnumlatch.mesh import worktimes


def next_to_start(agent, startable):
    """Remove and return the request that starts next.

    `startable` is a list of the requests that may start now, in starting order.
    While less urgent requests wait, each start adds the share
    `settings.start_floor` of its work to a credit. Once the credit covers the
    work of the first request of the rank that has waited longest, that one
    starts. Shares are of work and not of starts, as one long read takes the
    time of many short calls.
    """
    first = startable[0]
    if startable[-1].rank == first.rank:
        agent.floor_credit_ms = 0
        return startable.pop(0)
    index = _index_of_longest_waiting(startable)
    work_ms = worktimes.expected_work_ms(agent, startable[index])
    if agent.floor_credit_ms >= work_ms:
        agent.floor_credit_ms = 0
        return startable.pop(index)
    agent.floor_credit_ms += (
        agent.settings.start_floor * worktimes.expected_work_ms(agent, first)
    )
    return startable.pop(0)


def _index_of_longest_waiting(startable):
    """Return the index of the first request of the longest waiting rank."""
    ranks = [request.rank for request in startable]
    oldest = min(startable[ranks.count(ranks[0]) :], key=_arrival)
    return ranks.index(oldest.rank)


def _arrival(request):
    return request.arrived_at
