"""HTTP interface of the stand-in backend server: requests, grants, health."""

import asyncio
import json

from tornado import httpserver
from tornado import web

from laburnumlatch.core import clock
from laburnumlatch.experiments import grantledger
from laburnumlatch.platform import durations
from laburnumlatch.platform import wire
from standins import backend as backends

MAX_BODY_BYTES = 268_435_456
POLL_INTERVAL_S = 0.02
DEFAULT_DEADLINE_MS = 60_000
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_STALE_FENCE = 409
STATUS_MISDIRECTED = 421
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503
STATUS_EXPIRED = 504
HANDOVER_TOKEN = 'handover'


class Handler(web.RequestHandler):
    """Base of the handlers: sends no response while the server is frozen."""

    def initialize(self, backend):
        """Serve requests for `backend`, a `backend.Backend`."""
        self._backend = backend

    async def prepare(self):
        """Delay the request while the server is frozen."""
        while self._backend.faults.is_frozen:
            await asyncio.sleep(POLL_INTERVAL_S)


class ServiceRequestHandler(Handler):
    """All other paths: processes requests for the service."""

    def initialize(self, backend):
        """Read request ID, key and deadline from the header fields."""
        super().initialize(backend)
        headers = self.request.headers
        self._request_id = headers.get(wire.REQUEST_ID, '')
        key = headers.get(wire.KEY)
        self._key = None if key is None else int(key)
        remaining_ms = int(headers.get(wire.TIME_LEFT_MS, DEFAULT_DEADLINE_MS))
        self._deadline = backend.now() + remaining_ms
        self._connection_closed = asyncio.Event()

    async def get(self):
        """Process the request, or reject it as not executed."""
        status = self._rejection_status()
        if status is None and not await self._wait_for_slot():
            status = STATUS_UNAVAILABLE
        if status is not None:
            self._reject(status)
            return
        backend = self._backend
        run = backends.Run(self._request_id, self._key)
        backend.start_run(run)
        try:
            await self._process(run)
        finally:
            backend.finish_run(run)

    post = get
    put = get
    delete = get
    patch = get

    def on_connection_close(self):
        """Stop processing: nobody waits for the response any more."""
        self._connection_closed.set()

    def _rejection_status(self):
        """Return the status of a rejection, None if the request may run."""
        backend = self._backend
        if not self._request_id:
            return STATUS_BAD_REQUEST
        expected_server_id = self.request.headers.get(wire.EXPECTED_SERVER)
        is_for_other_server = expected_server_id not in {
            None,
            backend.server_id,
        }
        if is_for_other_server or not backend.holds(self._key):
            return STATUS_MISDIRECTED
        return STATUS_UNAVAILABLE if backend.consume_fault('shed') else None

    def _reject(self, status):
        self._backend.record_event(
            f'refused {status}', self._request_id, self._key
        )
        self.set_status(status)
        self.set_header(wire.NOT_RUN, '1')
        self.finish()

    async def _wait_for_slot(self):
        """Wait in the queue for a slot.

        Returns False if the queue is full, or if the deadline passes or the
        connection is closed before a slot is free.
        """
        backend = self._backend
        if len(backend.running) < backend.profile.slots:
            return True
        if backend.queued >= backends.MAX_QUEUED:
            return False
        backend.queued += 1
        try:
            while len(backend.running) >= backend.profile.slots:
                if (
                    self._connection_closed.is_set()
                    or backend.now() >= self._deadline
                ):
                    return False
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            backend.queued -= 1
        return True

    async def _process(self, run):
        """Work for the time that a request takes, then send the outcome.

        Status 504 reports that the deadline passed, 500 that the grant of the
        key ended meanwhile.
        """
        backend = self._backend
        if backend.consume_fault('silent'):
            await self._connection_closed.wait()
            return
        remaining_ms = self._deadline - backend.now()
        await self._sleep(min(backend.work_ms(), remaining_ms))
        while backend.faults.is_frozen and not self._connection_closed.is_set():
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._connection_closed.is_set():
            return
        if backend.now() >= self._deadline:
            self._respond_failure(STATUS_EXPIRED)
        elif backend.may_succeed(run):
            await self._respond()
        else:
            self._respond_failure(STATUS_FAILED)

    async def _sleep(self, duration_ms):
        """Sleep, or return early when the connection is closed."""
        try:
            await asyncio.wait_for(
                self._connection_closed.wait(),
                max(0, duration_ms) / clock.MS_PER_S,
            )
        except TimeoutError:
            return

    def _respond_failure(self, status):
        self.set_status(status)
        self.set_header(wire.REQUEST_ID, self._request_id)
        self.finish()

    async def _respond(self):
        """Send a successful response, changed by the faults."""
        backend = self._backend
        stream = self.request.connection.stream
        if backend.consume_fault('close'):
            stream.close()
            return
        head, body = self._response_bytes()
        if backend.consume_fault('truncate'):
            await stream.write(head + body[: len(body) // 2])
            stream.close()
        elif backend.consume_fault('twice'):
            await stream.write(head + body + head + body)
            stream.close()
        else:
            await self._finish_response(body)

    async def _finish_response(self, body):
        backend = self._backend
        request_id = self._request_id
        if backend.consume_fault('wrong_id'):
            request_id = f'{request_id}-other'
        self.set_header(wire.REQUEST_ID, request_id)
        self.set_header(wire.SEAL, backend.server_id)
        load = (len(backend.running), backend.queued, backend.profile.slots)
        self.set_header('X-Backend-Load', ','.join(map(str, load)))
        await self.finish(body)

    def _response_bytes(self):
        """Return head and body of a successful response, as bytes.

        The body has the host ID and the calling service in two lines, then
        the body of the request.
        """
        headers = self.request.headers
        caller = headers.get(wire.CALLER_SERVICE, '').encode()
        body = b'\n'.join((
            self._backend.host_id.encode(),
            caller,
            self.request.body,
        ))
        lines = (
            'HTTP/1.1 200 OK',
            f'{wire.REQUEST_ID}: {self._request_id}',
            f'{wire.SEAL}: {self._backend.server_id}',
            f'Content-Length: {len(body)}',
            '\r\n',
        )
        return '\r\n'.join(lines).encode(), body


class GrantHandler(Handler):
    """`POST /grant`: grants keys to the backend server."""

    def post(self):
        """Accept the grant, or respond 409 after a higher fencing token."""
        call = json.loads(self.request.body)
        is_accepted = self._backend.accept_grant(
            call['from'],
            call['to'],
            call['fence'],
            durations.parse(call['hold_time']),
        )
        self.set_status(STATUS_OK if is_accepted else STATUS_STALE_FENCE)


class ReleaseHandler(Handler):
    """`POST /release`: takes keys away from the backend server."""

    async def post(self):
        """Accept no more requests for the keys; respond when none runs."""
        call = json.loads(self.request.body)
        released = grantledger.Grant(call['from'], call['to'], 0, 0)
        runs = self._backend.release(released)
        while any(run in self._backend.running for run in runs):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.set_header(wire.HANDOVER, HANDOVER_TOKEN)


class HealthHandler(Handler):
    """`GET /health`: the health check."""

    def get(self):
        """Respond 200, or 503 while the server drains."""
        is_draining = self._backend.is_draining
        self.set_status(STATUS_UNAVAILABLE if is_draining else STATUS_OK)
        self.set_header('X-Instance-Id', self._backend.server_id)


class Server(httpserver.HTTPServer):
    """HTTP server that closes connections beyond the limit of its profile."""

    def initialize(self, backend):
        """Serve a `backend.Backend`."""
        self._max_connections = backend.profile.connections
        self._open_connections = 0
        handler_arguments = {'backend': backend}
        super().initialize(
            web.Application(
                [
                    ('/grant', GrantHandler, handler_arguments),
                    ('/release', ReleaseHandler, handler_arguments),
                    ('/health', HealthHandler, handler_arguments),
                    ('/.*', ServiceRequestHandler, handler_arguments),
                ],
                log_function=lambda _handler: None,
            ),
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )

    def handle_stream(self, stream, address):
        """Serve a new connection, or close it when the limit is reached."""
        if self._open_connections >= self._max_connections:
            stream.close()
            return
        self._open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Remove a closed connection from the count."""
        self._open_connections -= 1
        super().on_close(server_conn)
