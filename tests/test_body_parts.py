"""Long bodies between agents: in parts, in turns, and counted in memory."""

import asyncio
import contextlib
import random

import attrs
import pytest

from laburnumlatch.core import bodymemory
from laburnumlatch.core import errors
from laburnumlatch.core import wire
from laburnumlatch.mesh import bodyparts
from laburnumlatch.mesh import deflating
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from standins import proxy
from tests import addresses
from tests import test_mesh_peerlink

PART = bodyparts.PART_BYTES
LONG_BODY = random.Random(2).randbytes(20 * PART + 17)
OTHER_BODY = random.Random(4).randbytes(5 * PART)
MEMORY_BYTES = 10_000_000
# The body takes four seconds, five times as long as a silent connection lasts.
SLOW_BODY = random.Random(3).randbytes(8_000_000)
SLOW_BYTES_PER_S = 2_000_000
forward = test_mesh_peerlink.forward


@contextlib.asynccontextmanager
async def linked():
    """Yield two agents, and the proxy in front of agent `b`."""
    agents = test_mesh_peerlink.AgentPair()
    await agents.start_at(addresses.free(), addresses.free())
    path = proxy.Proxy(agents.ports['b'])
    proxy_address = addresses.free()
    async with await proxy.listen(path, proxy_address):
        agents.ports['b'] = proxy_address
        yield agents, path
        await agents.stop()


async def exchange(agents, number, body, answer_body):
    """Send a request with a body; return how it arrived and was answered."""
    agents.send(forward(number, body))
    arrived = await agents.wait_for('b', messages.ForwardArrived)
    answer = messages.Answer(200, (), answer_body)
    agents.links['b'].carry_out(
        messages.ReplyAnswer(arrived.number, answer, 1, 2, 3)
    )
    ended = await agents.wait_for('a', messages.ExchangeEnded)
    return arrived, ended


async def begin_slow_body(agents, path, number):
    """Send a slow body; return once `b` has begun to receive it.

    At the full speed of loopback it would be whole within 10 ms, before the
    test has looked again.
    """
    path.bytes_per_s = SLOW_BYTES_PER_S
    agents.send(forward(number, SLOW_BODY))
    for _ in range(test_mesh_peerlink.MAX_POLLS):
        if agents.memories['b'].held_bytes:
            return
        await asyncio.sleep(test_mesh_peerlink.POLL_INTERVAL_S)
    raise AssertionError('link b has not begun to receive the body')


class TestTurns:
    """The bodies that are being sent on one connection."""

    def test_bodies_take_turns(self):
        """Guards against a long body in front of all others."""
        outgoing = bodyparts.OutgoingBodies()
        outgoing.add('long', bytes(3 * PART), is_stored=True)
        outgoing.add('short', bytes(PART + 1), is_stored=False)
        keys = []
        while len(outgoing):
            key, part, _is_stored = outgoing.take_part()
            assert len(part) <= PART
            keys.append(key)
        assert keys == ['long', 'short', 'long', 'short', 'long']

    def test_body_counts_until_its_last_part(self):
        """Guards against memory that is promised twice, or never again."""
        memory = bodymemory.BodyMemory(MEMORY_BYTES)
        outgoing = bodyparts.OutgoingBodies(memory)
        outgoing.add('a', bytes(2 * PART), is_stored=False)
        outgoing.add('b', bytes(2 * PART), is_stored=False)
        outgoing.take_part()
        assert memory.held_bytes == 4 * PART
        outgoing.drop('b')
        outgoing.take_part()
        assert not memory.held_bytes

    def test_more_than_was_announced_is_an_error(self):
        """Guards against a body that grows without bound."""
        incoming = bodyparts.IncomingBodies(bodymemory.BodyMemory(MEMORY_BYTES))
        incoming.begin('a', 'message', 5)
        assert incoming.add('a', b'abc') is None
        with pytest.raises(errors.WireError):
            incoming.add('a', b'def')

    def test_parts_of_a_dropped_body_are_ignored(self):
        """Guards against parts that come behind a cancellation."""
        memory = bodymemory.BodyMemory(MEMORY_BYTES)
        incoming = bodyparts.IncomingBodies(memory)
        incoming.begin('a', 'message', 5)
        incoming.drop('a')
        assert incoming.add('a', b'abcde') is None
        assert not memory.held_bytes


class TestDeflateStream:
    """Bytes that are compressed, and others in between that are not."""

    def test_stored_bytes_stay_whole(self):
        """Guards against a stream that refers to bytes it does not have."""
        deflater = deflating.Deflater()
        inflate = deflating.inflater()
        text = b'the same words again and again ' * 40
        for round_number in range(5):
            noise = random.Random(round_number).randbytes(150_000)
            packed = b''.join((
                *deflater.encode(text),
                *deflater.store(b'head', noise),
                *deflater.encode(text),
            ))
            assert inflate.decompress(packed) == b''.join((
                text,
                b'head',
                noise,
                text,
            ))

    def test_only_long_bodies_that_do_not_compress_are_stored(self):
        """Guards against traffic between failure domains for nothing."""
        assert deflating.is_worth_storing(LONG_BODY)
        assert not deflating.is_worth_storing(bytes(len(LONG_BODY)))
        assert not deflating.is_worth_storing(LONG_BODY[:4000])


