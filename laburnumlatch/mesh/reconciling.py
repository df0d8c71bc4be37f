"""Makes the holdings of the local backend server match the plan.

A piece of the plan becomes a holding once its former owner has released it. A
holding, or a part of it, that the plan assigns to another host is to be
released.
"""

from laburnumlatch.core import versions
from laburnumlatch.mesh import earliergrants
from laburnumlatch.mesh import grantends
from laburnumlatch.mesh import handovers
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges


def reconcile(agent, plan, backend, now):
    """Add, split and mark holdings so that they match the plan."""
    _release_former_life(agent, backend)
    _split_by_plan(agent, plan, backend)
    for piece in plan.pieces:
        if piece.host_id == agent.host_id:
            _follow_own(agent, piece, backend, now)
        elif piece.former == agent.host_id:
            handovers.hand_over_if_released(agent, piece, now)


def _follow_own(agent, piece, backend, now):
    """Follow a piece that the plan assigns to this host."""
    if piece.life != backend.life:
        earliergrants.release_former(agent, piece, now)
    elif _is_released(agent, piece):
        _add_missing(agent, piece)


def _is_assigned(agent, piece, backend):
    """Return whether the plan assigns a piece to the present backend server."""
    return piece.host_id == agent.host_id and piece.life == backend.life


def _is_released(agent, piece):
    return not piece.former or _handover_token(agent, piece) is not None


def _handover_token(agent, piece):
    """Return the token received for a piece, None without a handover."""
    return agent.received_handovers.get((piece.start, piece.end, piece.fence))


def _release_former_life(agent, backend):
    """Release what was granted to a former life of the backend server.

    The new life may have accepted the renewal of such a grant before it
    announced itself.
    """
    for holding in agent.holdings:
        if holding.life != backend.life:
            holding.unconfirmed_until = max(
                holding.unconfirmed_until, grantends.in_flight_end(holding)
            )
            holding.life = backend.life
            holding.is_stale = True
            holding.ticket = 0
            holding.retry_at = 0
            holding.state = leaserows.HoldingState.RELEASING


def _split_by_plan(agent, plan, backend):
    """Split holdings along the plan; release parts of other hosts' pieces."""
    for key, holding in agent.holdings.items():
        is_releasing = holding.state == leaserows.HoldingState.RELEASING
        if is_releasing or holding.ticket:
            # Wait for the response to a grant that is in flight.
            continue
        parts = [
            (piece, ranges.overlap(piece, holding))
            for piece in plan.pieces
            if ranges.overlap(piece, holding)
        ]
        kept_fences = {
            part: piece.fence
            for piece, part in parts
            if _is_assigned(agent, piece, backend) and _is_kept(piece, holding)
        }
        if kept_fences == {(holding.start, holding.end): holding.fence}:
            continue
        agent.holdings.pop(key)
        for _piece, part in parts:
            _add_part(agent, holding, part, kept_fences.get(part))


def _is_kept(piece, holding):
    """Return whether a holding is kept for a piece of the present server.

    Its fence changes if the plan was confirmed after the store was restored.
    The next grant tells it to the backend server, without a release.
    """
    if piece.fence == holding.fence:
        return True
    is_confirmed = versions.epoch_of(piece.fence) > versions.epoch_of(
        holding.fence
    )
    is_held = holding.state == leaserows.HoldingState.HELD
    return is_confirmed and is_held and not piece.former


def _add_part(agent, holding, part, kept_fence):
    """Add a part of a split holding, to be released if it is not kept.

    `kept_fence` is the fence that it is kept under, None if it is released.
    """
    part_holding = leaserows.Holding(
        service=holding.service,
        start=part[0],
        end=part[1],
        fence=holding.fence if kept_fence is None else kept_fence,
        life=holding.life,
        state=holding.state,
        hold_ms=holding.hold_ms,
        granted_until=holding.granted_until,
        unconfirmed_until=holding.unconfirmed_until,
    )
    if kept_fence is None:
        part_holding.state = leaserows.HoldingState.RELEASING
    agent.holdings.put((part[0], part_holding.fence), part_holding)


def _add_missing(agent, piece):
    """Add holdings for the parts of a piece that no holding covers."""
    for start, end in ranges.uncovered_parts(piece, agent.holdings):
        _add_holding(agent, piece, start, end)


def _add_holding(agent, piece, start, end):
    agent.holdings.put(
        (start, piece.fence),
        leaserows.Holding(
            service=agent.settings.service,
            start=start,
            end=end,
            fence=piece.fence,
            life=piece.life,
            handover=_handover_token(agent, piece) or '',
        ),
    )
