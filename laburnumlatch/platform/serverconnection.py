"""One connection to a server; it carries one call at a time."""

import asyncio

from laburnumlatch.core import bodybuffer
from laburnumlatch.core import clock
from laburnumlatch.core import logs
from laburnumlatch.platform import requestoutput
from laburnumlatch.platform import responseparser
from laburnumlatch.platform import servercall
from laburnumlatch.platform import wire

WRONG_REQUEST_ID = 'the response has the ID of another request'
STATUS_OK = 200
CLOSED = 'the connection closed before the end of the response'
TOO_LARGE = 'no memory for the body of the response'
# How long a connection may rest if the server does not say.
DEFAULT_KEEP_MS = 4000
# A connection is not used this shortly before the server closes it.
KEEP_MARGIN_MS = 500
# A longer time in `Keep-Alive` is ignored. Python converts no more than 4,300
# digits, and 9 of them are 30 years.
MAX_KEEP_DIGITS = 9

_log = logs.logger('backend')


class ServerConnection(asyncio.Protocol, responseparser.ResponseSink):
    """Sends calls and reads their responses.

    A late copy of the response to the previous call is skipped, as its
    request ID tells. Any other bytes that belong to no call close the
    connection.
    """

    def __init__(self, pool, address):
        """Belong to `pool`, a `ServerPool`; `address` is the server's."""
        self.address = address
        self.rests_since = None
        self._pool = pool
        self._transport = None
        self._output = None
        self._parser = responseparser.ResponseParser(self)
        self._call = None
        self._group = ''
        self._previous_id = ''
        self._calls_started = 0
        self._head = None
        self._body = bodybuffer.BodyBuffer()
        # Bytes counted for the body, and the wait until they are free.
        self._held_bytes = 0
        self._waiter = None
        self._has_received = False
        self._has_ended = False
        self._is_skipping = False
        self._keep_ms = DEFAULT_KEEP_MS

    def connection_made(self, transport):
        """Keep the transport; called by asyncio."""
        self._transport = transport
        self._output = requestoutput.RequestOutput(transport)

    def pause_writing(self):
        """Write no more of the request for now; called by asyncio."""
        self._output.pause()

    def resume_writing(self):
        """Go on writing the request; called by asyncio."""
        self._output.resume()

    def start(self, call):
        """Send a `ServerCall`; the previous one has ended."""
        self._call = call
        self._group = call.group
        call.connection = self
        call.output = self._output
        call.was_sent = True
        self._calls_started += 1
        self._has_received = False
        self._begin_response()
        self._output.write(call.head, call.body)

    def can_carry(self, call, now):
        """Return whether a resting connection may carry a call now."""
        if self._transport.is_closing():
            return False
        if (self.address, self._group) != (call.address, call.group):
            return False
        if call.request_id and call.request_id == self._previous_id:
            return False
        rested_ms = now - self.rests_since
        return rested_ms <= min(call.max_rest_ms, self._keep_ms)

    def data_received(self, data):
        """Parse a part of a response; called by asyncio."""
        if self._call is None:
            self._close_for_stray_bytes()
            return
        self._has_received = True
        try:
            self._parser.feed(data)
        except responseparser.MalformedResponseError as error:
            self._fail(str(error))
        if self._call is None and not self._parser.is_between_responses:
            self._close_for_stray_bytes()

    def eof_received(self):
        """Note a regular end; asyncio then closes the connection.

        If the response may end so, the rest of the request is written first:
        the server may yet reset the connection instead of reading it.
        """
        self._has_ended = True
        if not _may_end_here(self._head) or self._output.is_written:
            return False
        self._output.close_when_written(lambda: self._fail(CLOSED))
        return True

    def connection_lost(self, error):
        """End the call; a body without a length may end so.

        It is whole only if the server has got the whole request and the
        connection has ended without an error.
        """
        may_end = self._has_ended and _may_end_here(self._head)
        is_whole = may_end and self._output.has_ended_well(error)
        self._output.drop()
        if is_whole:
            self._complete()
        else:
            self._fail(CLOSED)
        self._pool.remove(self)

    def close(self):
        """Close the connection at once and report nothing."""
        self._call = None
        self._begin_response()
        self._output.abort()

    def head_received(self, head):
        """Check whose response it is."""
        call = self._call
        if call is None:
            self._close_for_stray_bytes()
            return
        response_id = head.get(wire.REQUEST_ID, call.request_id)
        if response_id != call.request_id:
            self._is_skipping = response_id == self._previous_id
            if not self._is_skipping:
                self._fail(WRONG_REQUEST_ID)
            return
        self._head = head
        if call.method == 'HEAD':
            # The parser would wait for the body that the length announces.
            self._complete()
            self.close()
        else:
            self._make_room(head)

    def body_received(self, chunk):
        """Keep a part of the body, if there is memory for it."""
        if self._call is None or self._is_skipping:
            return
        self._body.append(chunk)
        if self._waiter is not None:
            # Room for the whole body is promised; reading goes on with it.
            return
        more_bytes = max(0, len(self._body) - self._held_bytes)
        if not more_bytes:
            return
        if self._pool.memory.fits_endless(more_bytes):
            self._held_bytes += more_bytes
            self._pool.memory.hold(more_bytes)
        else:
            self._fail(TOO_LARGE)

    def response_complete(self):
        """End the call and keep the connection, if the server does."""
        if self._is_skipping:
            self._is_skipping = False
        elif self._head is not None:
            head = self._head
            is_reusable = self._is_reusable
            self._complete()
            if is_reusable:
                self._keep_ms = _keep_ms(head)
                self._pool.keep(self)
            else:
                self._output.abort()

    @property
    def _is_reusable(self):
        """Whether the connection may carry another call behind this one."""
        call = self._call
        if call.keeps_after_success and self._head.status != STATUS_OK:
            return False
        # The rest of a request that is not sent would be due before the next.
        may_keep = call.keeps_connection and self._head.keeps_alive
        return may_keep and self._output.is_sent

    def _complete(self):
        call = self._call
        response = servercall.ServerResponse(
            self._head.status,
            self._head.fields,
            self._body.take(),
            is_first=self._calls_started == 1,
        )
        self._previous_id = call.request_id
        self._call = None
        self._begin_response()
        call.end(response)

    def _fail(self, detail):
        """End the call without a response."""
        call = self._call
        if call is not None:
            was_kept = self._calls_started > 1
            self.close()
            call.fail(detail, is_stale=was_kept and not self._has_received)

    def _close_for_stray_bytes(self):
        """Close the connection: bytes came that belong to no call."""
        if not self._transport.is_closing():
            _log.notice('stray-bytes', server=self.address)
            self.close()

    def _begin_response(self):
        self._head = None
        self._body = bodybuffer.BodyBuffer()
        if self._waiter is not None:
            self._pool.memory.stop_waiting(self._waiter)
            self._waiter = None
        self._pool.memory.release(self._held_bytes)
        self._held_bytes = 0

    def _make_room(self, head):
        """Hold the memory for a body of known length, or wait for it."""
        size = head.body_bytes
        memory = self._pool.memory
        if not size:
            return
        if not memory.may_ever_fit(size):
            self._fail(TOO_LARGE)
            return
        self._body = bodybuffer.BodyBuffer(size)
        if memory.fits(size):
            self._held_bytes = size
            memory.hold(size)
        else:
            self._transport.pause_reading()
            self._waiter = memory.hold_when_free(size, self._go_on)

    def _go_on(self):
        """Read on: the memory for the body is held now."""
        self._held_bytes = self._waiter.size
        self._waiter = None
        self._transport.resume_reading()


def _may_end_here(head):
    """Return whether a response, None if there is none, has no length."""
    return head is not None and not head.has_length


def _keep_ms(head):
    """Return how long a connection may rest behind a response, in ms."""
    for parameter in head.get('Keep-Alive', '').lower().split(','):
        name, _equals, seconds = parameter.strip().partition('=')
        is_number = seconds.isascii() and seconds.isdecimal()
        if name == 'timeout' and is_number and len(seconds) <= MAX_KEEP_DIGITS:
            return int(seconds) * clock.MS_PER_S - KEEP_MARGIN_MS
    return DEFAULT_KEEP_MS