class TestLongBodies:
    """Requests and responses with long bodies, over real connections."""

    async def test_both_arrive_unchanged(self):
        """Guards against bodies that change or get lost in parts."""
        async with linked() as (agents, _path):
            arrived, ended = await exchange(agents, 5, LONG_BODY, OTHER_BODY)
            assert arrived.forward == forward(5, LONG_BODY)
            assert ended.answer.body == OTHER_BODY
            held = [memory.held_bytes for memory in agents.memories.values()]
            assert held == [0, 0]

    async def test_connection_that_moves_bytes_is_not_silent(self):
        """Guards against an upload over a slow link that ends as unknown.

        No data came from the other agent for as long as it took, so the
        connection was closed after 0.8 s.
        """
        async with linked() as (agents, path):
            await exchange(agents, 4, b'', b'')
            path.bytes_per_s = SLOW_BYTES_PER_S
            agents.send(forward(5, SLOW_BODY))
            arrived = await agents.wait_for(
                'b', messages.ForwardArrived, polls=1500
            )
            assert arrived.forward.body == SLOW_BODY
            assert arrived.waited_ms > 1000

    async def test_other_requests_pass_a_long_body(self):
        """Guards against a lookup that waits until an upload is over."""
        async with linked() as (agents, path):
            await exchange(agents, 4, b'', b'')
            await begin_slow_body(agents, path, 5)
            agents.send(forward(6))
            arrived = await agents.wait_for('b', messages.ForwardArrived)
            assert arrived.forward.number == 6
            assert path.forwarded_bytes[proxy.UP] < len(SLOW_BODY)

    async def test_part_of_a_body_that_was_sent_has_not_run(self):
        """Guards against an unknown outcome of what never arrived whole."""
        async with linked() as (agents, path):
            await exchange(agents, 4, b'', b'')
            proxy.pause(path, proxy.UP)
            agents.send(forward(5, SLOW_BODY))
            await asyncio.sleep(0.1)
            proxy.set_faults(path, cut=True)
            failed = await agents.wait_for('a', messages.ExchangeFailed)
            assert failed.phase == messages.Phase.UNSENT
            assert not agents.memories['b'].held_bytes

    async def test_body_without_room_is_refused_as_not_run(self):
        """Guards against an agent that takes more than its memory holds."""
        async with linked() as (agents, _path):
            room = bodymemory.BodyMemory(len(SLOW_BODY))
            agents.links['b'].memory = room
            await exchange(agents, 4, b'', b'')
            agents.send(forward(5, SLOW_BODY))
            failed = await agents.wait_for('a', messages.ExchangeFailed)
            assert failed.phase == messages.Phase.REFUSED
            assert failed.verdict == messages.Verdict.NOT_RUN
            assert failed.reason == messages.Reason.NO_MEMORY
            # The parts that come behind the refusal disturb nothing.
            await exchange(agents, 6, b'', b'')
            assert not room.held_bytes

    async def test_canceled_body_is_forgotten(self):
        """Guards against memory that stays promised to nobody."""
        async with linked() as (agents, path):
            await exchange(agents, 4, b'', b'')
            await begin_slow_body(agents, path, 5)
            agents.links['a'].carry_out(messages.CancelForward('b', 5, 1))
            path.bytes_per_s = 0
            arrived, _ended = await exchange(agents, 6, b'', b'')
            assert arrived.forward.number == 6
            assert not agents.memories['b'].held_bytes

    async def test_earlier_builds_get_bodies_whole(self):
        """Guards against parts that the other agent cannot read.

        Agents of earlier builds do not say that they can.
        """
        async with linked() as (agents, _path):
            agents.links['b'].hello = lambda: peermsg.Hello('b', 1)
            arrived, _ended = await exchange(agents, 5, LONG_BODY, b'')
            assert arrived.forward == forward(5, LONG_BODY)


@attrs.define(frozen=True)
class EarlierHello:
    """The greeting of an agent that knows nothing of bodies in parts."""

    host_id: str
    created_at: int


class TestEarlierBuilds:
    """Greetings of agents of two builds, which tell them apart."""

    def test_new_fields_are_left_out_or_ignored(self):
        """Guards against agents of two builds that refuse each other."""
        earlier = wire.Codec((EarlierHello,))
        present = wire.Codec(peermsg.KINDS)
        old_hello = EarlierHello('a', 7)
        received = present.decode(earlier.encode(old_hello))
        assert received == peermsg.Hello('a', 7, reads_parts=False)
        hello = peermsg.Hello('a', 7, reads_parts=True)
        assert earlier.decode(present.encode(hello)) == old_hello
