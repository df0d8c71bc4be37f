"""Connections to the backend server that are kept between requests."""

import asyncio
import contextlib

import attrs
import pytest

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.platform import backendclient
from tests import addresses

MEMORY_BYTES = 40 * 2**20
TIME_LEFT_MS = 1000
SHORT_WAIT_S = 0.05
LONG_BODY = b'x' * 8_000_000
ACCEPTED = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
REJECTED = b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'


def sealed(request_id, *fields, body=b'body'):
    """Return a complete response to a request."""
    lines = (
        'HTTP/1.1 200 OK',
        f'X-Request-Id: {request_id}',
        'X-Response-Seal: s',
        f'Content-Length: {len(body)}',
        *fields,
        '\r\n',
    )
    return b''.join(('\r\n'.join(lines).encode(), body))


@attrs.define
class ScriptedServer:
    """Answers each request with the next bytes of a script, then None closes.

    `seen` holds the number of the connection of each request, `ended` the
    connections that the client closed.
    """

    script: list
    address: str = attrs.Factory(addresses.free)
    seen: list = attrs.Factory(list)
    ended: list = attrs.Factory(list)
    _connections: int = 0

    async def serve(self, reader, writer):
        number = self._connections
        self._connections += 1
        with contextlib.suppress(ConnectionError):
            while await self._read_request(reader):
                self.seen.append(number)
                response = self.script.pop(0)
                if response is None:
                    writer.close()
                    return
                writer.write(response)
                await writer.drain()
        self.ended.append(number)

    async def _read_request(self, reader):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith((b'POST /grant', b'POST /release')):
                await reader.readuntil(b'}')
            return head
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return b''


@attrs.define
class Exchanges:
    """Sends requests to a server one after another, and awaits their ends."""

    server: ScriptedServer
    client: backendclient.BackendClient
    events: asyncio.Queue

    def start(self, request_id, is_safe=False, method='GET', body=b''):
        """Send a request without waiting for its end."""
        self.client.carry_out(
            messages.Send(
                number=1,
                exchange=1,
                address=self.server.address,
                server_id='i',
                head=messages.Head(method, '/x', 'h', (), request_id),
                body=body,
                time_left_ms=TIME_LEFT_MS,
                fresh_connection=False,
                is_safe=is_safe,
            )
        )

    async def grant(self, is_renewal=False, may_connect=True):
        """Send a grant; return the event that reports its end."""
        self.client.carry_out(
            backendmsg.GiveGrant(
                1,
                self.server.address,
                0,
                15,
                7,
                1000,
                is_renewal=is_renewal,
                may_connect=may_connect,
            )
        )
        return await asyncio.wait_for(self.events.get(), 3)

    async def send(self, request_id, **parameters):
        """Send a request; return the event that reports its end."""
        self.start(request_id, **parameters)
        return await asyncio.wait_for(self.events.get(), 3)


@contextlib.asynccontextmanager
async def talking(*script):
    """Yield `Exchanges` with a server that follows the script."""
    scripted = ScriptedServer(list(script))
    ip_text, port = scripted.address.split(':')
    server = await asyncio.start_server(scripted.serve, ip_text, int(port))
    events = asyncio.Queue()
    client = backendclient.BackendClient(
        events.put_nowait, bodymemory.BodyMemory(MEMORY_BYTES)
    )
    yield Exchanges(scripted, client, events)
    await client.stop()
    server.close()


class TestReuse:
    """Which requests go on a kept connection."""

    @pytest.mark.parametrize('is_safe', [True, False])
    async def test_kept_connection_is_used(self, is_safe):
        """Guards against a new connection for each request."""
        async with talking(sealed('a'), sealed('b')) as exchanges:
            await exchanges.send('a', is_safe=is_safe)
            await exchanges.send('b', is_safe=is_safe)
            assert exchanges.server.seen == [0, 0]

    @pytest.mark.parametrize('is_safe', [True, False])
    async def test_long_rest_is_no_risk_for_a_write(self, is_safe):
        """Guards against an unknown outcome of a write.

        The server may close a connection that has rested just as the request
        comes. Only a safe one may then be sent again.
        """
        async with talking(sealed('a'), sealed('b')) as exchanges:
            await exchanges.send('a', is_safe=is_safe)
            rest_s = 2 * backendclient.ONCE_REST_MS / clock.MS_PER_S
            await asyncio.sleep(rest_s)
            await exchanges.send('b', is_safe=is_safe)
            assert exchanges.server.seen == [0, int(not is_safe)]

    @pytest.mark.parametrize(
        'field', ['Connection: close', 'Keep-Alive: timeout=0']
    )
    async def test_server_that_will_close_gets_a_new_connection(self, field):
        """Guards against a request on a connection about to be closed."""
        async with talking(sealed('a', field), sealed('b')) as exchanges:
            await exchanges.send('a', is_safe=True)
            await exchanges.send('b', is_safe=True)
            assert exchanges.server.seen == [0, 1]

    async def test_endless_keep_time_is_ignored(self):
        """Guards against a connection that is neither kept nor closed.

        Python converts no text of more than 4,300 digits.
        """
        field = f'Keep-Alive: timeout={"9" * 5000}'
        async with talking(sealed('a', field), sealed('b')) as exchanges:
            await exchanges.send('a', is_safe=True)
            await exchanges.send('b', is_safe=True)
            assert exchanges.server.seen == [0, 0]

    async def test_connection_with_an_unsent_body_is_not_used(self):
        """Guards against a request in the place of the rest of a body.

        The server responds before it has read a long body.
        """
        async with talking(sealed('a'), sealed('b')) as exchanges:
            await exchanges.send('a', method='PUT', body=LONG_BODY)
            event = await exchanges.send('b')
            assert event.answer.body == b'body'
            assert exchanges.server.seen == [0, 1]


