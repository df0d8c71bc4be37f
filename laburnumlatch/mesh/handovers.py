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


def let_go(world, piece, now):
    """Hand a piece to its new owner once nothing of it is held here."""
    if any(ranges.overlap(piece, holding) for holding in world.holdings):
        return
    key = (piece.start, piece.end, piece.fence)
    handover = world.handovers.get(key)
    if handover is None:
        unsure_until = world.started + leaserows.latest_end_ms()
        if now < unsure_until:
            # An earlier process on this host may have granted the keys.
            _release_unknown(world, piece, unsure_until)
            return
        handover = keep_token(world, piece, '', now)
    if handover.is_known or not world.due(
        ('handover', key), HANDOVER_REPEAT_MS, now
    ):
        return
    host = world.hosts.get(piece.host_id)
    if host is None:
        return
    world.outbox.post(
        leasemsg.SendDatagram(
            host.record.address,
            leasemsg.HandedOver(
                world.settings.service,
                piece.start,
                piece.end,
                piece.fence,
                handover.token,
                world.settings.peer_address,
            ),
        )
    )


def keep_token(world, piece, token, now):
    """Keep the token of a released piece until its new owner knows it."""
    return world.handovers.put(
        (piece.start, piece.end, piece.fence),
        leaserows.Handover(token, now + HANDOVER_KEPT_MS),
    )


def _release_unknown(world, piece, until):
    world.holdings.put(
        (piece.start, piece.fence - 1),
        leaserows.Holding(
            service=world.settings.service,
            start=piece.start,
            end=piece.end,
            fence=piece.fence - 1,
            life=world.backend.life,
            state=leaserows.HoldingState.RELEASING,
            granted_until=until,
        ),
    )


def take_news(world, now):
    """Take in what former and new owners say; return what was handed over."""
    handed = world.inbox.take(leasemsg.HandedOver)
    for told in handed:
        if told.service == world.settings.service:
            key = (told.start, told.end, told.fence)
            world.received.put(key, told.handover)
            known = leasemsg.HandoverReceived(told.start, told.end, told.fence)
            world.outbox.post(leasemsg.SendDatagram(told.sender, known))
    for known in world.inbox.take(leasemsg.HandoverReceived):
        handover = world.handovers.get((known.start, known.end, known.fence))
        if handover is not None:
            handover.is_known = True
    for key, kept in world.handovers.items():
        if kept.expires <= now:
            world.handovers.pop(key)
            world.timers.pop(('handover', key))
    while len(world.received) > MAX_RECEIVED:
        world.received.pop(world.received.keys()[0])
    return handed
