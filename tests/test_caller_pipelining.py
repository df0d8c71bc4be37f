"""Callers that send further requests before the response to the first."""

import asyncio
import itertools

import attrs
import pytest

from laburnumlatch.mesh import routes
from laburnumlatch.platform import requestreader
from tests import fronts

BURST = 50
LARGE_BODY = b'x' * 1_000_000
SHORT_WAIT_S = 0.1


def paths(count):
    return [f'/r{number}' for number in range(count)]


async def send_burst(responder):
    """Send three requests on a new connection; return reader and writer."""
    reader, writer = await responder.connect()
    writer.write(b''.join(map(fronts.get, paths(3))))
    await responder.wait_for(*paths(3))
    return reader, writer


async def answer_in_order(responder):
    """Answer a burst of requests, each as soon as it has arrived."""
    for path in paths(BURST):
        while path not in responder.arrived:
            await asyncio.sleep(fronts.POLL_S)
        responder.answer(path, LARGE_BODY)
        await asyncio.sleep(fronts.POLL_S)


class TestOrder:
    """Requests of one connection run side by side, responses keep the order."""

    async def test_requests_arrive_while_the_first_is_open(self):
        """Guards against requests that wait unread behind a slow one."""
        async with fronts.responding() as responder:
            _reader, writer = await send_burst(responder)
            connections = {
                arrived.connection for arrived in responder.arrived.values()
            }
            writer.close()
        assert len(connections) == 1
        assert 0 not in connections

    async def test_responses_wait_for_a_slow_first_request(self):
        """Guards against a response taken for that to an earlier request."""
        async with fronts.responding() as responder:
            reader, writer = await send_burst(responder)
            for path in ('/r2', '/r1'):
                responder.answer(path)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), SHORT_WAIT_S)
            responder.answer('/r0')
            bodies = [
                (await fronts.read_response(reader)).body for _ in range(3)
            ]
            writer.close()
        assert bodies == [b'/r0', b'/r1', b'/r2']

    async def test_refusal_of_one_leaves_the_others(self):
        """Guards against a refusal that ends the whole connection."""
        async with fronts.responding() as responder:
            reader, writer = await send_burst(responder)
            responder.refuse('/r1')
            responder.answer('/r2')
            responder.answer('/r0')
            received = [await fronts.read_response(reader) for _ in range(3)]
            writer.close()
        assert [response.status for response in received] == [200, 503, 200]
        assert received[1].fields['x-request-id'] == '/r1'
        assert not any('connection' in item.fields for item in received)


