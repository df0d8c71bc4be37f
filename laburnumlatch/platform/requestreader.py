"""Reads the requests of a caller's connection, within its bounds."""

from laburnumlatch.core import headfields
from laburnumlatch.mesh import messages
from laburnumlatch.platform import callerexchanges
from laburnumlatch.platform import readahead
from laburnumlatch.platform import requestparser
from laburnumlatch.platform import responsebytes

# Bounds of one connection, at which reading stops: requests that are read and
# not yet answered, and bytes of their bodies and of waiting responses. A
# request that has begun is read to its end.
MAX_PIPELINED = 32
MAX_BUFFERED_BYTES = 1_000_000
# Bytes that are parsed in one pass of the loop, bodies of known length aside:
# 16 KB of chunks of one byte take some 15 ms.
PASS_BYTES = 16_384
# When a request may come again that had no room here.
RETRY_AFTER_MS = 500
EXPECT_CONTINUE = '100-continue'

# Stands for a head that could not be parsed.
_UNREADABLE_HEAD = requestparser.RequestHead(
    'GET', '', headfields.EMPTY, keeps_alive=False
)


class RequestReader(requestparser.RequestSink):
    """Parses requests and posts them, until reading ends for good.

    `is_ended` says that it has: later bytes are no requests. `receiving` is
    the exchange whose request was read in part, None if there is none.
    """

    def __init__(self, front, connection, exchanges):
        """Read for `connection`, a `CallerConnection` of `front`.

        What is not parsed yet counts in the account of the connection.

        New exchanges are added to `exchanges`, an `ExchangeQueue`.
        """
        self.is_ended = False
        self.receiving = None
        self._front = front
        self._connection = connection
        self._exchanges = exchanges
        self._parser = requestparser.RequestParser(self, front.max_head_bytes)
        self._read_ahead = readahead.ReadAhead()
        self._counted_bytes = 0
        self._read_at = 0
        self._head_since = None

    @property
    def unparsed_bytes(self):
        """How many bytes were read ahead."""
        return len(self._read_ahead)

    @property
    def has_known_length(self):
        """Whether the rest of a body of known length is to come."""
        return self.receiving is not None and self._parser.has_known_length

    @property
    def is_between_requests(self):
        """Whether nothing was read that could be part of a request.

        Empty lines before a request are not.
        """
        return not self._read_ahead and self._parser.is_between_requests

    @property
    def head_ms(self):
        """How long ago a head that was read in part began; 0 without one."""
        if self._head_since is None:
            return 0
        return self._front.now - self._head_since

    def add(self, chunk):
        """Take what the caller sent; `parse` reads it.

        Without room for it, a request that begins is refused.
        """
        is_in_body = self.receiving is not None
        if not (is_in_body or len(self._exchanges) or self._has_room(chunk)):
            self._refuse(messages.Verdict.NOT_RUN, messages.Reason.NO_MEMORY)
            return
        self._read_ahead.append(chunk, self._front.now)

    def parse(self):
        """Parse what was read as far as the bounds allow.

        Returns whether more is to be parsed in the next pass of the loop.
        """
        # The configuration may have changed since the connection was opened.
        self._parser.max_head_bytes = self._front.max_head_bytes
        left_bytes = PASS_BYTES
        while self._read_ahead and left_bytes > 0 and self._may_parse():
            size = self._parser.piece_bytes
            piece, read_at = self._read_ahead.take(size)
            if not self.has_known_length:
                left_bytes -= len(piece)
            self._read_at = read_at
            try:
                self._parser.feed(piece)
            except requestparser.MalformedRequestError as error:
                # What follows the last request of a connection gets no answer.
                if not self.is_ended:
                    self.reject(error.status, error)
        self._update_counts()
        return bool(self._read_ahead) and self._may_parse()

    def end(self):
        """Read no more; what is in memory unparsed is dropped."""
        self.is_ended = True
        self.receiving = None
        self._update_counts()

    def end_behind_open_requests(self):
        """Read no further request if one is open.

        A request read in part is dropped if others are open before it. Alone
        it is still read, and so is the next one of an idle connection.
        """
        if len(self._exchanges) and not self._exchanges.is_next(self.receiving):
            if self.receiving is not None:
                self._exchanges.drop_last()
            self.end()

    def refuse_unread(self):
        """Refuse a request that was read in part, and read no more."""
        if self.receiving is not None:
            self._refuse(messages.Verdict.NOT_RUN, messages.Reason.STOPPING)

    def reject(self, status, detail):
        """Answer bytes that are no request, and read no more."""
        exchange = self.receiving
        if exchange is None:
            exchange = self._exchanges.append(
                self._connection, _UNREADABLE_HEAD
            )
        body = f'{detail}\n'.encode()
        self._answer_early(exchange, responsebytes.Response(status, (), body))

    def head_received(self, head):
        """Begin an exchange; refuse a body for which there is no room."""
        self._head_since = None
        if self.is_ended:
            return
        size = head.body_bytes or 0
        guard = self._front.guard
        account = self._connection.account
        is_too_large = size > self._front.limits.body_bytes
        # A body that is refused anyway is no reason to close others for it.
        has_room = guard.has_room(
            account, callerexchanges.cost_bytes(head)
        ) and (
            is_too_large or not size or guard.has_room_for_body(account, size)
        )
        is_refused = is_too_large or not has_room
        exchange = self._exchanges.append(
            self._connection, head, 0 if is_refused else head.body_bytes
        )
        self.receiving = exchange
        if is_too_large:
            self._refuse(messages.Verdict.TOO_LARGE, messages.Reason.TOO_LARGE)
        elif is_refused:
            self._refuse(messages.Verdict.NOT_RUN, messages.Reason.NO_MEMORY)
        elif head.get('Expect', '').lower() == EXPECT_CONTINUE:
            exchange.expects_continue = True
            self._connection.write_continue()

    def body_received(self, chunk):
        """Keep a part of the body; refuse the request if it does not fit."""
        exchange = self.receiving
        if exchange is None:
            return
        exchange.expects_continue = False
        size = len(exchange.body) + len(chunk)
        is_counted = size <= exchange.buffered_bytes
        if size > self._front.limits.body_bytes:
            self._refuse(messages.Verdict.TOO_LARGE, messages.Reason.TOO_LARGE)
        elif is_counted or self._front.guard.has_room_for_body(
            self._connection.account, len(chunk)
        ):
            self._exchanges.add_to_body(exchange, chunk)
        else:
            self._refuse(messages.Verdict.NOT_RUN, messages.Reason.NO_MEMORY)

    def request_complete(self):
        """Post the request; while the agent stops, it is the last one."""
        exchange = self.receiving
        if exchange is None:
            return
        self.receiving = None
        if self._front.is_stopping or not exchange.head.keeps_alive:
            self.is_ended = True
        self._front.post_request(
            exchange, self._exchanges.take_body(exchange), self._read_at
        )

    def _may_parse(self):
        if self.is_ended:
            return False
        if self.receiving is not None:
            return True
        if self._connection.is_write_paused:
            return False
        return not len(self._exchanges) or (
            len(self._exchanges) < MAX_PIPELINED
            and self._exchanges.buffered_bytes <= MAX_BUFFERED_BYTES
            and self._front.memory.fits_request(0)
            and self._connection.account.fits_small(0)
        )

    def _has_room(self, chunk):
        return self._front.guard.has_room(self._connection.account, len(chunk))

    def _refuse(self, verdict, reason):
        """Refuse a request before it is complete, and read no more."""
        exchange = self.receiving
        if exchange is None:
            exchange = self._exchanges.append(
                self._connection, _UNREADABLE_HEAD
            )
        refusal = self._front.refusal(exchange, verdict, reason, RETRY_AFTER_MS)
        self._answer_early(exchange, refusal)

    def _answer_early(self, exchange, response):
        self.end()
        self._exchanges.answer(exchange, response, self._front.now)
        self._connection.write_due()

    def _update_counts(self):
        """Count bytes read ahead as in memory, and the time of a head."""
        if self.is_ended:
            self._read_ahead.clear()
        size = len(self._read_ahead)
        if not self.is_ended:
            size += self._parser.held_bytes
        self._connection.account.adjust_small(size - self._counted_bytes)
        self._counted_bytes = size
        # At a bound the rest of a head may have come and not been parsed.
        if not (self._parser.is_in_head and self._may_parse()):
            self._head_since = None
        elif self._head_since is None:
            self._head_since = self._front.now
