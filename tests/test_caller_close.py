"""Tests of callers that disconnect early or never finish a request."""

import asyncio
import socket
import time

import attrs
import pytest

from laburnumlatch.core import addresses as core_addresses
from laburnumlatch.core import clock
from laburnumlatch.core import looptimes
from laburnumlatch.mesh import messages
from laburnumlatch.platform import callerconnection
from tests import addresses
from tests import fronts

BLOCKED_S = 0.2
SETTLE_S = 0.3
GET = b'GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n'
PUT = b'PUT /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 60000\r\n\r\n'
REQUESTS = (GET, PUT + b'x' * 60_000)


@attrs.define
class TickRecorder:
    """Records which kinds of messages each tick takes from the inbox."""

    kinds_by_tick: list = attrs.Factory(list)

    def run(self, agent, now, note):
        agent.begin_tick(now)
        kinds = (messages.RequestArrived, messages.CallerLeft)
        self.kinds_by_tick.append([
            kind for kind in kinds if agent.inbox.take(kind)
        ])
        note('test')


async def kinds_after_blocked_loop(loop_times, request):
    """Block the loop while a caller has sent a request and disconnected.

    Return the kinds of messages that each tick took.
    """
    recorder = TickRecorder()
    address = addresses.free()
    front, _engine = fronts.create_front(address, loop_times, recorder.run)
    await front.start()
    caller = socket.create_connection(core_addresses.split_address(address))
    await asyncio.sleep(SETTLE_S)
    # The agent has accepted the connection, but its loop reads nothing now.
    caller.sendall(request)
    caller.close()
    time.sleep(BLOCKED_S)
    await asyncio.sleep(SETTLE_S)
    await front.stop()
    return recorder.kinds_by_tick


class TestCloseAfterRequest:
    """A close that arrives with its request while the loop is blocked."""

    @pytest.mark.parametrize('request_bytes', REQUESTS, ids=['get', 'put'])
    def test_request_and_close_are_in_one_tick(self, request_bytes):
        """Guards against starting work for a caller that has disconnected.

        The close is read only after the request, in a later pass.
        """
        loop_times = looptimes.LoopTimes(clock.MonotonicClock())
        selector = looptimes.TimedSelector(loop_times)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            kinds_by_tick = runner.run(
                kinds_after_blocked_loop(loop_times, request_bytes)
            )
        both = [messages.RequestArrived, messages.CallerLeft]
        assert [kinds for kinds in kinds_by_tick if kinds] == [both]


class TestEarlyRejection:
    """A request that is rejected before its body is complete."""

    async def test_connection_is_closed_after_the_linger_time(self):
        """Guards against a slow sender that keeps its connection open.

        The caller announces a body above the limit and sends none of it.
        """
        address = addresses.free()
        front, _engine = fronts.create_front(
            address,
            looptimes.LoopTimes(clock.MonotonicClock()),
            TickRecorder().run,
        )
        await front.start()
        reader, writer = await asyncio.open_connection(
            *core_addresses.split_address(address)
        )
        writer.write(
            b'PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n'
        )
        limit_s = callerconnection.LINGER_MS / clock.MS_PER_S + 1
        response = await asyncio.wait_for(reader.read(), limit_s)
        assert response.startswith(b'HTTP/1.1 413')
        assert response.count(b'HTTP/1.1') == 1
        writer.close()
        await front.stop()
