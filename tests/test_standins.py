"""The stand-ins must misbehave as told, or tests of failures would pass."""

import asyncio
import contextlib

import pytest
from tornado import netutil

from laburnumlatch.experiments import grantledger
from standins import backend
from standins import costs
from standins import proxy
from standins.platform import backendapi

WORK_MS = 20
HEAD = 'GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
ANSWER_S = 1


def grant(start, end, fence, until=100):
    """Return a grant."""
    return grantledger.Grant(start, end, fence, until)


class TestLedger:
    """A ledger that admits a stale grant would hide double ownership."""

    def test_grant_ends_with_its_lifetime(self):
        ledger = grantledger.Ledger()
        assert ledger.accept(grant(0, 9, 1, until=50))
        assert ledger.holds(9, 49)
        assert not ledger.holds(9, 50)
        assert not ledger.holds(10, 49)

    def test_lower_fence_stays_refused_after_the_higher_one_ended(self):
        ledger = grantledger.Ledger()
        assert ledger.accept(grant(0, 9, 5, until=1))
        assert not ledger.accept(grant(9, 20, 4))
        assert ledger.accept(grant(10, 20, 4))
        assert ledger.accept(grant(0, 9, 5))

    def test_released_part_is_gone(self):
        ledger = grantledger.Ledger()
        ledger.accept(grant(0, 30, 1))
        ledger.release(grant(10, 19, 0))
        held = [(one.start, one.end) for one in ledger.live_grants(0)]
        assert held == [(0, 9), (20, 30)]

    def test_keys_of_two_ledgers_are_found(self):
        """Guards against an oracle that finds nothing."""
        ledgers = {name: grantledger.Ledger() for name in ('a', 'b', 'c')}
        ledgers['a'].accept(grant(0, 9, 1))
        ledgers['b'].accept(grant(9, 20, 2))
        ledgers['c'].accept(grant(21, 30, 3, until=5))
        found = grantledger.find_overlaps(ledgers, 10)
        assert [(first, second) for first, second, _ in found] == [('a', 'b')]
        assert not grantledger.find_overlaps(ledgers, 100)


@contextlib.asynccontextmanager
async def serving(*, is_divided=False, **kind):
    """Yield a backend server and the address at which it listens."""
    usual = {'work_ms': WORK_MS, 'slots': 2, **kind}
    made = backend.Backend(
        'b1', backend.Kind('bokun', 'd1', is_divided, **usual), 'a', print
    )
    server = backendapi.Server(made)
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    yield made, sockets[0].getsockname()
    server.stop()
    await server.close_all_connections()


async def ask(address, *fields):
    """Return all bytes that a request gets; None if none come in time."""
    reader, writer = await asyncio.open_connection(*address)
    lines = ''.join(f'{field}\r\n' for field in fields)
    writer.write(f'{HEAD}{lines}\r\n'.encode())
    try:
        return await asyncio.wait_for(reader.read(), ANSWER_S)
    except TimeoutError:
        return None
    finally:
        writer.transport.abort()


