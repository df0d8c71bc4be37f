"""One connection of a caller: requests side by side, responses in order."""

import asyncio
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
# Behind the last response, what the caller still sends is discarded for this
# time: closing a connection with unread bytes resets it, and the caller loses
# the response.
LINGER_MS = 2000
# A response that waited longer than this for an earlier one is logged.
LOGGED_WAIT_MS = 100

_log = logs.logger('callers')


class CallerConnection(asyncio.Protocol):
    """Reads requests, posts them, and writes responses in their order.

    The end of the input means that the caller has left, which cancels all
    requests of the connection. Only the response to the last request that was
    read says that the connection closes, so no request that was passed on is
    lost behind a close.
    """

    def __init__(self, front, number):
        """Belong to `front`, a `CallerFront`, where `number` identifies it."""
        self.number = number
        self._front = front
        self._transport = None
        self._exchanges = callerexchanges.ExchangeQueue(front.memory.adjust)
        self._reader = requestreader.RequestReader(front, self, self._exchanges)
        self._active_at = front.now
        self._unsent_bytes = 0
        self._output = None

    @property
    def is_write_paused(self):
        """Whether the caller leaves responses unread."""
        return self._output.is_paused

    @property
    def unsent_bytes(self):
        """Bytes of responses on the way to the caller, None if none is due."""
        unsent_bytes = self._output.unsent_bytes + self._output.queued_bytes
        return unsent_bytes if unsent_bytes or len(self._exchanges) else None

    def connection_made(self, transport):
        """Join the connections of the front end; called by asyncio."""
        self._transport = transport
        self._output = calleroutput.CallerOutput(
            transport, self._front.memory.adjust, self._parse
        )
        self._front.add_connection(self)

    def data_received(self, data):
        """Take what the caller sent; called by asyncio."""
        if not self._reader.is_ended:
            self._active_at = self._front.now
            self._reader.add(data)
            self._parse()

    def eof_received(self):
        """Cancel all requests; asyncio then closes the connection."""
        self._abandon_all()

    def connection_lost(self, _error):
        """Cancel all requests and leave the front end; called by asyncio."""
        self._output.clear()
        self._abandon_all()
        self._front.remove_connection(self)

    def pause_writing(self):
        """Read no further requests: the caller leaves responses unread."""
        self._output.pause()

    def resume_writing(self):
        """Write what is left of the responses, then go on reading requests."""
        self._output.resume()
        self._parse()

    def respond(self, exchange, response):
        """Write the response of an open exchange in its turn."""
        self._exchanges.answer(exchange, response, self._front.now)
        self.write_due()
        self._parse()

    def stop_reading(self):
        """Read no further request if one is open, and close behind the last."""
        self._reader.end_behind_open_requests()

    def refuse_unread(self):
        """Refuse a request that was read in part, as not run."""
        self._reader.refuse_unread()

    def check_time(self, limits):
        """Close the connection if the caller takes too long.

        `limits` are the `routes.Limits` in force. To wait for a response does
        not count, but to leave responses unread does.
        """
        self._note_progress()
        idle_ms = self._front.now - self._active_at
        if self._output.is_ended and not self._unsent_bytes:
            if idle_ms > LINGER_MS:
                self._transport.close()
        elif self._reader.head_ms > limits.header_timeout_ms:
            self._reader.reject(
                http.HTTPStatus.REQUEST_TIMEOUT, 'the head takes too long'
            )
        elif idle_ms > limits.idle_timeout_ms and not self._is_waiting:
            self.close()

    def close(self):
        """Close the connection at once; requests still open are canceled."""
        self._transport.abort()

    def write_due(self):
        """Write the responses to which no earlier one is missing."""
        due = self._exchanges.take_due()
        is_end = self._reader.is_ended and not len(self._exchanges)
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
            self._active_at = self._front.now
            self._output.write(*encoded)
        self.write_continue()
        if is_end:
            # `check_time` closes the connection.
            self._output.end()

    def write_continue(self):
        """Ask for the body of a request once its response is the next."""
        exchange = self._reader.receiving
        if exchange is None or not exchange.expects_continue:
            return
        if self._exchanges.is_next(exchange):
            exchange.expects_continue = False
            self._output.write(responsebytes.CONTINUE)

    @property
    def _is_waiting(self):
        """Whether the caller only waits for responses."""
        is_waiting = len(self._exchanges) and self._reader.receiving is None
        return is_waiting and not self._unsent_bytes

    def _note_progress(self):
        """Note whether the caller has read something since the last call."""
        unsent_bytes = self._output.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._active_at = self._front.now

    def _parse(self):
        """Parse what was read, and read ahead of the parser only a little."""
        self._reader.parse()
        if self._reader.unparsed_bytes > MAX_UNPARSED_BYTES:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

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
        self._reader.end()


def _log_wait(event, exchange, earlier, now):
    """Log how long a response has waited for an earlier one."""
    _log.info(
        event,
        request=exchange.head.get(wire.REQUEST_ID, ''),
        behind=earlier.head.get(wire.REQUEST_ID, ''),
        waited_ms=now - exchange.ready_at,
        connection=exchange.connection.number,
    )
