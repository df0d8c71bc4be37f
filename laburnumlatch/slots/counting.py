"""System: counts requests and answers before others take them."""

from laburnumlatch.slots import metrics
from laburnumlatch.slots import requestmsg


def run(world, now):
    """Count the requests and answers of this tick before others take them."""
    arrived = world.inbox.peek(requestmsg.RequestArrived)
    if arrived:
        metrics.count(world, 'arrived', len(arrived))
    for ended in world.inbox.peek(requestmsg.AnswerEnded):
        request = world.requests.get(ended.number)
        if request is not None and request.exchange == ended.exchange:
            metrics.count(world, 'answered')
            metrics.observe(world, request.class_name, now - request.arrived)
    broken = world.inbox.peek(requestmsg.ExchangeBroke)
    if broken:
        metrics.count(world, 'exchange broke', len(broken))
