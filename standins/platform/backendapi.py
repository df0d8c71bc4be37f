"""HTTP interface of the stand-in backend server."""

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
FREEZE_POLL_S = 0.02
DEFAULT_TIME_MS = 60_000
STATUS_OK = 200
STATUS_BAD = 400
STATUS_OLD_FENCE = 409
STATUS_MISPLACED = 421
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503
STATUS_EXPIRED = 504
HANDOVER = 'handover'


class Handler(web.RequestHandler):
    """Answers nothing while the server is frozen."""

    def initialize(self, backend):
        """Use `backend`."""
        self._backend = backend

    async def prepare(self):
        """Wait while the server is frozen."""
        while self._backend.faults.is_frozen:
            await asyncio.sleep(FREEZE_POLL_S)


class WorkHandler(Handler):
    """Every other path: a request for the service."""

    def initialize(self, backend):
        """Use `backend`; nothing runs yet."""
        super().initialize(backend)
        fields = self.request.headers
        self._request_id = fields.get(wire.REQUEST_ID, '')
        key = fields.get(wire.KEY)
        self._key = None if key is None else int(key)
        left_ms = int(fields.get(wire.TIME_LEFT_MS, DEFAULT_TIME_MS))
        self._end = backend.now() + left_ms
        self._over = asyncio.Event()

    async def get(self):
        """Refuse the request, or run it."""
        refused = self._refusal()
        if refused is None and not await self._slot_is_free():
            refused = STATUS_UNAVAILABLE
        if refused is not None:
            self._refuse(refused)
            return
        backend = self._backend
        run = backends.Run(self._request_id, self._key)
        backend.begin(run)
        try:
            await self._work(run)
        finally:
            backend.end(run)

    post = get
    put = get
    delete = get
    patch = get

    def on_connection_close(self):
        """Stop the work: nobody waits for it any more."""
        self._over.set()

    def _refusal(self):
        """Return the status of a refusal, None if the request may run."""
        backend = self._backend
        if not self._request_id:
            return STATUS_BAD
        expected = self.request.headers.get(wire.EXPECTED_SERVER)
        is_other = expected not in {None, backend.server_id}
        if is_other or not backend.holds(self._key):
            return STATUS_MISPLACED
        return STATUS_UNAVAILABLE if backend.strikes('shed') else None

    def _refuse(self, status):
        self._backend.note(f'refused {status}', self._request_id, self._key)
        self.set_status(status)
        self.set_header(wire.NOT_RUN, '1')
        self.finish()

    async def _slot_is_free(self):
        """Wait for a slot; return whether there is one in time."""
        backend = self._backend
        if len(backend.running) < backend.profile.slots:
            return True
        if backend.waiting >= backends.QUEUE:
            return False
        backend.waiting += 1
        try:
            while len(backend.running) >= backend.profile.slots:
                if self._over.is_set() or backend.now() >= self._end:
                    return False
                await asyncio.sleep(FREEZE_POLL_S)
        finally:
            backend.waiting -= 1
        return True

    async def _work(self, run):
        backend = self._backend
        if backend.strikes('silent'):
            await self._over.wait()
            return
        left_ms = self._end - backend.now()
        await self._wait(min(backend.work_ms(), left_ms))
        while backend.faults.is_frozen and not self._over.is_set():
            await asyncio.sleep(FREEZE_POLL_S)
        if self._over.is_set():
            return
        if backend.now() >= self._end:
            self._fail(STATUS_EXPIRED)
        elif backend.may_end(run):
            await self._answer()
        else:
            self._fail(STATUS_FAILED)

    async def _wait(self, duration_ms):
        try:
            await asyncio.wait_for(
                self._over.wait(), max(0, duration_ms) / clock.MS_PER_S
            )
        except TimeoutError:
            return

    def _fail(self, status):
        self.set_status(status)
        self.set_header(wire.REQUEST_ID, self._request_id)
        self.finish()

    async def _answer(self):
        backend = self._backend
        stream = self.request.connection.stream
        if backend.strikes('close'):
            stream.close()
            return
        head, body = self._answer_bytes()
        if backend.strikes('truncate'):
            await stream.write(head + body[: len(body) // 2])
            stream.close()
        elif backend.strikes('twice'):
            await stream.write(head + body + head + body)
            stream.close()
        else:
            await self._finish_usually(body)

    async def _finish_usually(self, body):
        backend = self._backend
        request_id = self._request_id
        if backend.strikes('wrong_id'):
            request_id = f'{request_id}-other'
        self.set_header(wire.REQUEST_ID, request_id)
        self.set_header(wire.SEAL, backend.server_id)
        load = (len(backend.running), backend.waiting, backend.profile.slots)
        self.set_header('X-Backend-Load', ','.join(map(str, load)))
        await self.finish(body)

    def _answer_bytes(self):
        """Return the head of an answer and its body, as bytes."""
        fields = self.request.headers
        caller = fields.get(wire.CALLER_SERVICE, '').encode()
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
    """`POST /grant`: takes keys."""

    def post(self):
        """Answer 409 if a higher fence was seen."""
        call = json.loads(self.request.body)
        is_taken = self._backend.give(
            call['from'],
            call['to'],
            call['fence'],
            durations.parse(call['hold_time']),
        )
        self.set_status(STATUS_OK if is_taken else STATUS_OLD_FENCE)


class ReleaseHandler(Handler):
    """`POST /release`: gives keys back when the work on them has ended."""

    async def post(self):
        """Stop new work at once, and answer when none runs."""
        call = json.loads(self.request.body)
        released = grantledger.Grant(call['from'], call['to'], 0, 0)
        runs = self._backend.take_back(released)
        while any(run in self._backend.running for run in runs):
            await asyncio.sleep(FREEZE_POLL_S)
        self.set_header(wire.HANDOVER, HANDOVER)


class HealthHandler(Handler):
    """`GET /health`."""

    def get(self):
        """Answer 200 unless the server is leaving."""
        is_draining = self._backend.is_draining
        self.set_status(STATUS_UNAVAILABLE if is_draining else STATUS_OK)
        self.set_header('X-Instance-Id', self._backend.server_id)


class Server(httpserver.HTTPServer):
    """Closes connections beyond the limit."""

    def initialize(self, backend):
        """Build the routes for a `backend.Backend`."""
        self._limit = backend.profile.connections
        self._open = 0
        fields = {'backend': backend}
        super().initialize(
            web.Application(
                [
                    ('/grant', GrantHandler, fields),
                    ('/release', ReleaseHandler, fields),
                    ('/health', HealthHandler, fields),
                    ('/.*', WorkHandler, fields),
                ],
                log_function=lambda _handler: None,
            ),
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )

    def handle_stream(self, stream, address):
        """Serve a new connection, or close it at the limit."""
        if self._open >= self._limit:
            stream.close()
            return
        self._open += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Count a connection down."""
        self._open -= 1
        super().on_close(server_conn)
