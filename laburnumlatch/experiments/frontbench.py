"""Measures the processor time of the front end for callers."""

import asyncio
import itertools
import socket
import time

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.experiments import timing
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import settings
from laburnumlatch.platform import callerfront

DEPTHS = (1, 4, 16)
REQUEST_COUNT = 2000
LOOPBACK = '127.0.0.1'
MEMORY_BYTES = 256_000_000
ANSWER_BYTES = 256
TEXT_SETTINGS_COUNT = 10
REQUEST = (
    b'GET /look/x HTTP/1.1\r\n'
    b'Host: service.example\r\n'
    b'X-Request-Id: 9c41d07be2a35f68\r\n'
    b'X-Deadline-Ms: 1500\r\n'
    b'Accept: application/json\r\n'
    b'\r\n'
)
STATUS_OK = 200
ANSWER = messages.Answer(
    STATUS_OK, (('Content-Type', 'application/json'),), bytes(ANSWER_BYTES)
)


def request_us(depth):
    """Return us for one request, `depth` of which are pipelined at a time.

    This includes the caller, which writes and reads on the same loop, and a
    system that answers every request in the tick in which it arrives.
    """
    with asyncio.Runner() as runner:
        return runner.run(_measure(depth))


def _answer_all(agent, now, _note):
    agent.begin_tick(now)
    for arrived in agent.inbox.take(messages.RequestArrived):
        agent.outbox.post(messages.Deliver(arrived.number, ANSWER))


async def _measure(depth):
    address = f'{LOOPBACK}:{_free_port()}'
    time_source = clock.MonotonicClock()
    front_engine = engine.Engine(
        ticking.TickState(),
        _answer_all,
        time_source,
        looptimes.LoopTimes(time_source),
    )
    front = callerfront.CallerFront(
        front_engine.post,
        settings.Settings(
            *itertools.repeat(address, TEXT_SETTINGS_COUNT),
            memory_bytes=MEMORY_BYTES,
        ),
        itertools.count(1),
        time_source,
        bodymemory.BodyMemory(MEMORY_BYTES),
    )
    front_engine.register_front_ends([front])
    await front.start()
    reader, writer = await asyncio.open_connection(*address.split(':'))
    started = time.process_time()
    for _ in range(REQUEST_COUNT // depth):
        writer.write(REQUEST * depth)
        for _ in range(depth):
            await reader.readuntil(ANSWER.body)
    spent_s = time.process_time() - started
    writer.close()
    await front.stop()
    return spent_s * timing.US_PER_S / REQUEST_COUNT


def _free_port():
    with socket.create_server((LOOPBACK, 0)) as listener:
        return listener.getsockname()[1]
