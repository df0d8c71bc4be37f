"""Bounds on what callers hold: in memory, in descriptors, in one pass."""

import asyncio
import itertools

import attrs
import pytest

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.mesh import processmsg
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings
from laburnumlatch.platform import calleraccounts
from laburnumlatch.platform import callerfront
from laburnumlatch.platform import callerguard
from laburnumlatch.platform import readahead
from tests import fronts

PROCESS_BYTES = 100_000_000
# 60 connections of callers.
DESCRIPTORS = callerguard.FILE_DESCRIPTORS + 100
MAX_CONNECTIONS = 60
CHECKS = 20
HELD_BYTES = 1_000_000
START = b'GET /begun HTTP/1.1\r\nHost: a.example\r\nX-Long: '


@attrs.define(eq=False)
class FakeConnection:
    """A connection as the guard sees it."""

    number: int
    account: calleraccounts.ConnectionAccount
    active_at: int = 0
    is_waiting: bool = False
    is_closed: bool = False

    def close(self):
        self.is_closed = True
        self.account.adjust(-HELD_BYTES)


@attrs.define
class Guarded:
    """A guard, its connections and what it posted."""

    memory: bodymemory.BodyMemory = attrs.Factory(
        lambda: bodymemory.BodyMemory(PROCESS_BYTES)
    )
    posted: list = attrs.Factory(list)
    connections: list[FakeConnection] = attrs.Factory(list)
    guard: callerguard.CallerGuard = None

    def __attrs_post_init__(self):
        """Create the guard."""
        texts = itertools.repeat('', fronts.TEXT_SETTINGS_COUNT)
        self.guard = callerguard.CallerGuard(
            settings.Settings(
                *texts,
                memory_bytes=PROCESS_BYTES,
                max_descriptors=DESCRIPTORS,
            ),
            self.memory,
            clock.ManualClock(),
            self.posted.append,
        )

    def connect(self, ip_text='127.0.0.1', **fields):
        """Return a new connection, which holds `HELD_BYTES` of bodies."""
        account = self.guard.open_account(ip_text)
        account.adjust(HELD_BYTES)
        connection = FakeConnection(len(self.connections), account, **fields)
        self.connections.append(connection)
        self.guard.add(connection)
        return connection

    def pass_time(self, *moving):
        """Let all connections rest for some checks but those in `moving`."""
        for _ in range(CHECKS):
            for connection in moving:
                connection.account.moved_bytes += HELD_BYTES
            self.guard.check()


