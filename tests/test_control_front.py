"""HTTP calls for readiness, metrics and announcements."""

import asyncio
import contextlib
import json

import attrs
import pytest

from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import settings
from laburnumlatch.platform import controlfront
from tests import addresses

TIMEOUT_S = 5
POLL_S = 0.005
MEMORY_BYTES = 10**8
TEXT = '127.0.0.1:1'
HEARTBEAT = json.dumps({
    'born': 1,
    'service': 'moti',
    'address': TEXT,
    'slots': 6,
    'state': 'ready',
    'sequence': 1,
})


def _call(query, body=HEARTBEAT, method='POST'):
    """Return the bytes of an announcement."""
    return (
        f'{method} /rpc?{query} HTTP/1.1\r\nHost: a.example\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def _get(path):
    return f'GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n'.encode()


@attrs.define
class _Caller:
    """A connection on which requests are sent one after another."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, request):
        """Send a request; return status and body of the response."""
        self.writer.write(request)
        return await self.read()

    async def read(self):
        """Return status and body of the next response."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        status, _, rest = head.partition(b' ')[2].partition(b' ')
        size = rest.lower().partition(b'content-length: ')[2].split()[0]
        return int(status), await self.reader.readexactly(int(size))


class _Lab:
    """A started `ControlFront`, and what it posted."""

    def __init__(self, agent_settings):
        self.posted = []
        self.settings = agent_settings
        agent = agentstate.create(agent_settings, 1, 0)
        self.front = controlfront.ControlFront(self.posted.append, agent, int)

    async def announce(self, caller):
        """Send an announcement; return the number of the posted call."""
        caller.writer.write(_call('call=instances.heartbeat&of=s'))
        while not self.posted:
            await asyncio.sleep(POLL_S)
        return self.posted.pop().call_number

    def decide(self, number, *, is_accepted):
        """Tell the front end what the systems decided on a call."""
        self.front.carry_out(
            backendmsg.AnnouncementAnswered(number, is_accepted)
        )


async def connect(address):
    host, _, port = address.partition(':')
    return _Caller(*await asyncio.open_connection(host, int(port)))


def _settings():
    names = ('host_id', 'domain', 'region', 'service')
    unused = (
        'backend_address',
        'caller_address',
        'peer_address',
        'store_address',
    )
    return settings.Settings(
        **dict.fromkeys(names, 'moti'),
        **dict.fromkeys(unused, TEXT),
        ready_address=addresses.free(),
        control_address=addresses.free(),
        metrics_address=addresses.free(),
        memory_bytes=MEMORY_BYTES,
    )


@contextlib.asynccontextmanager
async def running():
    """Yield a `_Lab` whose front end has been started."""
    lab = _Lab(_settings())
    await lab.front.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield lab
    finally:
        await lab.front.stop()


async def _responses(address_name, requests):
    """Return the responses on one connection, and whether a call was posted."""
    async with running() as lab:
        caller = await connect(getattr(lab.settings, address_name))
        responses = [await caller.ask(request) for request in requests]
        return responses, bool(lab.posted)


async def _decided_responses(decisions):
    """Return the responses to announcements on one connection."""
    async with running() as lab:
        caller = await connect(lab.settings.control_address)
        responses = []
        for is_accepted in decisions:
            lab.decide(await lab.announce(caller), is_accepted=is_accepted)
            responses.append(await caller.read())
        return responses


async def _response_after_leaving():
    """Return the response to a caller after another one left unanswered."""
    async with running() as lab:
        caller = await connect(lab.settings.control_address)
        number = await lab.announce(caller)
        caller.writer.transport.abort()
        await asyncio.sleep(10 * POLL_S)
        lab.decide(number, is_accepted=True)
        other = await connect(lab.settings.control_address)
        return await other.ask(_call(''))


class TestCalls:
    """Guards against a server that gets no or another call's response."""

    def test_each_call_gets_its_response_on_a_kept_connection(self):
        responses = asyncio.run(_decided_responses((True, False, True)))
        assert responses == [(200, b'{}'), (400, b''), (200, b'{}')]

    @pytest.mark.parametrize('query', ['', 'call=x&of=s', 'of=%ff&call=%ff'])
    def test_invalid_calls_are_refused_at_once(self, query):
        responses, is_posted = asyncio.run(
            _responses('control_address', [_call(query)])
        )
        assert responses == [(400, b'')]
        assert not is_posted

    def test_a_caller_who_left_does_no_harm(self):
        assert asyncio.run(_response_after_leaving()) == (400, b'')


class TestPaths:
    """Guards against a request that is taken for another one."""

    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/status', 200),
            ('/metrics', 200),
            ('/explain/moti/1', 400),
            ('/explain/moti', 404),
            ('/explain/moti/', 404),
            ('/explain/moti/1/2', 404),
            ('/explain/', 404),
            ('/rpc', 404),
        ],
    )
    def test_of_the_metrics_address(self, path, expected):
        responses, _ = asyncio.run(_responses('metrics_address', [_get(path)]))
        assert responses[0][0] == expected

    def test_of_readiness(self):
        responses, _ = asyncio.run(
            _responses(
                'ready_address', [_get('/ready'), _get('/explain/moti/1')]
            )
        )
        assert responses == [(503, b''), (404, b'')]

    def test_of_announcements_sent_as_a_read(self):
        refused = _call('call=instances.heartbeat&of=s', method='GET')
        responses, is_posted = asyncio.run(
            _responses('control_address', [refused])
        )
        assert responses == [(405, b'')]
        assert not is_posted
