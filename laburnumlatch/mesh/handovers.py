"""Handovers of pieces from their former owners to their new ones.

The former owner announces that it has released a piece and passes on the
backend server's handover token. It resends this message until the plan names it
no more: the new owner has then reported that it holds the piece. An
acknowledgement only slows that down, as the agent that sent it may restart and
forget what it got.
"""

from laburnumlatch.mesh import earliergrants
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges

HANDOVER_RESEND_MS = 150
# How often a message is sent again that was acknowledged.
ACKNOWLEDGED_RESEND_MS = 1000
TOKEN_KEPT_MS = 30_000
MAX_RECEIVED_TOKENS = 200


def hand_over_if_released(agent, piece, now):
    """Hand a piece to its new owner once no holding here overlaps it."""
    if any(ranges.overlap(piece, holding) for holding in agent.holdings):
        return
    key = (piece.start, piece.end, piece.fence)
    handover = agent.handovers.get(key)
    if handover is None:
        if now < earliergrants.last_until(agent):
            # The fences of the former owner were below that of the piece.
            earliergrants.assume(agent, piece.start, piece.end, piece.fence - 1)
            return
        handover = keep_token(agent, piece, '', now)
    interval_ms = HANDOVER_RESEND_MS
    if handover.is_acknowledged:
        interval_ms = ACKNOWLEDGED_RESEND_MS
    if not agent.due(('handover', key), interval_ms, now):
        return
    host = agent.hosts.get(piece.host_id)
    if host is None:
        return
    agent.outbox.post(
        leasemsg.SendDatagram(
            host.record.address,
            leasemsg.HandedOver(
                agent.settings.service,
                piece.start,
                piece.end,
                piece.fence,
                handover.token,
                agent.settings.peer_address,
            ),
        )
    )


def keep_token(agent, piece, token, now):
    """Keep the token of a released piece for `TOKEN_KEPT_MS`; return its row.

    `hand_over_if_released` sends it until the new owner acknowledges it.
    """
    return agent.handovers.put(
        (piece.start, piece.end, piece.fence),
        leaserows.Handover(token, now + TOKEN_KEPT_MS),
    )


def reported_fences(agent):
    """Return the fences of pieces that were handed over to this host.

    These are the ones that it holds while the plan still names their former
    owners: the planner need not be told of any others. The oldest come first.
    """
    plan = agent.plan_of(agent.settings.service)
    if plan is None:
        return ()
    return sorted(
        holding.fence
        for holding in agent.holdings
        if holding.state == leaserows.HoldingState.HELD
        and plan.piece_of(holding.start).former
    )


def process_messages(agent, now):
    """Process messages of former and new owners; return the `HandedOver` ones.

    A handover is acknowledged each time it arrives, as an acknowledgement may
    get lost. Tokens that are too old or too many are dropped.
    """
    handed_over = agent.inbox.take(leasemsg.HandedOver)
    for message in handed_over:
        if message.service == agent.settings.service:
            key = (message.start, message.end, message.fence)
            agent.received_handovers.put(key, message.handover)
            acknowledgement = leasemsg.HandoverReceived(
                message.start, message.end, message.fence
            )
            agent.outbox.post(
                leasemsg.SendDatagram(message.sender, acknowledgement)
            )
    for message in agent.inbox.take(leasemsg.HandoverReceived):
        handover = agent.handovers.get((
            message.start,
            message.end,
            message.fence,
        ))
        if handover is not None:
            handover.is_acknowledged = True
    for key, handover in agent.handovers.items():
        if handover.expires <= now:
            agent.handovers.pop(key)
            agent.timers.pop(('handover', key))
    while len(agent.received_handovers) > MAX_RECEIVED_TOKENS:
        agent.received_handovers.pop(agent.received_handovers.keys()[0])
    return handed_over
