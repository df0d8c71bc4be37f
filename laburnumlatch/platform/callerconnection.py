"""One connection of a caller: requests side by side, responses in order."""

import asyncio
import functools
import http
import itertools

from laburnumlatch.core import logs
from laburnumlatch.platform import callerexchanges
from laburnumlatch.platform import calleroutput
from laburnumlatch.platform import requestreader
from laburnumlatch.platform import responsebytes
from laburnumlatch.platform import wire

# Bytes that are read ahead at a bound. A close is seen only behind the bytes
# that were sent before it, so this keeps noticing callers who leave.
MAX_UNPARSED_BYTES = 65_536
# Bytes that are read at once; fewer if they are no body of known length, whose
# parts take more time and memory than their bytes.
READ_BYTES = 65_536
HEAD_READ_BYTES = 16_384
# Behind the last response, what the caller still sends is discarded for this
# time: closing a connection with unread bytes resets it, and the caller loses
# the response.
LINGER_MS = 2000
# A response that waited longer than this for an earlier one is logged.
LOGGED_WAIT_MS = 100

_log = logs.logger('callers')


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests, posts them, and writes responses in their order.

    `account` is the `calleraccounts.ConnectionAccount` of what it holds,
    `reader` its `requestreader.RequestReader`, `output` its
    `calleroutput.CallerOutput`. `active_at` is when the caller last sent or
    took something, in ms of the agent's clock.

    The end of the input means that the caller has left, which cancels all
    requests of the connection. Only the response to the last request that was
    read says that the connection closes, so no request that was passed on is
    lost behind a close.
    """

    def __init__(self, front, number):
        """Belong to `front`, a `CallerFront`, where `number` identifies it."""
        self.number = number
        self.active_at = front.now
        self.account = None
        self.reader = None
        self.output = None
        self._front = front
        self._transport = None
        self._exchanges = None
        self._unsent_bytes = 0
        self._next_pass = None

    @property
    def is_write_paused(self):
        """Whether the caller leaves responses unread."""
        return self.output.is_paused

    @property
    def unsent_bytes(self):
        """Bytes of responses on the way to the caller, None if none is due."""
        unsent_bytes = self.output.unsent_bytes + self.output.queued_bytes
        return unsent_bytes if unsent_bytes or len(self._exchanges) else None

    @property
    def is_waiting(self):
        """Whether the caller only waits for what is due to it."""
        receiving = self.reader.receiving
        has_sent_all = receiving is None or receiving.expects_continue
        is_due = len(self._exchanges) and has_sent_all
        return is_due and not self.output.unsent_bytes

    def connection_made(self, transport):
        """Join the connections of the front end; called by asyncio."""
        self._transport = transport
        # A connection that is closed already has no address.
        address = transport.get_extra_info('peername') or ('',)
        self.account = self._front.guard.open_account(address[0])
        self._exchanges = callerexchanges.ExchangeQueue(self.account)
        self.reader = requestreader.RequestReader(
            self._front, self, self._exchanges
        )
        self.output = calleroutput.CallerOutput(
            transport, self.account, self._parse
        )
        self._front.guard.add(self)

    def get_buffer(self, _size_hint):
        """Return where to put what the caller sent; called by asyncio."""
        size = HEAD_READ_BYTES
        if self.reader.has_known_length:
            size = READ_BYTES
        return _read_buffer()[:size]

    def buffer_updated(self, size):
        """Take what the caller sent; called by asyncio."""
        if self.reader.is_ended:
            return
        self.account.moved_bytes += size
        self.reader.add(bytes(_read_buffer()[:size]))
        self._parse()
        if len(self._exchanges) or not self.reader.is_between_requests:
            self.active_at = self._front.now

    def eof_received(self):
        """Cancel all requests; asyncio then closes the connection."""
        self._abandon_all()

    def connection_lost(self, _error):
        """Cancel all requests and leave the front end; called by asyncio."""
        self.output.clear()
        self._abandon_all()
        self._front.guard.remove(self)

    def pause_writing(self):
        """Read no further requests: the caller leaves responses unread."""
        self.output.pause()

    def resume_writing(self):
        """Write what is left of the responses, then go on reading requests."""
        self.output.resume()
        self._parse()

    def respond(self, exchange, response):
        """Write the response of an open exchange in its turn."""
        self._exchanges.answer(exchange, response, self._front.now)
        self.write_due()
        self._parse()

    def check_time(self, limits):
        """Close the connection if the caller takes too long.

        `limits` are the `routes.Limits` in force. To wait for a response does
        not count, but to leave responses unread does.
        """
        self._note_progress()
        idle_ms = self._front.now - self.active_at
        if self.output.is_ended and not self._unsent_bytes:
            if idle_ms > LINGER_MS:
                self._transport.close()
        elif self.reader.head_ms > limits.header_timeout_ms:
            self.reader.reject(
                http.HTTPStatus.REQUEST_TIMEOUT, 'the head takes too long'
            )
        elif idle_ms > limits.idle_timeout_ms and not self.is_waiting:
            self.close()

    def close(self):
        """Close at once and free what is held; open requests are canceled."""
        self.output.clear()
        self._abandon_all()
        self._transport.abort()

    def write_due(self):
        """Write the responses to which no earlier one is missing."""
        due = self._exchanges.take_due()
        is_end = self.reader.is_ended and not len(self._exchanges)
        encoded = []
        for exchange in due:
            is_last = is_end and exchange is due[-1]
            encoded.extend(
                responsebytes.encode(
                    exchange.response, exchange.head.method, is_last=is_last
                )
            )
        for earlier, exchange in itertools.pairwise(due):
            if self._front.now - exchange.ready_at >= LOGGED_WAIT_MS:
                _log_wait('response-waited', exchange, earlier, self._front.now)
        if encoded:
            self.active_at = self._front.now
            self.output.write(*encoded)
        self.write_continue()
        if is_end:
            # `check_time` closes the connection.
            self.output.end()

    def write_continue(self):
        """Ask for the body of a request once its response is the next."""
        exchange = self.reader.receiving
        if exchange is None or not exchange.expects_continue:
            return
        if self._exchanges.is_next(exchange):
            exchange.expects_continue = False
            self.output.write(responsebytes.CONTINUE)

    def _note_progress(self):
        """Note whether the caller has read something since the last call."""
        unsent_bytes = self.output.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self.active_at = self._front.now

    def _parse(self):
        """Parse what was read, and read ahead of the parser only a little."""
        if self.reader.parse() and self._next_pass is None:
            self._next_pass = asyncio.get_running_loop().call_soon(
                self._parse_on
            )
        max_bytes = MAX_UNPARSED_BYTES if self.account.fits_small(0) else 0
        if self.reader.unparsed_bytes > max_bytes:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse_on(self):
        self._next_pass = None
        self._parse()

    def _abandon_all(self):
        """Post that the caller has left each open request."""
        abandoned = self._exchanges.take_all()
        for exchange in abandoned:
            if exchange.response is not None:
                _log_wait(
                    'response-dropped', exchange, abandoned[0], self._front.now
                )
            elif exchange.number is not None:
                self._front.post_disconnect(exchange.number)
        self.reader.end()


@functools.cache
def _read_buffer():
    """Return the memory into which all connections read, one at a time."""
    return memoryview(bytearray(READ_BYTES))


def _log_wait(event, exchange, earlier, now):
    """Log how long a response has waited for an earlier one."""
    _log.info(
        event,
        request=exchange.head.get(wire.REQUEST_ID, ''),
        behind=earlier.head.get(wire.REQUEST_ID, ''),
        waited_ms=now - exchange.ready_at,
        connection=exchange.connection.number,
    )