class TestReleases:
    """Connections of releases."""

    async def test_connection_is_closed(self):
        """Guards against connections that rest but are never used."""
        async with talking(ACCEPTED) as exchanges:
            exchanges.client.carry_out(
                backendmsg.TakeBack(1, exchanges.server.address, 0, 15, 7)
            )
            event = await asyncio.wait_for(exchanges.events.get(), 3)
            await asyncio.sleep(SHORT_WAIT_S)
            assert event.is_answered
            assert exchanges.server.ended == [0]


class TestGrants:
    """Connections of grants, whose responses have no request ID."""

    async def test_renewal_uses_a_kept_connection(self):
        """Guards against a new connection for every renewal."""
        async with talking(ACCEPTED, ACCEPTED, ACCEPTED) as exchanges:
            await exchanges.grant()
            await exchanges.grant(is_renewal=True)
            await exchanges.grant(is_renewal=True)
            assert exchanges.server.seen == [0, 0, 0]

    @pytest.mark.parametrize(
        ('response', 'is_renewal'), [(ACCEPTED, False), (REJECTED, True)]
    )
    async def test_copy_cannot_stand_for_another_outcome(
        self, response, is_renewal
    ):
        """Guards against a late copy taken for the response to a grant.

        A first grant must not seem accepted, nor a renewal rejected.
        """
        async with talking(response, ACCEPTED) as exchanges:
            await exchanges.grant()
            await exchanges.grant(is_renewal=is_renewal)
            assert exchanges.server.seen == [0, 1]

    async def test_requests_do_not_share_them(self):
        """Guards against a request that gets the response to a grant."""
        async with talking(ACCEPTED, sealed('a'), ACCEPTED) as exchanges:
            await exchanges.grant()
            await exchanges.send('a')
            await exchanges.grant(is_renewal=True)
            assert exchanges.server.seen == [0, 1, 0]

    async def test_renewal_is_not_sent_again(self):
        """Guards against a grant that lasts longer than its sender knows.

        The duration of a grant is counted from when it was sent first.
        """
        async with talking(ACCEPTED, None, ACCEPTED) as exchanges:
            await exchanges.grant()
            event = await exchanges.grant(is_renewal=True)
            await asyncio.sleep(SHORT_WAIT_S)
            assert event.is_accepted is None
            assert not event.is_unsent
            assert exchanges.server.seen == [0, 0]

    async def test_renewal_may_need_a_kept_connection(self):
        """Guards against a renewal that reaches another run of the server.

        The server has closed the connection: it may have started again.
        """
        async with talking(ACCEPTED, None, ACCEPTED) as exchanges:
            await exchanges.grant()
            await exchanges.grant(is_renewal=True)
            event = await exchanges.grant(is_renewal=True, may_connect=False)
            assert event.is_unsent
            assert exchanges.server.seen == [0, 0]
            event = await exchanges.grant(is_renewal=True)
            assert event.is_accepted
            assert exchanges.server.seen == [0, 0, 1]


