"""When the grants at the local backend server have certainly ended."""

from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import earliergrants
from laburnumlatch.mesh import leaserows

# The backend server's clock may run 2 % slow.
SLOW_CLOCK_RATIO = 0.03


def grants_end(agent, now):
    """Return the latest end, in ms, of grants that the plan does not cover.

    Those are the grants of a former life of the backend server, all grants
    while it does not respond, and those that an earlier process on this host
    may have made.
    """
    ends = [now]
    backend = agent.backend
    is_up = backend is not None and backend.failed_since is None
    if not is_up or not earliergrants.are_known(agent):
        ends.append(earliergrants.last_until(agent))
    for holding in agent.holdings:
        if not is_up or _is_of_former_life(holding, backend):
            ends.append(latest_end(holding))
    return max(ends)


def _is_of_former_life(holding, backend):
    """Return whether a holding was granted to an earlier run of the server.

    A renewal may be sent in the tick in which the run is announced, before
    `reconciling` marks the holdings as stale.
    """
    return holding.is_stale or holding.life != backend.life


def latest_end(holding):
    """Return the latest end of all grants of a holding, in ms."""
    return max(
        holding.granted_until + int(holding.hold_ms * SLOW_CLOCK_RATIO),
        holding.unconfirmed_until,
        in_flight_end(holding),
    )


def in_flight_end(holding):
    """Return the latest end of the grant that is in flight, 0 if none is."""
    is_releasing = holding.state == leaserows.HoldingState.RELEASING
    if is_releasing or not holding.ticket:
        return 0
    return unconfirmed_end(
        holding, holding.sent_at + backendmsg.GRANT_TIMEOUT_MS
    )


def unconfirmed_end(holding, arrives_by):
    """Return the latest end of a grant that may arrive until `arrives_by`."""
    return arrives_by + int(holding.hold_ms * leaserows.LATEST_END_RATIO)
