"""System: keys that the local backend server holds, by grants and releases.

A piece of the plan is granted while this host's lease lasts and the former
owner has let go of it. A piece that the plan gives away is released, and the
backend server's token goes to the new owner.
"""

import types

from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import handovers
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges

# The backend server's clock may run 2 % slow, so it must be told less time
# than the lease has left.
HOLD_RATE = 0.96
SLOW_CLOCK_RATE = 0.03
MIN_HOLD_MS = 300
# A grant is renewed when this part of its time has passed.
RENEW_RATE = 0.3
RETRY_MS = 200
# The plan is looked at again after this time even if nothing has changed.
FOLLOW_MS = 100
# Work starts only if the grant lasts this long: it would end in an error.
MIN_LEFT_MS = 100

_GRANT_OUTCOMES = types.MappingProxyType({
    True: 'accepted',
    False: 'refused',
    None: 'unanswered',
})

_log = logs.logger('holdings')


def run(agent, now):
    """Grant, renew and release until the backend server holds its pieces."""
    has_news = _take_news(agent, now)
    backend = agent.backend
    row = agent.plans.get(agent.settings.service)
    if row is None or backend is None:
        return
    basis = (row.row_version, backend.life)
    is_due = agent.due('holdings/follow', FOLLOW_MS, now)
    if has_news or is_due or basis != agent.holdings_reconciled_with:
        agent.holdings_reconciled_with = basis
        _follow(agent, row.plan, backend, now)
        _work(agent, backend, now)


def holding_of(agent, key):
    """Return the holding that covers `key`, or None."""
    for holding in agent.holdings:
        if holding.covers(key):
            return holding
    return None


def may_start(agent, key, now):
    """Tell whether work on `key` may start at the backend server now."""
    holding = holding_of(agent, key)
    return (
        holding is not None
        and holding.state == leaserows.HoldingState.HELD
        and now + MIN_LEFT_MS < holding.granted_until
    )


def grants_end(agent, now):
    """Return when grants that the plan does not cover have ended for certain.

    Those are the grants of a former life of the backend server, and all of
    them while it does not answer.
    """
    ends = [now]
    backend = agent.backend
    is_up = backend is not None and backend.failed_since is None
    if not is_up:
        # Grants of an earlier process on this host may live on.
        ends.append(agent.started + leaserows.latest_end_ms())
    for holding in agent.holdings:
        if not is_up or holding.is_stale:
            ends.append(_certain_end(holding))
    return max(ends)


def _take_news(agent, now):
    """Take in answers and handovers; return whether there were any."""
    granted = agent.inbox.take(backendmsg.GrantAnswered)
    for answer in granted:
        _granted(agent, answer, now)
    taken = agent.inbox.take(backendmsg.TakenBack)
    for back in taken:
        _taken_back(agent, back, now)
    return bool(handovers.take_news(agent, now) or granted or taken)


def _follow(agent, plan, backend, now):
    """Bring the holdings in line with the plan."""
    _release_former_life(agent, backend)
    _shrink(agent, plan, backend)
    for piece in plan.pieces:
        if _is_own(agent, piece, backend) and _is_free(agent, piece):
            _extend(agent, piece)
        elif piece.former == agent.host_id:
            handovers.let_go(agent, piece, now)


def _certain_end(holding):
    return max(
        holding.granted_until + int(holding.hold_ms * SLOW_CLOCK_RATE),
        holding.ghost_until,
    )


def _by_ticket(agent, ticket):
    for holding in agent.holdings:
        if holding.ticket == ticket:
            return holding
    return None


def _is_own(agent, piece, backend):
    return piece.host_id == agent.host_id and piece.life == backend.life


def _is_free(agent, piece):
    return not piece.former or _received(agent, piece) is not None


def _received(agent, piece):
    return agent.received_handovers.get((piece.start, piece.end, piece.fence))


def _release_former_life(agent, backend):
    """Release what was granted to a former life of the backend server.

    The new life may have taken a renewal before it announced itself.
    """
    for holding in agent.holdings:
        if holding.life != backend.life:
            holding.life = backend.life
            holding.is_stale = True
            holding.ticket = 0
            holding.retry_at = 0
            holding.state = leaserows.HoldingState.RELEASING


def _shrink(agent, plan, backend):
    """Split holdings along the plan, and release what is not this host's."""
    for key, holding in agent.holdings.items():
        is_releasing = holding.state == leaserows.HoldingState.RELEASING
        if is_releasing or holding.ticket:
            # The answer to a grant that is under way must come first.
            continue
        parts = [
            (piece, ranges.overlap(piece, holding))
            for piece in plan.pieces
            if ranges.overlap(piece, holding)
        ]
        wanted = [
            part
            for piece, part in parts
            if _is_own(agent, piece, backend) and piece.fence == holding.fence
        ]
        if wanted == [(holding.start, holding.end)]:
            continue
        agent.holdings.pop(key)
        for _piece, part in parts:
            _put_part(agent, holding, part, part in wanted)


