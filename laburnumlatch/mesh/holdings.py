"""System: holdings of the local backend server, by grants and releases.

A holding is a range of keys granted to the local backend server. A piece of
the plan is granted once the former owner has released it, and only while this
host's lease lasts. A piece that the plan assigns to another host is released,
and the backend server's handover token goes to the new owner.
"""

import types

from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import grantends
from laburnumlatch.mesh import handovers
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import reconciling

# The backend server's clock may run 2 % slow, so a grant must be shorter than
# what is left of the lease.
HOLD_RATIO = 0.96
MIN_HOLD_MS = 300
# A grant is renewed when this part of its duration has passed.
RENEW_RATIO = 0.3
RETRY_DELAY_MS = 200
# Holdings are reconciled with the plan at least this often.
RECONCILE_MS = 100
# Work starts only if the grant lasts this much longer; otherwise the work would
# end in an error.
MIN_REMAINING_MS = 100

_GRANT_OUTCOMES = types.MappingProxyType({
    True: 'accepted',
    False: 'refused',
    None: 'unanswered',
})

_log = logs.logger('holdings')


def run(agent, now):
    """Grant, renew and release until the holdings match the plan."""
    has_messages = _process_messages(agent, now)
    backend = agent.backend
    row = agent.plans.get(agent.settings.service)
    if row is None or backend is None:
        return
    reconcile_with = (row.row_version, backend.life)
    is_due = agent.due('holdings/follow', RECONCILE_MS, now)
    if (
        has_messages
        or is_due
        or reconcile_with != agent.holdings_reconciled_with
    ):
        agent.holdings_reconciled_with = reconcile_with
        reconciling.reconcile(agent, row.plan, backend, now)
        _send_due_calls(agent, backend, now)


def holding_of(agent, key):
    """Return the holding that covers `key`, or None."""
    for holding in agent.holdings:
        if holding.covers(key):
            return holding
    return None


def may_start(agent, key, now):
    """Return whether work on `key` may start at the backend server now."""
    holding = holding_of(agent, key)
    return (
        holding is not None
        and holding.state == leaserows.HoldingState.HELD
        and now + MIN_REMAINING_MS < holding.granted_until
    )


def _process_messages(agent, now):
    """Process responses and handovers; return whether there were any."""
    grant_responses = agent.inbox.take(backendmsg.GrantAnswered)
    for grant_response in grant_responses:
        _process_grant_response(agent, grant_response, now)
    release_responses = agent.inbox.take(backendmsg.TakenBack)
    for release_response in release_responses:
        _process_release_response(agent, release_response, now)
    return bool(
        handovers.process_messages(agent, now)
        or grant_responses
        or release_responses
    )


def _holding_by_ticket(agent, ticket):
    for holding in agent.holdings:
        if holding.ticket == ticket:
            return holding
    return None


def _send_due_calls(agent, backend, now):
    """Send the grants and releases that are due."""
    for holding in agent.holdings:
        if holding.state == leaserows.HoldingState.RELEASING:
            _send_release(agent, holding, backend, now)
        elif _may_grant(agent, holding, backend, now):
            _send_grant(agent, holding, backend, now)


def _may_grant(agent, holding, backend, now):
    """Return whether the backend server is up and the lease allows a grant."""
    if agent.lease.is_provisional and not _is_granted(holding, now):
        return False
    if holding.doubted_at and backend.last_announced <= holding.doubted_at:
        # Another run of the server may have started: it would accept a grant
        # that was given to the one before.
        return False
    plan = agent.plan_of(agent.settings.service)
    return (
        backend.failed_since is None
        and backend.life == agent.lease.life
        and now < agent.lease.expires
        and agent.lease.covers(plan)
    )


def _is_granted(holding, now):
    is_held = holding.state == leaserows.HoldingState.HELD
    return is_held and now < holding.granted_until


def _send_grant(agent, holding, backend, now):
    renew_at = holding.sent_at + int(holding.hold_ms * RENEW_RATIO)
    due = max(holding.retry_at, renew_at)
    if holding.ticket:
        return
    if now < due:
        return
    left_ms = int((agent.lease.expires - now) * HOLD_RATIO)
    hold_ms = min(left_ms, agent.settings.bounds.max_hold_ms)
    if hold_ms < MIN_HOLD_MS:
        return
    holding.ticket = agent.next_ticket()
    holding.sent_at = now
    holding.hold_ms = hold_ms
    is_renewal = holding.state == leaserows.HoldingState.HELD
    agent.outbox.post(
        backendmsg.GiveGrant(
            ticket=holding.ticket,
            address=backend.address,
            start=holding.start,
            end=holding.end,
            fence=holding.fence,
            hold_ms=hold_ms,
            handover=holding.handover,
            is_renewal=is_renewal,
            may_connect=not is_renewal or bool(holding.doubted_at),
        )
    )


def _process_grant_response(agent, response, now):
    holding = _holding_by_ticket(agent, response.ticket)
    if holding is None:
        return
    holding.ticket = 0
    outcome = _GRANT_OUTCOMES[response.is_accepted]
    counting.count(
        agent, 'grants', outcome='unsent' if response.is_unsent else outcome
    )
    if response.is_accepted:
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
        holding.doubted_at = 0
        holding.granted_until = holding.sent_at + holding.hold_ms
        return
    holding.retry_at = now + RETRY_DELAY_MS
    if response.is_unsent and holding.state == leaserows.HoldingState.HELD:
        holding.doubted_at = now
    elif response.is_accepted is None and not response.is_unsent:
        holding.unconfirmed_until = max(
            holding.unconfirmed_until, grantends.unconfirmed_end(holding, now)
        )
    _log.warning(
        'grant-not-accepted',
        start=holding.start,
        end=holding.end,
        fence=holding.fence,
        answered=response.is_accepted is not None,
        sent=not response.is_unsent,
    )


def _send_release(agent, holding, backend, now):
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


def _process_release_response(agent, response, now):
    """Remove a released holding once no grant of it can be live."""
    holding = _holding_by_ticket(agent, response.ticket)
    if holding is None:
        return
    holding.ticket = 0
    if response.is_answered:
        holding.granted_until = 0
        holding.token = response.handover or holding.token
    end = grantends.latest_end(holding)
    if now < end:
        # A grant that got no response may still take effect.
        holding.retry_at = min(end, now + RETRY_DELAY_MS)
        if response.is_answered:
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