class TestBackend:
    """Faults that do not strike would let tests of failures pass."""

    async def test_request_runs_once_and_bears_its_proof(self):
        async with serving() as (made, address):
            answer = await ask(address, 'X-Request-Id: r1')
            assert b'X-Response-Seal' in answer
            assert made.runs['r1'] == 1
            assert b' 400 ' in await ask(address)

    async def test_work_without_the_key_is_refused(self):
        async with serving(is_divided=True) as (made, address):
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            refused = await ask(address, *fields)
            assert b' 421 ' in refused
            assert b'X-Not-Executed' in refused
            made.ledger.accept(grant(0, 9, 1, until=made.now() + 5000))
            assert b' 200 ' in await ask(address, *fields)
            assert made.runs['r1'] == 1

    async def test_work_that_outlasts_its_grant_fails(self):
        async with serving(is_divided=True, work_ms=200) as (made, address):
            made.ledger.accept(grant(0, 9, 1, until=made.now() + 50))
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            assert b' 500 ' in await ask(address, *fields)

    async def test_work_on_released_keys_ends_well(self):
        async with serving(is_divided=True, work_ms=200) as (made, address):
            made.ledger.accept(grant(0, 9, 1, until=made.now() + 5000))
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            asked = asyncio.ensure_future(ask(address, *fields))
            await asyncio.sleep(0.1)
            assert made.take_back(grant(0, 9, 0))
            assert b' 200 ' in await asked

    async def test_work_stops_at_its_deadline(self):
        async with serving(work_ms=500) as (made, address):
            fields = ('X-Request-Id: r1', 'X-Deadline-Ms: 50')
            assert b' 504 ' in await ask(address, *fields)
            assert not made.running

    async def test_work_stops_when_the_caller_leaves(self):
        async with serving(work_ms=60_000) as (made, address):
            assert await ask(address, 'X-Request-Id: r1') is None
            await asyncio.sleep(0.05)
            assert made.runs['r1'] == 1
            assert not made.running

    async def test_work_beyond_slots_and_queue_is_refused(self):
        async with serving(work_ms=100) as (made, address):
            answers = await asyncio.gather(
                *(ask(address, f'X-Request-Id: r{turn}') for turn in range(9))
            )
            refused = [one for one in answers if b'X-Not-Executed' in one]
            assert len(refused) == 9 - 2 - backend.QUEUE
            assert made.runs.total() == 9 - len(refused)

    @pytest.mark.parametrize('fault', ['truncate', 'close', 'silent', 'shed'])
    async def test_fault_strikes_as_often_as_told(self, fault):
        async with serving() as (made, address):
            setattr(made.faults, fault, 1)
            struck = await ask(address, 'X-Request-Id: r1') or b''
            whole = await ask(address, 'X-Request-Id: r2')
            assert len(struck) < len(whole)
            assert b' 200 ' in whole

    async def test_extra_and_strange_answers_are_sent(self):
        async with serving() as (made, address):
            made.faults.twice = 1
            twice = await ask(address, 'X-Request-Id: r1')
            assert twice.count(b' 200 ') == 2
            made.faults.strange = 1
            strange = await ask(address, 'X-Request-Id: r2')
            assert b'r2-other' in strange

    async def test_frozen_server_answers_once_it_is_back(self):
        async with serving() as (made, address):
            made.faults.is_frozen = True
            asked = asyncio.ensure_future(ask(address, 'X-Request-Id: r1'))
            await asyncio.sleep(0.2)
            assert not asked.done()
            made.faults.is_frozen = False
            assert b' 200 ' in await asked


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)


async def _answer(reader, writer):
    """Return what the echo answers, None if silent, b'' if closed."""
    writer.write(b'x')
    try:
        return await asyncio.wait_for(reader.read(1), 0.2)
    except TimeoutError:
        return None
    except ConnectionResetError:
        return b''


class TestProxy:
    """A silent connection must look open, and new ones must work."""

    async def test_silence_hits_only_connections_open_at_the_time(self):
        async with await asyncio.start_server(_echo, '127.0.0.1', 0) as echo:
            port = echo.sockets[0].getsockname()[1]
            state = proxy.Proxy(f'127.0.0.1:{port}')
            async with await proxy.listen(state, '127.0.0.1:0') as passing:
                address = passing.sockets[0].getsockname()
                old = await asyncio.open_connection(*address)
                assert await _answer(*old) == b'x'
                proxy.set_faults(state, silence='down')
                assert await _answer(*old) is None
                new = await asyncio.open_connection(*address)
                assert await _answer(*new) == b'x'
                proxy.set_faults(state, cut=True)
                assert await _answer(*new) == b''
                for _reader, writer in (old, new):
                    writer.close()


class TestCosts:
    """A slope that contains the fixed cost overstates the growth."""

    def test_fixed_cost_is_left_out(self):
        points = [(100, 1300), (200, 1600), (400, 2200)]
        assert costs.slope(points) == pytest.approx(3)