def _put_part(agent, holding, part, is_wanted):
    kept = leaserows.Holding(
        service=holding.service,
        start=part[0],
        end=part[1],
        fence=holding.fence,
        life=holding.life,
        state=holding.state,
        hold_ms=holding.hold_ms,
        granted_until=holding.granted_until,
        ghost_until=holding.ghost_until,
    )
    if not is_wanted:
        kept.state = leaserows.HoldingState.RELEASING
    agent.holdings.put((part[0], holding.fence), kept)


def _extend(agent, piece):
    """Add holdings for the parts of a piece that have none yet."""
    covered = sorted(
        part
        for holding in agent.holdings
        if (part := ranges.overlap(piece, holding))
    )
    start = piece.start
    for part in (*covered, (piece.end + 1, piece.end + 1)):
        if start < part[0]:
            _add(agent, piece, start, part[0] - 1)
        start = max(start, part[1] + 1)


def _add(agent, piece, start, end):
    agent.holdings.put(
        (start, piece.fence),
        leaserows.Holding(
            service=agent.settings.service,
            start=start,
            end=end,
            fence=piece.fence,
            life=piece.life,
            handover=_received(agent, piece) or '',
        ),
    )


def _work(agent, backend, now):
    """Send the grants and releases that are due."""
    for holding in agent.holdings:
        if holding.state == leaserows.HoldingState.RELEASING:
            _release(agent, holding, backend, now)
        elif _may_grant(agent, backend, now):
            _grant(agent, holding, backend, now)


def _may_grant(agent, backend, now):
    """Tell whether the lease covers the plan that this agent knows."""
    plan = agent.plan_of(agent.settings.service)
    return (
        backend.failed_since is None
        and now < agent.lease.expires
        and agent.lease.covers(plan)
    )


def _grant(agent, holding, backend, now):
    renew_at = holding.sent + int(holding.hold_ms * RENEW_RATE)
    due = max(holding.retry_at, renew_at)
    if holding.ticket:
        return
    if now < due:
        return
    left_ms = int((agent.lease.expires - now) * HOLD_RATE)
    hold_ms = min(left_ms, agent.settings.bounds.max_hold_ms)
    if hold_ms < MIN_HOLD_MS:
        return
    holding.ticket = agent.next_ticket()
    holding.sent = now
    holding.hold_ms = hold_ms
    agent.outbox.post(
        backendmsg.GiveGrant(
            ticket=holding.ticket,
            address=backend.address,
            start=holding.start,
            end=holding.end,
            fence=holding.fence,
            hold_ms=hold_ms,
            handover=holding.handover,
        )
    )


def _granted(agent, granted, now):
    holding = _by_ticket(agent, granted.ticket)
    if holding is None:
        return
    holding.ticket = 0
    counting.count(
        agent, 'grants', outcome=_GRANT_OUTCOMES[granted.is_accepted]
    )
    if granted.is_accepted:
        if holding.state == leaserows.HoldingState.GRANTING:
            _log.info(
                'granted',
                start=holding.start,
                end=holding.end,
                fence=holding.fence,
                handover=bool(holding.handover),
            )
            holding.state = leaserows.HoldingState.HELD
            counting.count(agent, 'keys_received', holding.size)
        holding.handover = ''
        holding.granted_until = holding.sent + holding.hold_ms
        return
    holding.retry_at = now + RETRY_MS
    if granted.is_accepted is None:
        holding.ghost_until = now + int(
            holding.hold_ms * leaserows.LATEST_END_RATE,
        )
    _log.warning(
        'grant-not-accepted',
        start=holding.start,
        end=holding.end,
        fence=holding.fence,
        answered=granted.is_accepted is not None,
    )


def _release(agent, holding, backend, now):
    if holding.ticket:
        return
    if now < holding.retry_at:
        return
    holding.ticket = agent.next_ticket()
    agent.outbox.post(
        backendmsg.TakeBack(
            ticket=holding.ticket,
            address=backend.address,
            start=holding.start,
            end=holding.end,
            fence=holding.fence,
        )
    )


def _taken_back(agent, taken, now):
    holding = _by_ticket(agent, taken.ticket)
    if holding is None:
        return
    holding.ticket = 0
    if taken.is_answered:
        holding.granted_until = 0
        holding.token = taken.handover or holding.token
    end = _certain_end(holding)
    if now < end:
        # A grant without an answer may still take effect.
        holding.retry_at = min(end, now + RETRY_MS)
        if taken.is_answered:
            holding.retry_at = end
        return
    agent.holdings.pop((holding.start, holding.fence))
    counting.count(agent, 'keys_released', holding.size)
    _log.info(
        'released',
        start=holding.start,
        end=holding.end,
        fence=holding.fence,
        handover=bool(holding.token),
    )
    plan = agent.plan_of(holding.service)
    for piece in plan.pieces:
        if (piece.start, piece.end) == (holding.start, holding.end):
            handovers.keep_token(agent, piece, holding.token, now)
