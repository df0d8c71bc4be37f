"""HTTP server for the callers on this host."""

import asyncio
import types

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.platform import wire

BACKLOG = 1024
STOP_POLL_S = 0.02
# The platform kills a process that takes longer to stop.
MAX_STOP_POLLS = 5
# Share of the process's memory for all request bodies in memory.
MAX_BODIES_SHARE = 0.25
KEY_COUNT = 65_536
# After an early refusal the rest of the body is read and discarded for
# this time: closing a connection with unread bytes resets it, and the caller
# loses the response.
LINGER_S = 2
# Far above any body, so that tornado does not end the discarding itself.
MAX_DISCARDED_BYTES = 2_000_000_000_000

_log = logs.logger('callers')

_STATUS_LINES = types.MappingProxyType({
    messages.Verdict.NOT_RUN: (503, 'Service Unavailable'),
    messages.Verdict.NO_ROUTE: (404, 'Not Found'),
    messages.Verdict.TOO_LARGE: (413, 'Content Too Large'),
    messages.Verdict.UNKNOWN: (502, 'Bad Gateway'),
    messages.Verdict.TIMED_OUT: (504, 'Gateway Timeout'),
})
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_WRITE_ERRORS = (iostream.StreamClosedError, httputil.HTTPOutputError)


class CallerFront(frontends.FrontEnd, httputil.HTTPServerConnectionDelegate):
    """Receives complete requests and writes complete responses."""

    kinds = (messages.Deliver, messages.Refuse, messages.LimitsChanged)

    def __init__(self, post, settings, numbers, time_source):
        """Create the server; `start` opens its socket.

        `settings` is a `mesh.settings.Settings`, `numbers` an iterator of
        the numbers given to requests.
        """
        super().__init__(post)
        self._clock = time_source
        self._settings = settings
        self._numbers = numbers
        self._open_exchanges = {}
        self._server = None
        self._buffered_bytes = 0
        self._limits = routes.Limits()
        self.is_stopping = False

    @property
    def limits(self):
        """The limits in force for requests of callers."""
        return self._limits

    @property
    def caller_service(self):
        """The service of this host, whose processes are the callers."""
        return self._settings.service

    async def start(self):
        """Listen; raise OSError if the address cannot be bound."""
        ip_text, port = addresses.split_address(self._settings.caller_address)
        self._server = httpserver.HTTPServer(
            self,
            max_header_size=self._limits.header_bytes * 2,
            max_body_size=self._limits.body_bytes,
            idle_connection_timeout=self._limits.idle_timeout_ms
            / clock.MS_PER_S,
        )
        self._server.add_sockets(
            netutil.bind_sockets(port, ip_text, backlog=BACKLOG),
        )

    async def stop(self):
        """Stop listening, and close connections once responses are written.

        Requests still open after `MAX_STOP_POLLS` polls are cut off.
        """
        self._server.stop()
        polls = 0
        while self._open_exchanges and polls < MAX_STOP_POLLS:
            polls += 1
            await asyncio.sleep(STOP_POLL_S)
        if self._open_exchanges:
            _log.error('requests-cut-off', requests=len(self._open_exchanges))
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        """Return the `_Exchange` that receives one request."""
        return _Exchange(self, request_conn)

    def carry_out(self, message):
        """Write a response or a refusal, or put new limits in force."""
        if isinstance(message, messages.LimitsChanged):
            self._set_limits(message.limits)
            return
        exchange = self._open_exchanges.pop(message.number, None)
        if exchange is None:
            return
        if isinstance(message, messages.Deliver):
            exchange.deliver(message.answer)
        else:
            exchange.refuse(message)

    def can_buffer(self, more_bytes):
        """Return whether there is memory for `more_bytes` of bodies."""
        limit = self._settings.memory_bytes * MAX_BODIES_SHARE
        return self._buffered_bytes + more_bytes <= limit

    def count_buffered(self, more_bytes):
        """Count bytes of bodies as in memory; negative if they were freed."""
        self._buffered_bytes += more_bytes

    def post_request(self, exchange, head, body, time_left_ms):
        """Post a complete request to the systems; return its number."""
        number = next(self._numbers)
        self._open_exchanges[number] = exchange
        self._post(
            messages.RequestArrived(
                number, head, body, time_left_ms, self._clock.now()
            ),
        )
        return number

    def post_disconnect(self, number):
        """Post that the caller of an open request closed its connection."""
        if self._open_exchanges.pop(number, None) is not None:
            self._post(messages.CallerLeft(number))

    def _set_limits(self, limits):
        self._limits = limits
        parameters = self._server.conn_params
        parameters.max_body_size = limits.body_bytes
        # tornado has a single timeout for idle connections and slow headers.
        parameters.header_timeout = limits.idle_timeout_ms / clock.MS_PER_S


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its response."""

    def __init__(self, front, connection):
        self._front = front
        self._connection = connection
        self._start_line = None
        self._fields = None
        self._chunks = []
        self._buffered_bytes = 0
        self._number = None
        self._is_refused = False
        self._linger_timer = None

    def headers_received(self, start_line, headers):
        """Keep the header; refuse a body that is announced as too long."""
        self._start_line = start_line
        self._fields = headers
        length = headers.get('Content-Length', '0')
        if length.isdecimal() and int(length) > self._front.limits.body_bytes:
            self._refuse_early(
                messages.Verdict.TOO_LARGE, messages.Reason.TOO_LARGE
            )

    def data_received(self, chunk):
        """Keep a chunk of the body; refuse the request if memory is short."""
        if self._is_refused:
            return
        if not self._front.can_buffer(len(chunk)):
            self._refuse_early(
                messages.Verdict.NOT_RUN, messages.Reason.NO_MEMORY
            )
            return
        self._front.count_buffered(len(chunk))
        self._buffered_bytes += len(chunk)
        self._chunks.append(chunk)

    def finish(self):
        """Post the complete request to the systems, or end a refused one."""
        if self._is_refused:
            self._linger_timer.cancel()
            self._connection.finish()
            return
        fields = self._fields
        # tornado reports a close only until the end of the request.
        self._connection.set_close_callback(self.on_connection_close)
        key = fields.get(wire.KEY)
        head = messages.Head(
            method=self._start_line.method,
            target=self._start_line.path,
            host=fields.get('Host', ''),
            fields=wire.request_fields(fields.get_all()),
            request_id=fields.get(wire.REQUEST_ID, ''),
            key=_parse_key(key),
            caller_service=self._front.caller_service,
        )
        self._number = self._front.post_request(
            self,
            head,
            b''.join(self._chunks),
            _parse_time_left_ms(fields.get(wire.TIME_LEFT_MS)),
        )
        if self._connection.stream.closed():
            # tornado does not report a close that arrives with the request.
            self.on_connection_close()

    def on_connection_close(self):
        """Free the body, and post that the caller has disconnected."""
        self._free_buffer()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._number is not None:
            self._front.post_disconnect(self._number)

    def deliver(self, answer):
        """Write the response of a backend server, a `messages.Answer`."""
        fields = httputil.HTTPHeaders()
        for name, text in answer.fields:
            fields.add(name, text)
        self._write(answer.status, '', fields, answer.body)

    def refuse(self, message):
        """Write the error response for a `messages.Refuse`."""
        status, reason = _STATUS_LINES[message.verdict]
        fields = httputil.HTTPHeaders()
        if message.verdict == messages.Verdict.NOT_RUN:
            seconds = message.retry_after_ms / clock.MS_PER_S
            fields[wire.RETRY_AFTER] = f'{seconds:.3f}'
        fields[wire.REQUEST_ID] = self._fields.get(wire.REQUEST_ID, '')
        body = f'{message.verdict}: {message.reason}\n'.encode()
        self._write(status, reason, fields, body)

    def _refuse_early(self, verdict, reason):
        """Refuse a request before its body is complete.

        The rest of the body is discarded for at most `LINGER_S`.
        """
        self._is_refused = True
        self._chunks.clear()
        self._connection.set_max_body_size(MAX_DISCARDED_BYTES)
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self._connection.close
        )
        self.refuse(messages.Refuse(0, verdict, reason))

    def _write(self, status, reason, fields, body):
        self._free_buffer()
        if status not in _STATUSES_WITHOUT_BODY:
            fields['Content-Length'] = str(len(body))
        if self._front.is_stopping or self._is_refused:
            fields['Connection'] = 'close'
        if self._start_line.method == 'HEAD':
            body = b''
        start_line = httputil.ResponseStartLine(
            'HTTP/1.1', status, reason or httputil.responses.get(status, '-')
        )
        try:
            future = self._connection.write_headers(start_line, fields, body)
            future.add_done_callback(_log_write_error)
            if not self._is_refused:
                self._connection.finish()
        except _WRITE_ERRORS as error:
            _log.info('answer-not-written', detail=repr(error))

    def _free_buffer(self):
        self._front.count_buffered(-self._buffered_bytes)
        self._buffered_bytes = 0


def _log_write_error(future):
    error = None if future.cancelled() else future.exception()
    if error is not None:
        _log.info('answer-not-written', detail=repr(error))


def _parse_key(text):
    """Return a key from its header field; None if missing or invalid."""
    if text is None or not text.isdecimal() or int(text) >= KEY_COUNT:
        return None
    return int(text)


def _parse_time_left_ms(text):
    if text is None or not text.isdecimal():
        return None
    return int(text)
