"""The open exchanges of a caller's connection, in the order of requests."""

import collections

import attrs

from laburnumlatch.core import bodybuffer
from laburnumlatch.platform import requestparser
from laburnumlatch.platform import responsebytes

# A head is held here, in the row of its request, and encoded for its server.
HEAD_COPIES = 3
# The objects of a request: its exchange, its messages, its row.
EXCHANGE_BYTES = 4096


@attrs.define(eq=False)
class Exchange:
    """One request of a connection and its response.

    `number` is None until the request is complete, and stays so if it is
    refused before. `body` is what was received of the body. `buffered_bytes`
    counts the body from its announcement on, and in its place the response
    while it waits from `ready_at`, in ms of the agent's clock, for earlier
    ones. `head_bytes` counts the head and the objects of the request.
    """

    connection: object
    head: requestparser.RequestHead
    body: bodybuffer.BodyBuffer
    number: int | None = None
    response: responsebytes.Response | None = None
    ready_at: int = 0
    buffered_bytes: int = 0
    head_bytes: int = 0
    expects_continue: bool = False


class ExchangeQueue:
    """Exchanges whose responses are not written yet, oldest first."""

    def __init__(self, account):
        """Start empty; count in a `calleraccounts.ConnectionAccount`.

        `buffered_bytes` is the sum of the bodies in this queue.
        """
        self.buffered_bytes = 0
        self._account = account
        self._exchanges = collections.deque()

    def __len__(self):
        """Return the number of exchanges."""
        return len(self._exchanges)

    def append(self, connection, head, announced_bytes=None):
        """Add and return the exchange of the newest request.

        `announced_bytes` is the length of its body, which counts at once; None
        if it is not known.
        """
        exchange = Exchange(
            connection, head, bodybuffer.BodyBuffer(announced_bytes)
        )
        self._exchanges.append(exchange)
        exchange.head_bytes = cost_bytes(head)
        self._account.adjust_small(exchange.head_bytes)
        self._count(exchange, announced_bytes or 0)
        return exchange

    def is_next(self, exchange):
        """Return whether no earlier response is missing."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def drop_last(self):
        """Remove the exchange of the newest request."""
        self._free(self._exchanges.pop())

    def add_to_body(self, exchange, chunk):
        """Keep a part of the body of a request."""
        exchange.body.append(chunk)
        more_bytes = len(exchange.body) - exchange.buffered_bytes
        self._count(exchange, max(0, more_bytes))

    def take_body(self, exchange):
        """Return the whole body; it stays counted until the response."""
        return exchange.body.take()

    def answer(self, exchange, response, now):
        """Keep the response of an exchange in place of its request."""
        exchange.body.take()
        exchange.ready_at = now
        exchange.response = response
        size = len(response.body) + len(response.fields.packed)
        self._count(exchange, size - exchange.buffered_bytes)

    def take_due(self):
        """Remove and return the exchanges whose responses are in turn."""
        due = []
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            self._free(exchange)
            due.append(exchange)
        return due

    def take_all(self):
        """Remove and return all exchanges."""
        exchanges = tuple(self._exchanges)
        for exchange in exchanges:
            self._free(exchange)
        self._exchanges.clear()
        return exchanges

    def _free(self, exchange):
        self._account.adjust_small(-exchange.head_bytes)
        self._count(exchange, -exchange.buffered_bytes)

    def _count(self, exchange, more_bytes):
        exchange.buffered_bytes += more_bytes
        self.buffered_bytes += more_bytes
        self._account.adjust(more_bytes)


def cost_bytes(head):
    """Return what a request without its body takes in memory."""
    return EXCHANGE_BYTES + HEAD_COPIES * head.size