class TestClosedConnections:
    """A kept connection that the server closes as a request comes."""

    async def test_write_is_not_sent_again(self):
        """Guards against a second run of a request that must run once."""
        async with talking(sealed('a'), None, sealed('b')) as exchanges:
            await exchanges.send('a')
            event = await exchanges.send('b')
            await asyncio.sleep(SHORT_WAIT_S)
            assert event.phase == messages.Phase.SENT
            assert exchanges.server.seen == [0, 0]

    async def test_systems_learn_that_the_connection_was_stale(self):
        """Guards against hidden repeats, outside of the retry budget."""
        async with talking(sealed('a'), None, sealed('b')) as exchanges:
            await exchanges.send('a', is_safe=True)
            event = await exchanges.send('b', is_safe=True)
            await asyncio.sleep(SHORT_WAIT_S)
            assert (event.phase, event.is_stale) == (messages.Phase.SENT, True)
            assert exchanges.server.seen == [0, 0]

    async def test_new_connection_is_not_stale(self):
        """Guards against repeats at a server that resets when it is full."""
        async with talking(None, sealed('a')) as exchanges:
            event = await exchanges.send('a', is_safe=True)
            assert (event.phase, event.is_stale) == (messages.Phase.SENT, False)

    async def test_connection_with_a_part_of_a_response_is_not_stale(self):
        """Guards against sending again what the server has begun to answer."""
        part = sealed('b')[:-1]
        async with talking(sealed('a'), part) as exchanges:
            await exchanges.send('a', is_safe=True)
            event = await exchanges.send('b', is_safe=True)
            assert (event.phase, event.is_stale) == (messages.Phase.SENT, False)
            assert exchanges.server.seen == [0, 0]


class TestLateCopies:
    """Bytes that belong to no request, on a connection that is kept."""

    async def test_late_copy_of_the_previous_response_is_skipped(self):
        """Guards against a caller that gets the response to another request.

        The server sends an earlier response once more where the next one is
        due, and then the right one.
        """
        late = b''.join((sealed('a'), sealed('b', body=b'own')))
        async with talking(sealed('a'), late, sealed('c')) as exchanges:
            await exchanges.send('a')
            event = await exchanges.send('b')
            await exchanges.send('c')
            assert event.answer.body == b'own'
            assert exchanges.server.seen == [0, 0, 0]

    async def test_second_copy_alone_is_no_response(self):
        """Guards against taking a copy for the response that is lost."""
        async with talking(sealed('a'), sealed('a')) as exchanges:
            await exchanges.send('a')
            event = await exchanges.send('b')
            assert isinstance(event, messages.ExchangeFailed)
            assert event.phase == messages.Phase.SENT

    @pytest.mark.parametrize('extra', [b'x', sealed('a'), b'\r\nHTTP/1.1'])
    async def test_extra_bytes_close_the_connection(self, extra):
        """Guards against extra bytes read as the start of a response."""
        double = b''.join((sealed('a'), extra))
        async with talking(double, sealed('b')) as exchanges:
            await exchanges.send('a')
            event = await exchanges.send('b')
            assert event.answer.body == b'body'
            assert exchanges.server.seen == [0, 1]

    async def test_failure_without_an_id_may_be_an_earlier_one(self):
        """Guards against a caller that gets the failure of another request."""
        failure = b'HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno'
        async with talking(failure, failure) as exchanges:
            first = await exchanges.send('a')
            second = await exchanges.send('b')
            assert first.answer.status == 500
            assert second.phase == messages.Phase.SENT


class TestFraming:
    """How the end of a response is found."""

    @pytest.mark.parametrize(
        ('field', 'body', 'is_answered'),
        [
            ('Transfer-Encoding: Chunked', b'3\r\nabc\r\n0\r\n\r\n', True),
            ('Transfer-Encoding: gzip', b'abc', False),
            ('Transfer-Encoding: gzip, chunked', b'0\r\n\r\n', False),
        ],
    )
    async def test_only_chunks_are_understood(self, field, body, is_answered):
        """Guards against framing bytes that pass for a body."""
        plain = sealed('a', field, body=b'')
        response = plain.replace(b'Content-Length: 0\r\n', b'')
        async with talking(b''.join((response, body))) as exchanges:
            event = await exchanges.send('a')
            assert isinstance(event, messages.ExchangeEnded) == is_answered


class TestEnds:
    """Requests that end without a response of the server."""

    async def test_canceled_request_closes_its_connection(self):
        """Guards against a server that works on for a caller who left."""
        async with talking(b'', sealed('b')) as exchanges:
            exchanges.start('a')
            await asyncio.sleep(SHORT_WAIT_S)
            exchanges.client.carry_out(messages.CancelSend(1, 1))
            await asyncio.sleep(SHORT_WAIT_S)
            assert exchanges.server.ended == [0]
            assert exchanges.events.empty()

    async def test_response_to_head_has_no_body(self):
        """Guards against waiting for the body that a length announces."""
        head = sealed('a', body=b'')
        response = head.replace(b'Content-Length: 0', b'Content-Length: 9')
        async with talking(response) as exchanges:
            event = await exchanges.send('a', method='HEAD')
            assert event.answer.body == b''
