"""Pieces on their way from one owner to the next.

The former owner repeats that it has released a piece, with the backend
server's token, until the new one knows.
"""

from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges

HANDOVER_REPEAT_MS = 150
HANDOVER_KEPT_MS = 30_000
MAX_RECEIVED = 200


def let_go(agent, piece, now):
    """Hand a piece to its new owner once nothing of it is held here."""
    if any(ranges.overlap(piece, holding) for holding in agent.holdings):
        return
    key = (piece.start, piece.end, piece.fence)
    handover = agent.handovers.get(key)
    if handover is None:
        unsure_until = agent.started + leaserows.latest_end_ms()
        if now < unsure_until:
            # An earlier process on this host may have granted the keys.
            _release_unknown(agent, piece, unsure_until)
            return
        handover = keep_token(agent, piece, '', now)
    if handover.is_known or not agent.due(
        ('handover', key), HANDOVER_REPEAT_MS, now
    ):
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
    """Keep the token of a released piece until its new owner knows it."""
    return agent.handovers.put(
        (piece.start, piece.end, piece.fence),
        leaserows.Handover(token, now + HANDOVER_KEPT_MS),
    )


def _release_unknown(agent, piece, until):
    agent.holdings.put(
        (piece.start, piece.fence - 1),
        leaserows.Holding(
            service=agent.settings.service,
            start=piece.start,
            end=piece.end,
            fence=piece.fence - 1,
            life=agent.backend.life,
            state=leaserows.HoldingState.RELEASING,
            granted_until=until,
        ),
    )


def take_news(agent, now):
    """Take in what former and new owners say; return what was handed over."""
    handed = agent.inbox.take(leasemsg.HandedOver)
    for told in handed:
        if told.service == agent.settings.service:
            key = (told.start, told.end, told.fence)
            agent.received_handovers.put(key, told.handover)
            known = leasemsg.HandoverReceived(told.start, told.end, told.fence)
            agent.outbox.post(leasemsg.SendDatagram(told.sender, known))
    for known in agent.inbox.take(leasemsg.HandoverReceived):
        handover = agent.handovers.get((known.start, known.end, known.fence))
        if handover is not None:
            handover.is_known = True
    for key, kept in agent.handovers.items():
        if kept.expires <= now:
            agent.handovers.pop(key)
            agent.timers.pop(('handover', key))
    while len(agent.received_handovers) > MAX_RECEIVED:
        agent.received_handovers.pop(agent.received_handovers.keys()[0])
    return handed
