"""One world with its HTTP front ends and a backend server that is scripted."""

import asyncio
import contextlib

from tornado import netutil

from laburnumlatch.slots import callers
from laburnumlatch.slots import calls
from laburnumlatch.slots import serverapi
from laburnumlatch.slots import ticks
from laburnumlatch.slots import upstream
from tests import worlds


def free_address():
    """Return an address on loopback that nobody listens on."""
    (socket,) = netutil.bind_sockets(0, '127.0.0.1')
    port = socket.getsockname()[1]
    socket.close()
    return f'127.0.0.1:{port}'


def request(operation='rack', more='', method='GET', key='k'):
    """Return a request whose connection closes after the answer."""
    return (
        f'{method} /call/bokun/{operation}/{key} HTTP/1.1\r\nHost: x\r\n'
        f'Connection: close\r\n{more}\r\n'
    ).encode()


def whole(body):
    """Return an answer with a length."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def replies(written):
    """Return a script that writes `written` and closes."""
    return _Replies(written).serve


async def stays_silent(_rig, _reader, _writer):
    """Serve a connection on which nothing ever comes."""
    await asyncio.Event().wait()


class _Replies:
    def __init__(self, written):
        self._written = written

    async def serve(self, _rig, _reader, writer):
        writer.write(self._written)


class Rig:
    """The front ends; `script(rig, reader, writer)` is the backend server.

    `heads` are those that the backend server received. Time passes only when
    a test says so.
    """

    def __init__(self, script=stays_silent):
        self.world = worlds.with_plan(['bokun-1'], body_bytes=10**9)
        self.now = worlds.START
        self.address = free_address()
        self.heads = []
        self.open_calls = calls.Calls()
        self._script = script
        self._soon = None
        self._server = None

    async def __aenter__(self):
        """Listen on loopback."""
        self.callers = callers.Callers(
            self.post,
            self.open_calls,
            self.address,
            serverapi.handlers(
                self.post, self.world.servers.__contains__, '127.0.0.1:1'
            ),
        )
        self.upstream = upstream.Upstream(self.post, self.open_calls, 'b')
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.world.local_server().address = f'127.0.0.1:{port}'
        await self.callers.start()
        return self

    async def __aexit__(self, *_error):
        """End what is open by its deadline and close."""
        self.pass_time(10_000)
        await self.callers.stop()
        await self.upstream.stop()
        self._server.close()

    def post(self, message):
        """Hand a message to the systems."""
        self.world.inbox.post(message)
        self._tick_soon()

    def pass_time(self, duration_ms):
        """Move the clock and run a tick."""
        self.now += duration_ms
        self._tick()

    async def connect(self, written):
        """Return the streams of a caller that has sent `written`."""
        ip_text, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(ip_text, int(port))
        writer.write(written)
        return reader, writer

    async def ask(self, written):
        """Send one request and return all bytes until the close."""
        reader, writer = await self.connect(written)
        answer = await reader.read()
        writer.close()
        return answer

    async def received(self, count):
        """Wait until the backend server has received `count` heads."""
        while len(self.heads) < count:
            await asyncio.sleep(0.005)

    def _tick_soon(self):
        if self._soon is None:
            self._soon = asyncio.get_running_loop().call_soon(self._tick)

    def _tick(self):
        self._soon = None
        ticks.tick(self.world, self.now)
        for front in (self.callers, self.upstream):
            for kind in front.kinds:
                for message in self.world.outbox.take(kind):
                    front.carry_out(message)
        due = self.world.next_wake
        if due is not None and due <= self.now:
            self._tick_soon()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
            await self._script(self, reader, writer)
            await writer.drain()
        writer.close()
