"""Callers that close their connection while the agent does not read."""

import asyncio
import itertools
import socket
import time

import attrs
import pytest

from laburnumlatch.core import addresses as core_addresses
from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import settings
from laburnumlatch.platform import callerfront
from tests import addresses

HELD_S = 0.2
REST_S = 0.3
TEXT_SETTINGS = 10
GET = b'GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n'
PUT = b'PUT /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 60000\r\n\r\n'
REQUESTS = (GET, PUT + b'x' * 60_000)


@attrs.define
class Ticks:
    """A tick that keeps the classes of the messages of each tick."""

    seen: list = attrs.Factory(list)

    def run(self, agent, now, note):
        agent.begin_tick(now)
        kinds = (messages.RequestArrived, messages.CallerLeft)
        self.seen.append([kind for kind in kinds if agent.inbox.take(kind)])
        note('test')


def front_of(address, times, ticks):
    """Return a `CallerFront` whose messages come to `ticks`."""
    time_source = clock.MonotonicClock()
    built = engine.Engine(ticking.TickState(), ticks.run, time_source, times)
    texts = itertools.repeat(address, TEXT_SETTINGS)
    own = settings.Settings(*texts, memory_bytes=10**8)
    return callerfront.CallerFront(
        built.post, own, itertools.count(1), time_source
    )


async def held_up(times, request):
    """Hold the loop while callers send a request and leave."""
    ticks = Ticks()
    address = addresses.free()
    front = front_of(address, times, ticks)
    await front.start()
    caller = socket.create_connection(core_addresses.split_address(address))
    await asyncio.sleep(REST_S)
    # The agent has accepted the connection, and then reads nothing.
    caller.sendall(request)
    caller.close()
    time.sleep(HELD_S)
    await asyncio.sleep(REST_S)
    await front.stop()
    return ticks.seen


class TestCloseThatWaits:
    """A close that waits behind its request while the agent is held up."""

    @pytest.mark.parametrize('request_bytes', REQUESTS, ids=['get', 'put'])
    def test_request_is_taken_in_with_its_close(self, request_bytes):
        """Guards against work that starts for a caller who has gone."""
        times = looptimes.LoopTimes(clock.MonotonicClock())
        selector = looptimes.TimedSelector(times)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            seen = runner.run(held_up(times, request_bytes))
        both = [messages.RequestArrived, messages.CallerLeft]
        assert [kinds for kinds in seen if kinds] == [both]


class TestEarlyRefusal:
    """A body that is refused before it is in."""

    async def test_sender_without_end_is_closed(self):
        """Guards against a connection that a slow sender keeps for ever."""
        address = addresses.free()
        front = front_of(
            address, looptimes.LoopTimes(clock.MonotonicClock()), Ticks()
        )
        await front.start()
        reader, writer = await asyncio.open_connection(
            *core_addresses.split_address(address)
        )
        writer.write(
            b'PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n'
        )
        limit_s = callerfront.LINGER_S + 1
        told = await asyncio.wait_for(reader.read(), limit_s)
        assert told.startswith(b'HTTP/1.1 413')
        assert told.count(b'HTTP/1.1') == 1
        writer.close()
        await front.stop()
