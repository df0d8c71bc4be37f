"""Front end for callers on this host: tornado's HTTP server."""

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
# The platform ends the process if it waits longer.
MAX_STOP_POLLS = 5
# All bodies that are held at one time, as a part of the process's memory.
BODIES_RATE = 0.25
KEY_COUNT = 65_536
# After an early refusal what still comes of a body is read and dropped for
# this time: a connection that is closed with unread bytes is reset, and the
# refusal lost.
LINGER_S = 2
ANY_BODY_BYTES = 2_000_000_000_000

_log = logs.logger('callers')

_STATUS = types.MappingProxyType({
    messages.Verdict.NOT_RUN: (503, 'Service Unavailable'),
    messages.Verdict.NO_ROUTE: (404, 'Not Found'),
    messages.Verdict.TOO_LARGE: (413, 'Content Too Large'),
    messages.Verdict.UNKNOWN: (502, 'Bad Gateway'),
    messages.Verdict.TIMED_OUT: (504, 'Gateway Timeout'),
})
_WITHOUT_BODY = frozenset((204, 304))
_WRITE_ERRORS = (iostream.StreamClosedError, httputil.HTTPOutputError)


class CallerFront(frontends.FrontEnd, httputil.HTTPServerConnectionDelegate):
    """Takes whole requests in and writes whole answers."""

    kinds = (messages.Deliver, messages.Refuse, messages.LimitsChanged)

    def __init__(self, post, own, numbers, time_source):
        """Serve as `own`, a `mesh.settings.Settings`, says."""
        super().__init__(post)
        self._clock = time_source
        self._own = own
        self._numbers = numbers
        self._open = {}
        self._server = None
        self._body_bytes = 0
        self._limits = routes.Limits()
        self.is_stopping = False

    @property
    def limits(self):
        """The limits in force for what callers send."""
        return self._limits

    @property
    def caller_service(self):
        """The service of this host."""
        return self._own.service

    async def start(self):
        """Listen; raise OSError if the address cannot be had."""
        ip_text, port = addresses.split_address(self._own.caller_address)
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
        """Close the connections once their answers have been written."""
        self._server.stop()
        polls = 0
        while self._open and polls < MAX_STOP_POLLS:
            polls += 1
            await asyncio.sleep(STOP_POLL_S)
        if self._open:
            _log.error('requests-cut-off', requests=len(self._open))
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        """Return the `_Exchange` that collects one request."""
        return _Exchange(self, request_conn)

    def carry_out(self, message):
        """Write an answer or a refusal, or put limits in force."""
        if isinstance(message, messages.LimitsChanged):
            self._set_limits(message.limits)
            return
        exchange = self._open.pop(message.number, None)
        if exchange is None:
            return
        if isinstance(message, messages.Deliver):
            exchange.deliver(message.answer)
        else:
            exchange.refuse(message)

    def has_room(self, more_bytes):
        """Tell whether `more_bytes` of bodies can be held."""
        limit = self._own.memory_bytes * BODIES_RATE
        return self._body_bytes + more_bytes <= limit

    def hold(self, more_bytes):
        """Count bytes of bodies that are held; negative gives them back."""
        self._body_bytes += more_bytes

    def arrived(self, exchange, head, body, time_left_ms):
        """Report a whole request; return its number."""
        number = next(self._numbers)
        self._open[number] = exchange
        self._post(
            messages.RequestArrived(
                number, head, body, time_left_ms, self._clock.now()
            ),
        )
        return number

    def left(self, number):
        """Report that the caller has closed its connection."""
        if self._open.pop(number, None) is not None:
            self._post(messages.CallerLeft(number))

    def _set_limits(self, limits):
        self._limits = limits
        parameters = self._server.conn_params
        parameters.max_body_size = limits.body_bytes
        # tornado has one time for an idle connection and a slow head.
        parameters.header_timeout = limits.idle_timeout_ms / clock.MS_PER_S


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its answer."""

    def __init__(self, front, connection):
        self._front = front
        self._connection = connection
        self._start = None
        self._fields = None
        self._chunks = []
        self._held = 0
        self._number = None
        self._is_refused = False
        self._linger = None

    def headers_received(self, start_line, headers):
        """Keep the head; refuse a body that is too long at once."""
        self._start = start_line
        self._fields = headers
        length = headers.get('Content-Length', '0')
        if length.isdecimal() and int(length) > self._front.limits.body_bytes:
            self._refuse(messages.Verdict.TOO_LARGE, messages.Reason.TOO_LARGE)

    def data_received(self, chunk):
        """Keep a part of the body."""
        if self._is_refused:
            return
        if not self._front.has_room(len(chunk)):
            self._refuse(messages.Verdict.NOT_RUN, messages.Reason.NO_MEMORY)
            return
        self._front.hold(len(chunk))
        self._held += len(chunk)
        self._chunks.append(chunk)

    def finish(self):
        """Hand the whole request to the systems."""
        if self._is_refused:
            self._linger.cancel()
            self._connection.finish()
            return
        fields = self._fields
        # tornado itself reports only a close before the end of the request.
        self._connection.set_close_callback(self.on_connection_close)
        key = fields.get(wire.KEY)
        head = messages.Head(
            method=self._start.method,
            target=self._start.path,
            host=fields.get('Host', ''),
            fields=wire.request_fields(fields.get_all()),
            request_id=fields.get(wire.REQUEST_ID, ''),
            key=_key(key),
            caller_service=self._front.caller_service,
        )
        self._number = self._front.arrived(
            self,
            head,
            b''.join(self._chunks),
            _time_left_ms(fields.get(wire.TIME_LEFT_MS)),
        )
        if self._connection.stream.closed():
            # tornado does not report a close that came with the request.
            self.on_connection_close()

    def on_connection_close(self):
        """Tell the systems that the caller has gone."""
        self._give_back()
        if self._linger is not None:
            self._linger.cancel()
        if self._number is not None:
            self._front.left(self._number)

    def deliver(self, answer):
        """Write the answer of a backend server."""
        fields = httputil.HTTPHeaders()
        for name, text in answer.fields:
            fields.add(name, text)
        self._write(answer.status, '', fields, answer.body)

    def refuse(self, message):
        """Write why there is no answer."""
        status, reason = _STATUS[message.verdict]
        fields = httputil.HTTPHeaders()
        if message.verdict == messages.Verdict.NOT_RUN:
            seconds = message.retry_after_ms / clock.MS_PER_S
            fields[wire.RETRY_AFTER] = f'{seconds:.3f}'
        fields[wire.REQUEST_ID] = self._fields.get(wire.REQUEST_ID, '')
        body = f'{message.verdict}: {message.reason}\n'.encode()
        self._write(status, reason, fields, body)

    def _refuse(self, verdict, reason):
        """Refuse a request before its body is in."""
        self._is_refused = True
        self._chunks.clear()
        self._connection.set_max_body_size(ANY_BODY_BYTES)
        self._linger = asyncio.get_running_loop().call_later(
            LINGER_S, self._connection.close
        )
        self.refuse(messages.Refuse(0, verdict, reason))

    def _write(self, status, reason, fields, body):
        self._give_back()
        if status not in _WITHOUT_BODY:
            fields['Content-Length'] = str(len(body))
        if self._front.is_stopping or self._is_refused:
            fields['Connection'] = 'close'
        if self._start.method == 'HEAD':
            body = b''
        start = httputil.ResponseStartLine(
            'HTTP/1.1', status, reason or httputil.responses.get(status, '-')
        )
        try:
            written = self._connection.write_headers(start, fields, body)
            written.add_done_callback(_note_error)
            if not self._is_refused:
                self._connection.finish()
        except _WRITE_ERRORS as error:
            _log.info('answer-not-written', detail=repr(error))

    def _give_back(self):
        self._front.hold(-self._held)
        self._held = 0


def _note_error(written):
    error = None if written.cancelled() else written.exception()
    if error is not None:
        _log.info('answer-not-written', detail=repr(error))


def _key(text):
    if text is None or not text.isdecimal() or int(text) >= KEY_COUNT:
        return None
    return int(text)


def _time_left_ms(text):
    if text is None or not text.isdecimal():
        return None
    return int(text)
