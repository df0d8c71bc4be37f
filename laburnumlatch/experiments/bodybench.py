"""Measures what large bodies cost on their way through two agents.

All run in this process: a caller, the front ends of the agent that receives its
request, those of the agent beside the backend server, and a stand-in of that
server, which answers an upload with a few bytes and a download with many.
"""

import asyncio
import contextlib
import itertools
import math
import random
import socket
import statistics
import time
import tracemalloc

import attrs

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.experiments import frontbench
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peerlink
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings
from laburnumlatch.platform import backendclient
from laburnumlatch.platform import callerfront
from laburnumlatch.platform import wire

MEMORY_BYTES = 2_000_000_000
MB = 1_000_000
TIME_LEFT_MS = 60_000
# Photos do not compress.
PIECE_BYTES = 65_536
PIECE = random.Random(1).randbytes(PIECE_BYTES)
UPLOAD_MB = 8
UPLOADERS = 2
LOOKUP_COUNT = 400
LOOKUP_PAUSE_S = 0.002
QUANTILES = 100
PORT_COUNT = 4
SHORT_ANSWER = b'done'
UPLOAD_PATH = '/upload'
DOWNLOAD_PATH = '/download'
HEAD_END = b'\r\n\r\n'
STATUS_LINE = b'HTTP/1.1 200'


def upload_copies(body_mb):
    """Return the peak memory of both agents, by the size of one upload.

    It is infinite if the upload fails.
    """
    return _run(_measure_copies, UPLOAD_PATH, body_mb * MB)


def download_copies(body_mb):
    """Return the peak memory of both agents, by the size of one response.

    It is infinite if the request fails.
    """
    return _run(_measure_copies, DOWNLOAD_PATH, body_mb * MB)


def lookup_ms(uploaders):
    """Return ms of the slowest of 100 lookups, beside this many uploads."""
    return _run(_measure_lookups, uploaders)


def _run(measure, *arguments):
    with asyncio.Runner() as runner:
        return runner.run(measure(*arguments))


class _Server(asyncio.Protocol):
    """Stand-in of the backend server; keeps no body."""

    def __init__(self):
        self._transport = None
        self._head = b''
        self._left_bytes = 0

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        """Read one request at a time; answer it at its end."""
        if self._left_bytes:
            self._left_bytes -= len(data)
        else:
            head, _end, rest = data.partition(HEAD_END)
            self._head = head
            self._left_bytes = _length_of(head) - len(rest)
        if self._left_bytes <= 0:
            self._left_bytes = 0
            self._answer()

    def _answer(self):
        request_id = _field(self._head, b'X-Request-Id')
        method, target = self._head.split(b' ', 2)[:2]
        pieces = [SHORT_ANSWER]
        if target.startswith(DOWNLOAD_PATH.encode()):
            count = int(target.rpartition(b'/')[2]) // len(PIECE)
            pieces = itertools.repeat(PIECE, count)
            size = count * len(PIECE)
        else:
            size = len(SHORT_ANSWER)
        fields = (
            b'HTTP/1.1 200 OK',
            b'X-Request-Id: %b' % request_id,
            b'%b: s' % wire.SEAL.encode(),
            b'Content-Length: %d' % size,
        )
        self._transport.write(b'\r\n'.join((*fields, b'', b'')))
        for piece in pieces:
            self._transport.write(piece)


@attrs.define
class _Pair:
    """Two agents' front ends; `a` reads callers, `b` has the server."""

    ports: list[int]
    front_ends: list = attrs.Factory(list)

    @property
    def caller_address(self):
        """Where callers send."""
        return self._address(0)

    async def start(self):
        """Start the server and all front ends."""
        loop = asyncio.get_running_loop()
        ip_text, port = self._address(3).split(':')
        await loop.create_server(_Server, ip_text, int(port))
        numbers = itertools.count(1)
        first = _engine(self._tick_ingress)
        second = _engine(self._tick_owner)
        self._add(
            first,
            callerfront.CallerFront(
                first.post,
                _settings(self.caller_address),
                numbers,
                clock.MonotonicClock(),
                bodymemory.BodyMemory(MEMORY_BYTES),
            ),
            _link(first, self._address(1), 'a', numbers),
        )
        self._add(
            second,
            _link(second, self._address(2), 'b', numbers),
            backendclient.BackendClient(
                second.post, bodymemory.BodyMemory(MEMORY_BYTES)
            ),
        )
        for front_end in self.front_ends:
            await front_end.start()

    async def stop(self):
        """Stop all front ends."""
        for front_end in self.front_ends:
            await front_end.stop()

    def _add(self, owner, *front_ends):
        owner.register_front_ends(front_ends)
        self.front_ends += front_ends

    def _address(self, number):
        return f'{frontbench.LOOPBACK}:{self.ports[number]}'

    def _tick_ingress(self, agent, now, _note):
        """Forward each request, and deliver each response."""
        agent.begin_tick(now)
        for arrived in agent.inbox.take(messages.RequestArrived):
            agent.outbox.post(
                messages.SendForward('b', self._address(2), _forward(arrived))
            )
        for ended in agent.inbox.take(messages.ExchangeEnded):
            agent.outbox.post(messages.Deliver(ended.number, ended.answer))
        for failed in agent.inbox.take(messages.ExchangeFailed):
            agent.outbox.post(
                messages.Refuse(
                    failed.number, messages.Verdict.UNKNOWN, failed.reason
                )
            )

    def _tick_owner(self, agent, now, _note):
        """Send each request to the server, and reply with its response."""
        agent.begin_tick(now)
        for arrived in agent.inbox.take(messages.ForwardArrived):
            forward = arrived.forward
            agent.outbox.post(
                messages.Send(
                    arrived.number,
                    1,
                    self._address(3),
                    's',
                    forward.head,
                    forward.body,
                    TIME_LEFT_MS,
                    fresh_connection=False,
                )
            )
        for ended in agent.inbox.take(messages.ExchangeEnded):
            agent.outbox.post(
                messages.ReplyAnswer(ended.number, ended.answer, 0, 0, 0)
            )


