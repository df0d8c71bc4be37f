"""A front end for callers, and systems of a test that answer its requests."""

import asyncio
import contextlib
import itertools

import attrs

from laburnumlatch.core import addresses as core_addresses
from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import settings
from laburnumlatch.platform import callerfront
from tests import addresses

TEXT_SETTINGS_COUNT = 10
MEMORY_BYTES = 10**8
READ_TIMEOUT_S = 5
POLL_S = 0.005


def create_front(address, loop_times, run_tick):
    """Return a `CallerFront` and the engine that it posts to.

    `run_tick` is called as `run_tick(agent, now, note)` in each tick.
    """
    time_source = clock.MonotonicClock()
    front_engine = engine.Engine(
        ticking.TickState(), run_tick, time_source, loop_times
    )
    texts = itertools.repeat(address, TEXT_SETTINGS_COUNT)
    front = callerfront.CallerFront(
        front_engine.post,
        settings.Settings(*texts, memory_bytes=MEMORY_BYTES),
        itertools.count(1),
        time_source,
        bodymemory.BodyMemory(MEMORY_BYTES),
    )
    front_engine.register_front_ends([front])
    return front, front_engine


def get(path, *fields):
    """Return the bytes of a GET request; its ID is its path."""
    return _head('GET', path, *fields)


def put(path, body, *fields):
    """Return the bytes of a PUT request; its ID is its path."""
    return _head('PUT', path, f'Content-Length: {len(body)}', *fields) + body


def _head(method, path, *fields):
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: a.example',
        f'X-Request-Id: {path}',
        *fields,
        '\r\n',
    ]
    return '\r\n'.join(lines).encode()


@attrs.define
class Responder:
    """Front end under test, with the requests and departures that it posted.

    `arrived` holds the `RequestArrived` messages by target.
    """

    address: str
    front: callerfront.CallerFront = None
    arrived: dict = attrs.Factory(dict)
    left: list = attrs.Factory(list)
    _due: list = attrs.Factory(list)
    _engine: engine.Engine = None

    async def start(self):
        """Start the front end at the address."""
        times = looptimes.LoopTimes(clock.MonotonicClock())
        front, front_engine = create_front(self.address, times, self._run_tick)
        self.front = front
        self._engine = front_engine
        await front.start()

    def answer(self, target, body=None):
        """Answer the request for a target; its body is the target."""
        answer = messages.Answer(200, (), body or target.encode())
        self._due.append(messages.Deliver(self.arrived[target].number, answer))
        self._engine.wake()

    def refuse(self, target):
        """Refuse the request for a target as not run."""
        self._due.append(
            messages.Refuse(
                self.arrived[target].number,
                messages.Verdict.NOT_RUN,
                messages.Reason.NO_ROOM,
                100,
            )
        )
        self._engine.wake()

    def change_limits(self, limits):
        """Put new `routes.Limits` in force."""
        self._due.append(configmsg.LimitsChanged(limits))
        self._engine.wake()

    async def wait_for(self, *targets):
        """Wait until the requests for all targets have arrived."""
        await wait_until(lambda: set(targets) <= set(self.arrived))

    async def connect(self):
        """Return (reader, writer) of a new connection."""
        return await asyncio.open_connection(
            *core_addresses.split_address(self.address)
        )

    def _run_tick(self, agent, now, _note):
        agent.begin_tick(now)
        for arrived in agent.inbox.take(messages.RequestArrived):
            self.arrived[arrived.head.target] = arrived
        self.left += agent.inbox.take(messages.CallerLeft)
        for message in self._due:
            agent.outbox.post(message)
        self._due.clear()


async def wait_until(is_true):
    """Wait until `is_true()`; raise TimeoutError if that takes too long."""
    async with asyncio.timeout(READ_TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def responding():
    """Yield a started `Responder`."""
    responder = Responder(addresses.free())
    await responder.start()
    yield responder
    await responder.front.stop()


@attrs.define(frozen=True)
class Received:
    """A response as a caller received it; field names are in lower case."""

    status: int
    fields: dict
    body: bytes


async def read_response(reader):
    """Return the next response of a connection as a `Received`."""
    async with asyncio.timeout(READ_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().rstrip().split('\r\n')
        pairs = (line.split(': ', 1) for line in lines[1:])
        fields = {name.lower(): text for name, text in pairs}
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    return Received(int(lines[0].split()[1]), fields, body)


async def read_rest(reader):
    """Return all bytes up to the end of the connection."""
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await reader.read()
