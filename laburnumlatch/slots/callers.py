"""Front end for callers and other agents: tornado's HTTP server."""

import asyncio
import types
from urllib import parse as urlparse

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import web

from laburnumlatch.core import addresses
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.slots import calls
from laburnumlatch.slots import edges
from laburnumlatch.slots import headers
from laburnumlatch.slots import heads
from laburnumlatch.slots import requestmsg

MS_PER_S = 1000
# More than `heads.MAX_HEADER_BYTES`, so that most refusals can say why.
MAX_HEADER_BYTES = 65536
# Of bodies that are not streamed, such as announcements.
MAX_WHOLE_BODY_BYTES = 65536
MAX_BODY_BYTES = 1024 * 1024 * 1024 * 1024
CHUNK_BYTES = 65536
STOP_POLL_S = 0.02

_log = logs.logger('callers')

_NOT_RUN_STATUS = types.MappingProxyType({
    requestmsg.Reason.UNKNOWN_SERVICE: 404,
    requestmsg.Reason.UNKNOWN_OPERATION: 404,
    requestmsg.Reason.BODY_TOO_LARGE: 413,
    requestmsg.Reason.QUEUE_FULL: 429,
    requestmsg.Reason.TOO_LATE: 429,
})
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502
_STATUS_DEADLINE = 504
# A part of an answer came, the caller left, or a field cannot be written.
_RELAY_ERRORS = (
    calls.BodyBrokenError,
    iostream.StreamClosedError,
    httputil.HTTPOutputError,
    ValueError,
)


def status_of(outcome, reason):
    """Return the HTTP status for a refusal."""
    if outcome == requestmsg.Outcome.NOT_RUN:
        return _NOT_RUN_STATUS.get(reason, _STATUS_NOT_RUN)
    if reason == requestmsg.Reason.DEADLINE:
        return _STATUS_DEADLINE
    return _STATUS_UNKNOWN


