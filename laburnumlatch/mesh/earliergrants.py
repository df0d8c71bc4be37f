"""Grants that an earlier process on this host may have made.

This process does not know them. Such a grant ends with a lease that the earlier
process got before this one started, and it may be at a later run of the server
than it was meant for. Until all of them have ended, the keys that they may be
for are released, and count as granted until that is done.
"""

from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges


def last_until(agent):
    """Return the latest end of such grants, in ms."""
    return agent.started + leaserows.latest_end_ms()


def are_known(agent):
    """Return whether there is a holding for each range that they may be for.

    That is so once the newest plan is reconciled with the present run of the
    backend server.
    """
    row = agent.plans.get(agent.settings.service)
    if row is None or agent.backend is None:
        return False
    reconciled_with = (row.row_version, agent.backend.life)
    return agent.holdings_reconciled_with == reconciled_with


def release_former(agent, piece, now):
    """Release a piece that the plan assigns to an earlier run of the server.

    That is done once for each fencing token.
    """
    if now >= last_until(agent) or piece.fence in agent.released_fences:
        return
    agent.released_fences.add(piece.fence)
    for start, end in ranges.uncovered_parts(piece, agent.holdings):
        assume(agent, start, end, piece.fence)


def assume(agent, start, end, fence):
    """Add a holding to release; whether there was a grant is not known.

    `fence` is the highest fencing token that the grant may have had.
    """
    agent.holdings.put(
        (start, fence),
        leaserows.Holding(
            service=agent.settings.service,
            start=start,
            end=end,
            fence=fence,
            life=agent.backend.life,
            state=leaserows.HoldingState.RELEASING,
            granted_until=last_until(agent),
            is_stale=True,
        ),
    )