class TestMemory:
    """Connections that are closed when there is no room."""

    def test_who_moves_nothing_is_closed_first(self):
        """Guards against ordinary uploads that give way to idle callers."""
        guarded = Guarded()
        idle, waiting, moving = (guarded.connect() for _ in range(3))
        waiting.is_waiting = True
        guarded.pass_time(moving)
        guarded.memory.hold(PROCESS_BYTES // 4 - 3 * HELD_BYTES)
        newcomer = guarded.connect()
        guarded.memory.hold(-HELD_BYTES)
        assert guarded.guard.has_room_for_body(newcomer.account, HELD_BYTES)
        closed = [
            connection.is_closed for connection in (idle, waiting, moving)
        ]
        assert closed == [True, False, False]
        guarded.guard.check()
        assert guarded.posted == [processmsg.CallersCut('memory', 1)]

    def test_nobody_is_closed_while_there_is_room(self):
        """Guards against callers who are cut off in calm."""
        guarded = Guarded()
        idle = guarded.connect()
        guarded.pass_time()
        assert guarded.guard.has_room_for_body(idle.account, HELD_BYTES)
        assert guarded.guard.has_room(idle.account, HELD_BYTES)
        assert not idle.is_closed

    def test_nobody_is_closed_for_a_body_that_never_fits(self):
        """Guards against callers who are cut off for a refused request."""
        guarded = Guarded()
        idle = guarded.connect()
        newcomer = guarded.connect()
        guarded.pass_time(newcomer)
        assert not guarded.guard.has_room_for_body(
            newcomer.account, PROCESS_BYTES // 2
        )
        assert not idle.is_closed

    def test_one_address_leaves_room_for_others(self):
        """Guards against one caller address that shuts out all others."""
        guarded = Guarded()
        greedy = guarded.connect('127.0.0.1', is_waiting=True)
        other = guarded.connect('127.0.0.2')
        while guarded.guard.has_room(greedy.account, HELD_BYTES):
            greedy.account.adjust_small(HELD_BYTES)
        assert guarded.memory.fits_small(HELD_BYTES)
        assert guarded.guard.has_room(other.account, HELD_BYTES)
        assert not other.is_closed

    def test_long_bodies_leave_room_for_heads(self):
        """Guards against uploads in memory that keep lookups out."""
        guarded = Guarded()
        connection = guarded.connect()
        guarded.memory.hold(PROCESS_BYTES // 4)
        assert not guarded.memory.fits_request(HELD_BYTES)
        assert guarded.guard.has_room(connection.account, HELD_BYTES)

    def test_resting_connections_are_left_alone(self):
        """Guards against kept connections that are closed for a long body."""
        guarded = Guarded()
        resting = guarded.connect()
        resting.account.adjust(-HELD_BYTES)
        greedy = guarded.connect()
        guarded.pass_time()
        guarded.memory.hold(PROCESS_BYTES // 4)
        assert not guarded.guard.has_room_for_body(greedy.account, HELD_BYTES)
        assert not guarded.guard.has_room(
            greedy.account, guarded.memory.max_small_bytes
        )
        assert not resting.is_closed
        assert not greedy.is_closed

    def test_all_that_was_held_is_freed(self):
        """Guards against memory that is counted for ever."""
        guarded = Guarded()
        for _ in range(3):
            connection = guarded.connect()
            connection.close()
            guarded.guard.remove(connection)
            guarded.guard.remove(connection)
        assert not guarded.memory.held_bytes


class TestDescriptors:
    """Connections beyond the descriptors that callers may have."""

    def test_quiet_connections_of_the_busiest_address_are_closed(self):
        """Guards against connections that leave others no descriptor."""
        guarded = Guarded()
        other = guarded.connect('127.0.0.2')
        waiting = guarded.connect(is_waiting=True)
        quiet = [
            guarded.connect(active_at=number)
            for number in range(MAX_CONNECTIONS - 1)
        ]
        assert quiet[0].is_closed
        assert not other.is_closed
        assert not waiting.is_closed
        assert not quiet[-1].is_closed
        assert len(guarded.guard.connections) <= MAX_CONNECTIONS

    def test_newest_is_closed_if_all_wait(self):
        """Guards against requests that are lost for a new connection."""
        guarded = Guarded()
        all_waiting = [
            guarded.connect(is_waiting=True) for _ in range(MAX_CONNECTIONS + 1)
        ]
        closed = [
            connection for connection in all_waiting if connection.is_closed
        ]
        assert closed == all_waiting[-1:]


class TestFront:
    """The front end at its bounds."""

    async def test_request_without_room_is_refused_as_not_run(self):
        """Guards against a request that gets no answer at the bound."""
        async with fronts.responding() as responder:
            memory = responder.front.memory
            memory.adjust_small(memory.max_small_bytes)
            reader, writer = await responder.connect()
            writer.write(fronts.get('/a'))
            response = await fronts.read_response(reader)
            assert response.status == 503
            assert float(response.fields['retry-after']) > 0
            assert not responder.arrived

    async def test_too_large_body_closes_nobody(self):
        """Guards against callers who are cut off for a refused request."""
        async with fronts.responding() as responder:
            responder.change_limits(routes.Limits(body_bytes=1000))
            asked = []
            responder.front.guard.has_room_for_body = lambda _account, size: (
                asked.append(size) or True
            )
            reader, writer = await responder.connect()
            writer.write(fronts.put('/a', bytes(1001)))
            response = await fronts.read_response(reader)
            writer.close()
        assert response.status == 413
        assert not asked

    async def test_raised_limit_holds_for_open_connections(self):
        """Guards against 431 for heads that the configuration allows."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            writer.write(fronts.get('/a'))
            await responder.wait_for('/a')
            responder.change_limits(routes.Limits(header_bytes=60_000))
            responder.answer('/a')
            assert (await fronts.read_response(reader)).status == 200
            writer.write(fronts.get('/b', f'X-Long: {"x" * 50_000}'))
            await responder.wait_for('/b')
            writer.close()

    @pytest.mark.parametrize('digits', [400, 5000])
    async def test_numbers_of_many_digits_are_bounded(self, digits):
        """Guards against numbers that fail where they are converted.

        Python reads no text of more than 4,300 digits, which left a request
        open for ever, and no float takes 400, which ended a tick.
        """
        number = '9' * digits
        async with fronts.responding() as responder:
            _reader, writer = await responder.connect()
            fields = f'X-Deadline-Ms: {number}', f'X-Shard-Key: {number}'
            writer.write(fronts.get('/a', *fields))
            await responder.wait_for('/a')
            writer.close()
            arrived = responder.arrived['/a']
        assert arrived.time_left_ms == callerfront.MAX_NUMBER
        assert arrived.head.key is None

    async def test_partial_head_is_counted_and_freed(self):
        """Guards against heads without end that nothing counts."""
        async with fronts.responding() as responder:
            memory = responder.front.memory
            _reader, writer = await responder.connect()
            writer.write(b''.join((START, b'x' * 9000)))
            await fronts.wait_until(lambda: memory.held_bytes > 5000)
            writer.close()
            await fronts.wait_until(lambda: not memory.held_bytes)

    async def test_empty_lines_are_no_activity(self):
        """Guards against empty lines that keep a connection open."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            writer.write(b'\r\n' * 100)
            await fronts.wait_until(lambda: responder.front.guard.connections)
            (connection,) = responder.front.guard.connections
            before = connection.active_at
            await asyncio.sleep(0.05)
            writer.write(b'\r\n' * 100)
            await asyncio.sleep(0.05)
            assert connection.active_at == before
            writer.write(b'\r\n' * responder.front.max_head_bytes)
            response = await fronts.read_response(reader)
            assert response.status == 400

    async def test_unread_response_counts_to_its_end(self):
        """Guards against a response that is held for its last bytes."""
        async with fronts.responding() as responder:
            memory = responder.front.memory
            reader, writer = await responder.connect()
            writer.transport.pause_reading()
            writer.write(fronts.get('/a'))
            await responder.wait_for('/a')
            responder.answer('/a', bytes(8_000_000))
            await fronts.wait_until(lambda: memory.held_bytes > 8_000_000)
            writer.transport.resume_reading()
            response = await fronts.read_response(reader)
            assert len(response.body) == 8_000_000
            await fronts.wait_until(lambda: memory.held_bytes < 20_000)


class TestReadAhead:
    """Bytes that wait to be parsed."""

    def test_many_short_arrivals_are_joined(self):
        """Guards against single bytes that take hundreds of bytes each."""
        unparsed = readahead.ReadAhead()
        for number in range(9000):
            unparsed.append(bytes((number % 256,)), number)
        pieces = []
        while unparsed:
            pieces.append(unparsed.take(2000)[0])
        assert len(pieces) < 100
        assert b''.join(pieces) == bytes(number % 256 for number in range(9000))