class CallHandler(edges.EdgeHandler):
    """One request to `/call/<service>/<operation>/<key>`."""

    def initialize(self, front):
        """Start without a call; it opens when the head has been read."""
        super().initialize(front)
        self._call = None
        self._done = asyncio.Event()

    def prepare(self):
        """Hand the request to the systems before its body is read."""
        self.clear_header('Server')
        try:
            head = heads.read(self.request, self.path_args)
        except edges.RefusedError as error:
            self.refuse_input(error.status, str(error))
            return
        self.request.connection.set_max_body_size(MAX_BODY_BYTES)
        self._call = self._front.open_call(
            self.request.method,
            self.request.uri,
            list(self.request.headers.get_all()),
            head['body_bytes'],
        )
        self._front.arrived(
            self,
            requestmsg.RequestArrived(number=self._call.number, **head),
        )

    async def data_received(self, chunk):
        """Pass on body bytes; waits while the receiver is behind."""
        if self._call is not None and not self._done.is_set():
            await self._call.body.write(chunk)

    async def get(self, *_path):
        """Wait for the outcome; the answer is written by the front end."""
        self._body_ended = True
        if self._call is not None:
            self._call.body.end()
            await self._done.wait()

    head = get
    post = get
    put = get
    delete = get
    patch = get

    def on_connection_close(self):
        """Tell the systems that the caller has gone."""
        if self._call is not None:
            self._call.body.break_off()
            self._front.caller_left(self._call.number)
        self._done.set()

    def refuse(self, message):
        """Write a refusal, a `requestmsg.Refuse`."""
        self.set_status(status_of(message.outcome, message.reason))
        self._set_outcome(message, message.outcome)
        self.set_header(headers.OUTCOME_REASON, message.reason)
        if message.outcome == requestmsg.Outcome.NOT_RUN:
            self._set_retry_after(message.retry_after_ms)
        self._end(f'{message.outcome}: {message.reason}\n'.encode())

    def replay(self, message):
        """Write a kept answer, a `requestmsg.Replay`."""
        self.set_status(message.answer.status)
        self.clear_header('Content-Type')
        for name, text in message.answer.headers:
            self.add_header(name, text)
        self._set_outcome(message, requestmsg.Outcome.ANSWERED)
        self._end(message.answer.body)

    async def relay(self, message, stream):
        """Write an answer as it arrives, a `calls.AnswerStream`."""
        try:
            self._write_head(message, stream)
            await self._copy(stream.body)
        except _RELAY_ERRORS:
            self.cut_off()
        else:
            self._end_relay()

    def cut_off(self):
        """Close the connection: a normal end would show a part as whole."""
        self.request.connection.close()
        self._done.set()

    def _write_head(self, message, stream):
        self.set_status(stream.status)
        self.clear_header('Content-Type')
        for name, text in headers.end_to_end(stream.headers):
            self.add_header(name, text)
        for name, text in stream.headers:
            if name.lower() == 'content-length':
                self.set_header(name, text)
        self._set_outcome(message, requestmsg.Outcome.ANSWERED)

    async def _copy(self, body):
        while chunk := await body.read():
            self.write(chunk)
            await self.flush()

    def _set_outcome(self, message, outcome):
        if self._front.is_stopping:
            self.set_header('Connection', 'close')
        self.set_header(headers.OUTCOME, outcome)
        self.set_header(headers.REQUEST_ID, message.request_id)
        if message.epoch:
            self.set_header(headers.REQUEST_EPOCH, str(message.epoch))
        if message.owner:
            self.set_header(headers.OWNER, message.owner)

    def _set_retry_after(self, retry_after_ms):
        seconds = -(-retry_after_ms // MS_PER_S)
        self.set_header(headers.RETRY_AFTER, str(max(1, seconds)))
        self.set_header(headers.RETRY_AFTER_MS, str(retry_after_ms))

    def _end(self, body):
        if not self._done.is_set():
            self._done.set()
            self._call.body.break_off()
            self.end(body)

    def _end_relay(self):
        if self._done.is_set():
            return
        self._done.set()
        self._call.body.break_off()
        if self._body_ended:
            self.finish_once()
        else:
            self.flush()
            self.linger()


class OwnerHandler(edges.EdgeHandler):
    """`GET /owner/<service>/<key>`: address and epoch of the owner."""

    async def get(self, service, key):
        """Ask the systems and write what they say as JSON."""
        told = await self._front.ask_owner(service, heads.quoted(key))
        if told.reason is not None:
            self.set_status(status_of(requestmsg.Outcome.NOT_RUN, told.reason))
        self.finish({
            'service': told.service,
            'key': urlparse.unquote(told.key),
            'owner': told.address or None,
            'epoch': told.epoch or None,
            'reason': told.reason,
        })


class Callers(frontends.FrontEnd):
    """The HTTP server of an agent."""

    kinds = (
        requestmsg.Relay,
        requestmsg.Refuse,
        requestmsg.Replay,
        requestmsg.CutOff,
        requestmsg.TellOwner,
    )

    def __init__(self, post, open_calls, address, more_handlers=()):
        """Listen on `address`; `more_handlers` are tornado routes."""
        super().__init__(post)
        self._calls = open_calls
        self._address = address
        self._handlers = {}
        self._owner_asks = {}
        self._last_ask = 0
        self._relays = set()
        self._server = None
        self.is_stopping = False
        front = {'front': self}
        self._app = web.Application(
            [
                (r'/call/([^/]+)/([^/]+)/([^/]+)', CallHandler, front),
                (r'/owner/([^/]+)/([^/]+)', OwnerHandler, front),
                *more_handlers,
            ],
            default_handler_class=edges.UnknownPathHandler,
            default_handler_args=front,
            log_function=_log_nothing,
        )

    async def start(self):
        """Listen; raise OSError if the address cannot be had."""
        ip_text, port = addresses.split_address(self._address)
        self._server = httpserver.HTTPServer(
            self._app,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_WHOLE_BODY_BYTES,
            chunk_size=CHUNK_BYTES,
        )
        self._server.add_sockets(netutil.bind_sockets(port, ip_text))

    async def stop(self):
        """Take no new connection, wait for open calls, close the rest.

        Each call ends by its deadline, so the wait is bounded.
        """
        self.is_stopping = True
        self._server.stop()
        while self._handlers or self._relays or self._owner_asks:
            await asyncio.sleep(STOP_POLL_S)
        await self._server.close_all_connections()

    def open_call(self, *fields):
        """Return a new `calls.Call`."""
        return self._calls.open(*fields)

    def arrived(self, handler, message):
        """Report a request; `handler` will write its answer."""
        self._handlers[message.number] = handler
        self._post(message)

    def caller_left(self, number):
        """Report that a caller closed its connection."""
        if self._handlers.pop(number, None) is not None:
            self._calls.close(number)
            self._post(requestmsg.CallerLeft(number))

    async def ask_owner(self, service, key):
        """Return the `requestmsg.TellOwner` for a key."""
        self._last_ask += 1
        told = asyncio.get_running_loop().create_future()
        self._owner_asks[self._last_ask] = told
        self._post(requestmsg.OwnerAsked(self._last_ask, service, key))
        return await told

    def carry_out(self, message):
        """Write an answer or a refusal to the caller."""
        if isinstance(message, requestmsg.TellOwner):
            self._owner_asks.pop(message.number).set_result(message)
            return
        handler = self._handlers.get(message.number)
        call = self._calls.get(message.number)
        if handler is None or call is None:
            return
        if isinstance(message, requestmsg.Relay):
            self._start_relay(handler, message, call)
            return
        self._forget(message.number)
        if isinstance(message, requestmsg.Refuse):
            handler.refuse(message)
        elif isinstance(message, requestmsg.Replay):
            handler.replay(message)
        else:
            handler.cut_off()

    def _start_relay(self, handler, message, call):
        stream = call.answer
        if stream is None or stream.exchange != message.exchange:
            self._forget(message.number)
            handler.cut_off()
            return
        relay = asyncio.ensure_future(self._relay(handler, message, stream))
        self._relays.add(relay)
        relay.add_done_callback(self._relays.discard)

    async def _relay(self, handler, message, stream):
        await handler.relay(message, stream)
        self._forget(message.number)

    def _forget(self, number):
        self._handlers.pop(number, None)
        self._calls.close(number)


def _log_nothing(handler):
    """Leave out the access log: each decision has its own line."""
