"""The stand-ins: tests judge by them, so they must not be wrong."""

import asyncio
import contextlib
import json
import socket
import types

import pytest
from tornado import netutil

from laburnumlatch.core import clock
from standins import backend
from standins import backendapi
from standins import costs
from standins import grants
from standins import processes
from standins import proxy

START = 1000
WORK = types.MappingProxyType({
    'Slot': '3',
    'Fence-Token': '7',
    'Request-Id': 'r1',
})


def ledger(*given):
    """Return a ledger with grants given at START: (slot, token, ms)."""
    filled = grants.Ledger()
    for slot, token, duration_ms in given:
        grants.give(filled, START, slot, token, START + duration_ms)
    return filled


class TestLedger:
    """A ledger that admits a stale token would hide double ownership."""

    def test_work_needs_exactly_the_live_token(self):
        filled = ledger((3, 7, 100))
        allowed = [
            token
            for token in (6, 7, 8)
            if grants.allows(filled, START + 99, 3, token)
        ]
        assert allowed == [7]
        assert not grants.allows(filled, START + 99, 4, 7)

    def test_grant_read_late_admits_nothing(self):
        # A server that was frozen reads a grant whose lease has ended.
        filled = grants.Ledger()
        assert grants.give(filled, START + 500, 3, 7, START + 100)
        assert not grants.allows(filled, START + 500, 3, 7)
        assert not filled.intervals

    def test_grant_ends_with_its_lifetime(self):
        assert not grants.allows(ledger((3, 7, 100)), START + 100, 3, 7)

    def test_older_token_stays_refused_after_the_newer_one_ended(self):
        filled = ledger((3, 8, 100))
        assert not grants.give(filled, START + 500, 3, 7, START + 600)
        assert not grants.allows(filled, START + 500, 3, 7)

    def test_revocation_ends_the_interval(self):
        filled = ledger((3, 7, 100))
        assert grants.give(filled, START + 40, 3, 7, 0)
        assert not grants.allows(filled, START + 40, 3, 7)
        assert filled.intervals == [grants.Interval(3, 7, START, START + 40)]

    def test_renewal_extends_and_new_token_ends_the_interval(self):
        filled = ledger((3, 7, 100))
        grants.give(filled, START + 50, 3, 7, START + 150)
        grants.give(filled, START + 80, 3, 8, START + 180)
        assert filled.intervals == [
            grants.Interval(3, 7, START, START + 80),
            grants.Interval(3, 8, START + 80, START + 180),
        ]


class TestLoad:
    """A load report that is always right would not test distrust of it."""

    def test_load_lags_and_misleads_on_request(self):
        manual = clock.ManualClock(START)
        served = backend.Backend(backend.Kind('s', 'moti'), manual)
        for number in range(3):
            backend.begin(served, f'r{number}', 0, 0)
        loads = [backend.reported_load(served)]
        backend.set_faults(served, {'load_lag_ms': 100})
        loads.append(backend.reported_load(served))
        manual.advance(100)
        loads.append(backend.reported_load(served))
        backend.set_faults(served, {'load_fixed': 1})
        loads.append(backend.reported_load(served))
        assert loads == [0.5, 0, 0.5, 1]


@contextlib.asynccontextmanager
async def listening(server):
    """Yield the address at which a tornado HTTP server listens."""
    (bound,) = netutil.bind_sockets(0, '127.0.0.1', socket.AF_INET)
    server.add_sockets([bound])
    try:
        yield f'127.0.0.1:{bound.getsockname()[1]}'
    finally:
        server.stop()
        await server.close_all_connections()


def serve(steps, **fields):
    """Run `steps(state, url)` against a backend server; return the state."""
    return asyncio.run(_serve(steps, fields))


async def _serve(steps, fields):
    fields = {'service_ms': 1, 'checks_grants': False} | fields
    state = backend.Backend(backend.Kind('s', 'bokun', **fields))
    async with listening(backendapi.Server(state)) as address:
        await steps(state, f'http://{address}')
    return state


