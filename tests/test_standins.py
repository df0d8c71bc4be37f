"""Stand-ins: their faults must occur, or tests of failures prove nothing."""

import asyncio
import contextlib
import random

import pytest
from tornado import netutil

from laburnumlatch.experiments import grantledger
from standins import backend
from standins import costs
from standins import deployment
from standins import proxy
from standins.platform import backendapi

WORK_MS = 20
REQUEST_HEAD = 'GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
RESPONSE_TIMEOUT_S = 1


def grant(start, end, fence, until=100):
    """Return a `grantledger.Grant` of keys `start` to `end`."""
    return grantledger.Grant(start, end, fence, until)


class TestLedger:
    """The ledger decides which keys a stand-in backend server holds.

    If it accepted a stale grant, or missed keys that two servers hold, tests
    would not notice keys with two owners.
    """

    def test_grant_expires(self):
        """Guards against keys that are held past the end of their grant."""
        ledger = grantledger.Ledger()
        assert ledger.accept(grant(0, 9, 1, until=50))
        assert ledger.holds(9, 49)
        assert not ledger.holds(9, 50)
        assert not ledger.holds(10, 49)

    def test_lower_fence_is_rejected_after_higher_one_expired(self):
        """Guards against a late grant of a former owner.

        It must be rejected for the keys of a newer grant also when that one
        has expired, and be accepted for other keys.
        """
        ledger = grantledger.Ledger()
        assert ledger.accept(grant(0, 9, 5, until=1))
        assert not ledger.accept(grant(9, 20, 4))
        assert ledger.accept(grant(10, 20, 4))
        assert ledger.accept(grant(0, 9, 5))

    def test_released_part_is_removed_from_the_grant(self):
        """Guards against a release that leaves keys or takes too many."""
        ledger = grantledger.Ledger()
        ledger.accept(grant(0, 30, 1))
        ledger.release(grant(10, 19, 0))
        ranges = [(live.start, live.end) for live in ledger.live_grants(0)]
        assert ranges == [(0, 9), (20, 30)]

    def test_keys_in_two_ledgers_are_reported(self):
        """Guards against a check for two owners that never reports any."""
        ledgers = {name: grantledger.Ledger() for name in ('a', 'b', 'c')}
        ledgers['a'].accept(grant(0, 9, 1))
        ledgers['b'].accept(grant(9, 20, 2))
        ledgers['c'].accept(grant(21, 30, 3, until=5))
        overlaps = grantledger.find_overlaps(ledgers, 10)
        assert [(first, second) for first, second, _ in overlaps] == [
            ('a', 'b')
        ]
        assert not grantledger.find_overlaps(ledgers, 100)


@contextlib.asynccontextmanager
async def serving(*, is_divided=False, **profile):
    """Yield a backend server and the address at which it listens.

    `profile` has fields of a `backend.BackendProfile`.
    """
    fields = {'work_ms': WORK_MS, 'slots': 2, **profile}
    stand_in = backend.Backend(
        'b1',
        backend.BackendProfile('bokun', 'd1', is_divided, **fields),
        'a',
        print,
    )
    server = backendapi.Server(stand_in)
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    yield stand_in, sockets[0].getsockname()
    server.stop()
    await server.close_all_connections()