async def _measure_copies(path, size):
    pair = _Pair(_free_ports())
    await pair.start()
    caller = await _Caller.connect(pair.caller_address)
    await caller.call(path, MB)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    is_answered = await caller.call(path, size)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    caller.close()
    await pair.stop()
    return (peak - before) / size if is_answered else math.inf


async def _measure_lookups(uploaders):
    pair = _Pair(_free_ports())
    await pair.start()
    uploads = [
        asyncio.ensure_future(_upload_for_ever(pair.caller_address))
        for _ in range(uploaders)
    ]
    caller = await _Caller.connect(pair.caller_address)
    durations = []
    for _ in range(LOOKUP_COUNT):
        started = time.monotonic()
        await caller.call('/look', 0)
        durations.append(time.monotonic() - started)
        await asyncio.sleep(LOOKUP_PAUSE_S)
    for upload in uploads:
        upload.cancel()
    caller.close()
    await pair.stop()
    return statistics.quantiles(durations, n=QUANTILES)[-1] * clock.MS_PER_S


async def _upload_for_ever(address):
    caller = await _Caller.connect(address)
    while True:
        await caller.call(UPLOAD_PATH, UPLOAD_MB * MB)


@attrs.define
class _Caller:
    """A caller that keeps no body."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, address):
        """Return a caller with a new connection."""
        return cls(*await asyncio.open_connection(*address.split(':')))

    async def call(self, path, size):
        """Send a request with a body of this size, or ask for such a one.

        Return whether it was answered.
        """
        is_upload = path == UPLOAD_PATH
        sent_bytes = size // len(PIECE) * len(PIECE) if is_upload else 0
        self.writer.write(
            f'POST {path}/{size} HTTP/1.1\r\nHost: a\r\n'
            f'X-Request-Id: r{id(self)}\r\nX-Deadline-Ms: {TIME_LEFT_MS}\r\n'
            f'Content-Length: {sent_bytes}\r\n\r\n'.encode()
        )
        for _ in range(sent_bytes // len(PIECE)):
            self.writer.write(PIECE)
            await self.writer.drain()
        head = await self.reader.readuntil(HEAD_END)
        left_bytes = _length_of(head)
        while left_bytes:
            left_bytes -= len(await self.reader.read(left_bytes))
        return head.startswith(STATUS_LINE)

    def close(self):
        """Close the connection."""
        self.writer.close()


def _engine(run_tick):
    time_source = clock.MonotonicClock()
    return engine.Engine(
        ticking.TickState(),
        run_tick,
        time_source,
        looptimes.LoopTimes(time_source),
    )


def _link(owner, address, host_id, numbers):
    return peerlink.PeerLink(
        owner.post,
        address,
        host_id,
        numbers,
        clock.MonotonicClock(),
        bodymemory.BodyMemory(MEMORY_BYTES),
    )


def _settings(address):
    return settings.Settings(
        *itertools.repeat(address, frontbench.TEXT_SETTINGS_COUNT),
        memory_bytes=MEMORY_BYTES,
    )


def _forward(arrived):
    return messages.Forward(
        arrived.number,
        1,
        arrived.head,
        arrived.body,
        's',
        routes.Kind.UPLOAD,
        1,
        TIME_LEFT_MS,
        TIME_LEFT_MS,
    )


def _length_of(head):
    """Return the length that a head announces."""
    return int(_field(head, b'Content-Length') or 0)


def _field(head, name):
    """Return the text of a field of a head, empty without it."""
    for line in head.split(b'\r\n'):
        found, _colon, text = line.partition(b': ')
        if found.lower() == name.lower():
            return text
    return b''


def _free_ports():
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server((frontbench.LOOPBACK, 0)))
            for _ in range(PORT_COUNT)
        ]
        return [listener.getsockname()[1] for listener in listeners]