async def fenced(state, url):
    refused = await processes.ask(f'{url}/rack/k', headers=WORK)
    assert (refused.code, refused.headers['Fence-Refused']) == (409, 'true')
    expires_ms = state.time_source.now() + 5000
    grant = {'slot': 3, 'token': 7, 'expires_ms': expires_ms}
    body = json.dumps({'grants': [grant]})
    assert (await processes.ask(f'{url}/grants', 'POST', body=body)).code == 200
    assert (await processes.ask(f'{url}/rack/k', headers=WORK)).code == 200
    body = json.dumps({'grants': [grant | {'token': 6}]})
    outdated = await processes.ask(f'{url}/grants', 'POST', body=body)
    assert (outdated.code, json.loads(outdated.body)) == (409, {'refused': [3]})


async def too_slow(state, url):
    late = WORK | {'Deadline-Ms': '50'}
    assert (await processes.ask(f'{url}/rack/k', headers=late)).code == 504


async def leave_early(state, url):
    with contextlib.suppress(OSError):
        await processes.ask(f'{url}/rack/k', request_timeout=0.1, headers=WORK)
    await processes.until('stopped', lambda: _is_idle(state))


async def _is_idle(state):
    return not state.running


async def overload(state, url):
    answers = await asyncio.gather(
        *(processes.ask(f'{url}/rack/k', headers=WORK) for _ in range(3))
    )
    assert sorted(answer.code for answer in answers) == [200, 200, 503]
    (shed,) = [answer for answer in answers if answer.code == 503]
    assert shed.headers['Retry-After']


async def fail_once(state, url):
    for fault in ('close', 'truncate'):
        backend.set_faults(state, {fault: 1})
        try:
            answer = await processes.ask(f'{url}/rack/k', headers=WORK)
        except OSError:
            continue
        assert answer.code == 599, 'a broken answer looked whole'
    assert (await processes.ask(f'{url}/rack/k', headers=WORK)).code == 200


async def bad_input(state, url):
    for path, body in (('faults', '{"nope": 1}'), ('grants', '[]')):
        answer = await processes.ask(f'{url}/{path}', 'POST', body=body)
        assert answer.code == 400


class TestBackend:
    """Faults that do not strike would let tests of failures pass."""

    def test_work_without_the_granted_token_is_refused(self):
        state = serve(fenced, checks_grants=True)
        assert state.counts.runs == {'r1': 1}

    def test_work_stops_at_its_deadline(self):
        assert serve(too_slow, service_ms=5000).counts.expired == 1

    def test_work_stops_when_the_caller_leaves(self):
        assert serve(leave_early, service_ms=5000).counts.canceled == 1

    def test_work_beyond_the_slots_is_shed(self):
        state = serve(overload, service_ms=300, concurrent=2)
        assert state.counts.refused == {backend.Refusal.SHED: 1}

    def test_answers_are_closed_or_truncated_as_often_as_told(self):
        assert serve(fail_once).counts.runs == {'r1': 3}

    def test_bad_input_is_refused(self):
        serve(bad_input)


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


async def _reply(connection):
    """Return what the echo answers, None if silent, b'' if closed."""
    reader, writer = connection
    writer.write(b'x')
    try:
        return await asyncio.wait_for(reader.read(1), 0.2)
    except TimeoutError:
        return None
    except ConnectionError:
        return b''


async def _silence(state, address):
    old = await asyncio.open_connection(*address)
    replies = [await _reply(old)]
    proxy.set_faults(state, silence='down')
    new = await asyncio.open_connection(*address)
    replies.extend([await _reply(old), await _reply(new)])
    for fault in ({'block': 'up'}, {'cut': True}):
        proxy.set_faults(state, **fault)
        replies.append(await _reply(new))
    return replies


async def _through_proxy():
    async with await asyncio.start_server(_echo, '127.0.0.1', 0) as echo:
        port = echo.sockets[0].getsockname()[1]
        state = proxy.Proxy(f'127.0.0.1:{port}')
        async with await proxy.listen(state, 0) as passing:
            return await _silence(state, passing.sockets[0].getsockname())


class TestProxy:
    """A silent connection must look open, and new ones must work."""

    def test_silence_hits_only_connections_open_at_the_time(self):
        assert asyncio.run(_through_proxy()) == [b'x', None, b'x', None, b'']


class TestCosts:
    """A slope that contains the fixed cost overstates the growth."""

    def test_fixed_cost_is_left_out(self):
        points = [(100, 1300), (200, 1600), (400, 2200)]
        assert costs.slope(points) == pytest.approx(3)