class TestBounds:
    """How much of one connection is read and kept."""

    async def test_burst_of_a_caller_that_does_not_read(self):
        """Guards against responses without bound for a slow reader."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            # The stream of the test would read ahead.
            writer.transport.pause_reading()
            padding = f'X-Padding: {"x" * 900}'
            writer.write(
                b''.join(fronts.get(path, padding) for path in paths(BURST))
            )
            await responder.wait_for(*paths(requestreader.MAX_PIPELINED))
            await asyncio.sleep(SHORT_WAIT_S)
            read_at_first = len(responder.arrived)
            answering = asyncio.create_task(answer_in_order(responder))
            await asyncio.sleep(5 * SHORT_WAIT_S)
            read_before_caller_reads = len(responder.arrived)
            writer.transport.resume_reading()
            sizes = [
                len((await fronts.read_response(reader)).body)
                for _ in range(BURST)
            ]
            await answering
            writer.close()
        assert read_at_first <= requestreader.MAX_PIPELINED + 1
        assert read_before_caller_reads < BURST
        assert sizes == list(itertools.repeat(len(LARGE_BODY), BURST))

    async def test_leaving_caller_is_noticed_at_the_bound(self):
        """Guards against work for a caller who left while reading stopped."""
        async with fronts.responding() as responder:
            _reader, writer = await responder.connect()
            writer.write(b''.join(map(fronts.get, paths(BURST))))
            await responder.wait_for(*paths(requestreader.MAX_PIPELINED))
            writer.close()
            await fronts.wait_until(
                lambda: len(responder.left) == len(responder.arrived)
            )


class TestEnds:
    """Connections that end in the middle."""

    async def test_leaving_caller_cancels_all_requests(self):
        """Guards against later requests that run on for nobody."""
        async with fronts.responding() as responder:
            _reader, writer = await send_burst(responder)
            responder.answer('/r1')
            await asyncio.sleep(SHORT_WAIT_S)
            writer.close()
            await fronts.wait_until(lambda: responder.left)
            await asyncio.sleep(SHORT_WAIT_S)
            left = {message.number for message in responder.left}
            open_numbers = {
                responder.arrived[path].number for path in ('/r0', '/r2')
            }
        assert left == open_numbers

    async def test_close_is_announced_by_the_last_response_only(self):
        """Guards against a close before the response to a read request."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            writer.writelines((
                fronts.get('/r0'),
                fronts.get('/r1', 'Connection: close'),
                fronts.get('/r2'),
            ))
            await responder.wait_for('/r0', '/r1')
            responder.answer('/r1')
            responder.answer('/r0')
            first = await fronts.read_response(reader)
            last = await fronts.read_response(reader)
            rest = await fronts.read_rest(reader)
            writer.close()
        assert 'connection' not in first.fields
        assert last.fields['connection'] == 'close'
        assert not rest
        assert '/r2' not in responder.arrived

    @pytest.mark.parametrize(
        ('bad_bytes', 'status'),
        [
            (b'\x16\x03\x01 no request\r\n\r\n', 400),
            (b'GET /x HTTP/1.1\r\n\r\n', 400),
            (fronts.get('/x', f'X-Long: {"x" * 70_000}'), 431),
        ],
        ids=['no-http', 'no-host', 'endless-head'],
    )
    async def test_unreadable_head_comes_after_due_responses(
        self, bad_bytes, status
    ):
        """Guards against losing responses for bytes that are no request."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            writer.writelines((fronts.get('/r0'), bad_bytes))
            await responder.wait_for('/r0')
            await asyncio.sleep(SHORT_WAIT_S)
            responder.answer('/r0')
            first = await fronts.read_response(reader)
            last = await fronts.read_response(reader)
            rest = await fronts.read_rest(reader)
            writer.close()
        assert (first.status, first.body) == (200, b'/r0')
        assert (last.status, rest) == (status, b'')
        assert last.fields['connection'] == 'close'

    async def test_early_refusal_comes_in_its_turn(self):
        """Guards against a refusal taken for the response to a request.

        The body of the second request is longer than the limit.
        """
        async with fronts.responding() as responder:
            responder.change_limits(routes.Limits(body_bytes=1000))
            reader, writer = await responder.connect()
            await asyncio.sleep(SHORT_WAIT_S)
            upload = fronts.put('/r1', LARGE_BODY)
            writer.writelines((fronts.get('/r0'), upload))
            await responder.wait_for('/r0')
            await asyncio.sleep(SHORT_WAIT_S)
            responder.answer('/r0')
            first = await fronts.read_response(reader)
            refusal = await fronts.read_response(reader)
            writer.close()
        assert (first.status, first.body) == (200, b'/r0')
        assert (refusal.status, refusal.fields['connection']) == (413, 'close')
        assert '/r1' not in responder.arrived

    @pytest.mark.parametrize(
        ('sent', 'status'),
        [
            (
                b'PUT /r0 HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n4\r\nlong\r\nbad\r\n',
                413,
            ),
            (b'GET /r0 HTTP/1.1\r\nHost: a\r\n\r\nbad\r\n\r\n', 200),
        ],
        ids=['early-refusal', 'last-request-of-a-stop'],
    )
    async def test_bytes_behind_the_end_get_no_response(self, sent, status):
        """Guards against a response to which there is no request.

        Reading has ended; what follows in the same bytes is malformed.
        """
        async with fronts.responding() as responder:
            responder.change_limits(routes.Limits(body_bytes=3))
            reader, writer = await responder.connect()
            await asyncio.sleep(SHORT_WAIT_S)
            responder.front.begin_stop()
            writer.write(sent)
            if status == 200:
                await responder.wait_for('/r0')
                responder.answer('/r0')
            response = await fronts.read_response(reader)
            rest = await fronts.read_rest(reader)
            writer.close()
        assert (response.status, rest) == (status, b'')


class TestPlannedStop:
    """The agent stops while connections have requests in all states."""

    async def test_what_was_read_is_answered_and_nothing_else_is_read(self):
        """Guards against a request that runs behind an announced close.

        A caller sends what is behind such a close again, whatever its kind.
        """
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            writer.write(b''.join(map(fronts.get, paths(2))))
            await responder.wait_for(*paths(2))
            # A request that is read in part when the stop begins.
            writer.write(fronts.put('/late', LARGE_BODY)[:1000])
            await asyncio.sleep(SHORT_WAIT_S)
            responder.front.begin_stop()
            writer.write(fronts.get('/later'))
            responder.answer('/r1')
            responder.answer('/r0')
            first = await fronts.read_response(reader)
            last = await fronts.read_response(reader)
            rest = await fronts.read_rest(reader)
            writer.close()
        assert [first.body, last.body, rest] == [b'/r0', b'/r1', b'']
        assert 'connection' not in first.fields
        assert last.fields['connection'] == 'close'
        assert set(responder.arrived) == set(paths(2))

    async def test_idle_connection_serves_one_more_request(self):
        """Guards against a close that crosses a request on its way."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            await asyncio.sleep(SHORT_WAIT_S)
            responder.front.begin_stop()
            writer.write(b''.join(map(fronts.get, paths(2))))
            await responder.wait_for('/r0')
            responder.answer('/r0')
            response = await fronts.read_response(reader)
            rest = await fronts.read_rest(reader)
            writer.close()
        assert response.fields['connection'] == 'close'
        assert not rest
        assert '/r1' not in responder.arrived

    async def test_body_that_is_being_read_is_served(self):
        """Guards against cutting off an upload that began before the stop."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            upload = fronts.put('/r0', LARGE_BODY)
            writer.write(upload[:1000])
            await asyncio.sleep(SHORT_WAIT_S)
            responder.front.begin_stop()
            writer.write(upload[1000:])
            await responder.wait_for('/r0')
            responder.answer('/r0')
            response = await fronts.read_response(reader)
            writer.close()
        assert responder.arrived['/r0'].body == LARGE_BODY
        assert response.fields['connection'] == 'close'


class TestSlowCallers:
    """Callers that send or read too slowly."""

    limits = routes.Limits(header_timeout_ms=200, idle_timeout_ms=400)

    async def test_head_that_takes_too_long_is_refused(self):
        """Guards against connections held by heads that never end."""
        async with fronts.responding() as responder:
            responder.change_limits(self.limits)
            reader, writer = await responder.connect()
            writer.write(fronts.get('/r0')[:-4])
            response = await fronts.read_response(reader)
            writer.close()
        assert response.status == 408
        assert not responder.arrived

    async def test_head_at_the_bound_does_not_take_too_long(self):
        """Guards against 408 for a head that the agent leaves unread."""
        async with fronts.responding() as responder:
            responder.change_limits(self.limits)
            _reader, writer = await responder.connect()
            writer.write(b''.join(map(fronts.get, paths(BURST))))
            await responder.wait_for(*paths(requestreader.MAX_PIPELINED))
            await asyncio.sleep(1.2)
            for path in tuple(responder.arrived):
                responder.answer(path)
            await responder.wait_for(*paths(BURST))
            writer.close()

    async def test_each_head_has_its_own_time(self):
        """Guards against 408 for heads that follow each other closely."""
        async with fronts.responding() as responder:
            responder.change_limits(self.limits)
            reader, writer = await responder.connect()
            begin = b'GET /r'
            writer.write(begin)
            for path in paths(12):
                await asyncio.sleep(SHORT_WAIT_S)
                writer.write(fronts.get(path).removeprefix(begin) + begin)
                await responder.wait_for(path)
                responder.answer(path)
                response = await fronts.read_response(reader)
                assert response.status == 200
            writer.close()

    async def test_idle_connection_is_closed(self):
        """Guards against idle connections that are kept for ever."""
        async with fronts.responding() as responder:
            responder.change_limits(self.limits)
            reader, _writer = await responder.connect()
            assert not await fronts.read_rest(reader)

    async def test_open_request_is_not_idle(self):
        """Guards against closing a connection that waits for its response."""
        async with fronts.responding() as responder:
            responder.change_limits(
                attrs.evolve(self.limits, idle_timeout_ms=100)
            )
            reader, writer = await responder.connect()
            writer.write(fronts.get('/r0'))
            await responder.wait_for('/r0')
            await asyncio.sleep(1.2)
            responder.answer('/r0')
            response = await fronts.read_response(reader)
            writer.close()
        assert response.body == b'/r0'

    async def test_caller_that_reads_nothing_is_closed(self):
        """Guards against responses that stay in memory for ever."""
        async with fronts.responding() as responder:
            responder.change_limits(self.limits)
            _reader, writer = await responder.connect()
            writer.transport.pause_reading()
            writer.write(b''.join(map(fronts.get, paths(20))))
            await responder.wait_for(*paths(20))
            for path in paths(20):
                responder.answer(path, LARGE_BODY)
            guard = responder.front.guard
            await fronts.wait_until(lambda: not guard.connections)

    async def test_expected_continue_comes_in_its_turn(self):
        """Guards against an interim response before an earlier response."""
        async with fronts.responding() as responder:
            reader, writer = await responder.connect()
            upload = fronts.put('/r1', b'body', 'Expect: 100-continue')
            writer.writelines((fronts.get('/r0'), upload[:-4]))
            await responder.wait_for('/r0')
            responder.answer('/r0')
            first = await fronts.read_response(reader)
            interim = await fronts.read_response(reader)
            writer.write(upload[-4:])
            await responder.wait_for('/r1')
            responder.answer('/r1')
            last = await fronts.read_response(reader)
            writer.close()
        assert (first.body, interim.status) == (b'/r0', 100)
        assert last.body == b'/r1'