async def send_request(address, *fields):
    """Send a request with header `fields`; return all bytes of the response.

    Returns None if the connection is not closed in time.
    """
    reader, writer = await asyncio.open_connection(*address)
    lines = ''.join(f'{field}\r\n' for field in fields)
    writer.write(f'{REQUEST_HEAD}{lines}\r\n'.encode())
    try:
        return await asyncio.wait_for(reader.read(), RESPONSE_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        writer.transport.abort()


class TestBackend:
    """The stand-in backend server accepts, rejects and fails requests.

    A fault that does not occur would let tests of failures pass.
    """

    async def test_request_runs_once_and_response_has_a_seal(self):
        """Guards against a response without the proof that it is whole.

        A request without an ID is rejected, as it could not be counted.
        """
        async with serving() as (stand_in, address):
            response = await send_request(address, 'X-Request-Id: r1')
            assert b'X-Response-Seal' in response
            assert stand_in.run_counts['r1'] == 1
            assert b' 400 ' in await send_request(address)

    async def test_request_for_key_without_grant_is_rejected(self):
        """Guards against a server that executes requests for any key."""
        async with serving(is_divided=True) as (stand_in, address):
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            rejection = await send_request(address, *fields)
            assert b' 421 ' in rejection
            assert b'X-Not-Executed' in rejection
            stand_in.ledger.accept(grant(0, 9, 1, until=stand_in.now() + 5000))
            assert b' 200 ' in await send_request(address, *fields)
            assert stand_in.run_counts['r1'] == 1

    async def test_request_fails_when_its_grant_ends_meanwhile(self):
        """Guards against work that succeeds after its grant has ended."""
        async with serving(is_divided=True, work_ms=200) as (stand_in, address):
            stand_in.ledger.accept(grant(0, 9, 1, until=stand_in.now() + 50))
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            assert b' 500 ' in await send_request(address, *fields)

    async def test_request_succeeds_when_its_key_is_released(self):
        """Guards against a release that fails requests in progress."""
        async with serving(is_divided=True, work_ms=200) as (stand_in, address):
            stand_in.ledger.accept(grant(0, 9, 1, until=stand_in.now() + 5000))
            fields = ('X-Request-Id: r1', 'X-Shard-Key: 7')
            sent = asyncio.ensure_future(send_request(address, *fields))
            await asyncio.sleep(0.1)
            assert stand_in.release(grant(0, 9, 0))
            assert b' 200 ' in await sent

    async def test_request_ends_at_its_deadline(self):
        """Guards against a slot that stays busy after the deadline."""
        async with serving(work_ms=500) as (stand_in, address):
            fields = ('X-Request-Id: r1', 'X-Deadline-Ms: 50')
            assert b' 504 ' in await send_request(address, *fields)
            assert not stand_in.running

    async def test_request_ends_when_its_caller_disconnects(self):
        """Guards against a slot that stays busy for a caller who has gone."""
        async with serving(work_ms=60_000) as (stand_in, address):
            assert await send_request(address, 'X-Request-Id: r1') is None
            await asyncio.sleep(0.05)
            assert stand_in.run_counts['r1'] == 1
            assert not stand_in.running

    async def test_request_beyond_slots_and_queue_is_rejected(self):
        """Guards against a server that accepts more than it has room for."""
        async with serving(work_ms=100) as (stand_in, address):
            responses = await asyncio.gather(
                *(
                    send_request(address, f'X-Request-Id: r{turn}')
                    for turn in range(9)
                )
            )
            rejections = [
                response
                for response in responses
                if b'X-Not-Executed' in response
            ]
            assert len(rejections) == 9 - 2 - backend.MAX_QUEUED
            assert stand_in.run_counts.total() == 9 - len(rejections)

    @pytest.mark.parametrize('fault', ['truncate', 'close', 'silent', 'shed'])
    async def test_fault_occurs_as_often_as_its_count(self, fault):
        """Guards against faults that never occur or never stop."""
        async with serving() as (stand_in, address):
            setattr(stand_in.faults, fault, 1)
            faulty = await send_request(address, 'X-Request-Id: r1') or b''
            whole = await send_request(address, 'X-Request-Id: r2')
            assert len(faulty) < len(whole)
            assert b' 200 ' in whole

    async def test_duplicate_and_wrong_id_responses_are_sent(self):
        """Guards against faults of the response that never occur."""
        async with serving() as (stand_in, address):
            stand_in.faults.twice = 1
            duplicated = await send_request(address, 'X-Request-Id: r1')
            assert duplicated.count(b' 200 ') == 2
            stand_in.faults.wrong_id = 1
            misattributed = await send_request(address, 'X-Request-Id: r2')
            assert b'r2-other' in misattributed

    async def test_frozen_server_responds_once_it_continues(self):
        """Guards against a freeze that loses requests."""
        async with serving() as (stand_in, address):
            stand_in.faults.is_frozen = True
            sent = asyncio.ensure_future(
                send_request(address, 'X-Request-Id: r1')
            )
            await asyncio.sleep(0.2)
            assert not sent.done()
            stand_in.faults.is_frozen = False
            assert b' 200 ' in await sent


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)


async def _echo_reply(reader, writer):
    """Send a byte and return its echo: None if silent, b'' if closed."""
    writer.write(b'x')
    try:
        return await asyncio.wait_for(reader.read(1), 0.2)
    except TimeoutError:
        return None
    except ConnectionResetError:
        return b''


class TestProxy:
    """The proxy drops bytes of open connections without closing them."""

    async def test_silence_affects_only_connections_open_at_the_time(self):
        """Guards against silence that closes connections or hits new ones.

        The open connection must get no bytes and stay open, a later one must
        work until it is cut.
        """
        async with await asyncio.start_server(_echo, '127.0.0.1', 0) as echo:
            port = echo.sockets[0].getsockname()[1]
            state = proxy.Proxy(f'127.0.0.1:{port}')
            async with await proxy.listen(state, '127.0.0.1:0') as listener:
                address = listener.sockets[0].getsockname()
                old = await asyncio.open_connection(*address)
                assert await _echo_reply(*old) == b'x'
                proxy.set_faults(state, silence='down')
                assert await _echo_reply(*old) is None
                new = await asyncio.open_connection(*address)
                assert await _echo_reply(*new) == b'x'
                proxy.set_faults(state, cut=True)
                assert await _echo_reply(*new) == b''
                for _reader, writer in (old, new):
                    writer.close()


class TestCosts:
    """The cost of a request is a slope, which has no part of fixed costs."""

    def test_fixed_cost_is_not_part_of_the_slope(self):
        """Guards against fixed costs that are reported per request."""
        points = [(100, 1300), (200, 1600), (400, 2200)]
        assert costs.slope(points) == pytest.approx(3)


class TestNetworks:
    """Addresses of deployments that run at the same time."""

    async def test_two_deployments_use_different_networks(self, tmp_path):
        """Guards against a deployment that cannot bind its addresses.

        Both choose from the same sequence of networks.
        """
        deployments = [
            deployment.Deployment(tmp_path, [], rng=random.Random(1))
            for _ in range(2)
        ]
        first, second = (one.store_address for one in deployments)
        assert first != second
        for one in deployments:
            await one.stop()
        third = deployment.Deployment(tmp_path, [], rng=random.Random(1))
        assert third.store_address == first
        await third.stop()
