"""Callers that send or read what would exhaust an agent's memory."""

import itertools
import types

import pytest

from laburnumlatch.platform import wire
from tests import crowds

# An agent takes 53 MB of it before any caller has connected.
LIMITS = types.MappingProxyType({'memory_mb': 110, 'max_fds': 600})
FEW_DESCRIPTORS = types.MappingProxyType({'memory_mb': 110, 'max_fds': 400})
CROWD = 200
HEAD_BYTES = 16_000
LINE_END_BYTES = 2
LONG_BYTES = 1_000_000
# Above the size of all requests that an agent keeps of one connection.
ENDLESS_BYTES = 2_000_000
# As many readers at once as the backend server has slots.
READERS = 6
READER_GROUPS = 15
RESPONSE_BYTES = 900_000
PIPELINED = 4
PIPELINED_BYTES = 250_000


def head(request_id, *lines, method='GET', path='/status/x'):
    """Return the beginning of a head, up to the end of the last line."""
    first = (
        f'{method} {path} HTTP/1.1',
        'Host: moti.example',
        f'{wire.REQUEST_ID}: {request_id}',
        f'{wire.TIME_LEFT_MS}: 20000',
    )
    return ''.join(f'{line}\r\n' for line in (*first, *lines)).encode()


def full_head(lines):
    """Return a head of these lines, again and again, up to `HEAD_BYTES`."""
    texts = []
    room = HEAD_BYTES - len(head('full')) - LINE_END_BYTES
    endless = itertools.cycle(lines)
    line = next(endless)
    while len(line) + LINE_END_BYTES <= room:
        room -= len(line) + LINE_END_BYTES
        texts.append(line)
        line = next(endless)
    return head('full', *texts)


def with_body(request_id, size):
    """Return a request whose response is as long as its body."""
    length = f'Content-Length: {size}'
    return b''.join((head(request_id, length), b'\r\n', bytes(size)))


@pytest.mark.time_limit(120)
class TestHeads:
    """Heads whose lines cost more memory than their bytes."""

    @pytest.mark.parametrize(
        'lines',
        [('a:',), ('X-Name: b',), [f'n{number}: b' for number in range(2000)]],
        ids=['short', 'one-name', 'many-names'],
    )
    async def test_heads_under_the_limit(self, tmp_path, lines):
        """Guards against memory that many lines take beyond their bytes.

        The heads are held unfinished at the same time, and then run.
        """
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(full_head(lines))
            await crowd.send(b'\r\n')

    @pytest.mark.parametrize('line', [b'a:\r\n', b'X: y\r\n', b'x' * 999])
    async def test_heads_without_end(self, tmp_path, line):
        """Guards against memory that heads take beyond the limit."""
        lines = line * (LONG_BYTES // len(line))
        payload = b''.join((head('endless'), lines))
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(payload)

    async def test_empty_lines_without_end(self, tmp_path):
        """Guards against a connection that sends empty lines for ever."""
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(b'\r\n' * (LONG_BYTES // 2))
            await crowd.await_input(meanwhile=b'\r\n')

    async def test_pipelined_heads(self, tmp_path):
        """Guards against memory of the heads that one connection may open."""
        lines = itertools.repeat('a:', 900)
        request = b''.join((head('pipelined', *lines), b'\r\n'))
        payload = request * (ENDLESS_BYTES // 10 // len(request))
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(payload)

    async def test_heads_byte_by_byte(self, tmp_path):
        """Guards against what each small piece of a head costs."""
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            lines = itertools.repeat('a:', 90)
            await crowd.send(head('slow', *lines), most_bytes=1)

    @pytest.mark.parametrize('line', ['a:', 'X-Name: b', 'Cookie: c=d'])
    async def test_one_head_at_the_limit_is_served(self, tmp_path, line):
        """Guards against a bound that refuses what the pages allow."""
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(1)
            await crowd.send(b''.join((full_head([line]), b'\r\n')))
            await crowd.await_input()
            status_line = crowd.members[0].connection.recv(15)
            assert status_line == b'HTTP/1.1 200 OK'


@pytest.mark.time_limit(120)
class TestBodies:
    """Bodies that cost more than their bytes, or never come."""

    async def test_chunks_of_one_byte(self, tmp_path):
        """Guards against what chunks, extensions and trailers cost."""
        start = head('chunks', 'Transfer-Encoding: chunked')
        chunks = b'1;a=b\r\nx\r\n' * 5000
        trailer = b'0\r\n%b' % (b'a:\r\n' * 3000)
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(b'\r\n'.join((start, chunks)))
            await crowd.send(trailer)

    @pytest.mark.parametrize('size', [1000, LONG_BYTES, 16_000_000])
    async def test_bodies_that_never_come(self, tmp_path, size):
        """Guards against memory that is promised and keeps others out."""
        start = head('none', f'Content-Length: {size}')
        payload = b''.join((start, b'\r\n'))
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(payload)

    async def test_bodies_that_stop_before_their_end(self, tmp_path):
        """Guards against bodies held in part, together above the memory."""
        payload = with_body('part', LONG_BYTES)[:-1]
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(payload)


@pytest.mark.time_limit(120)
class TestConnections:
    """Connections that only stand open."""

    @pytest.mark.parametrize('start', [b'', b'G'], ids=['nothing', 'a-byte'])
    async def test_descriptors_stay_under_their_limit(self, tmp_path, start):
        """Guards against an agent that has no descriptor left for its work."""
        async with crowds.besieging(tmp_path, FEW_DESCRIPTORS) as (_lab, crowd):
            for _ in range(3):
                await crowd.connect(CROWD)
                await crowd.send(start)


@pytest.mark.time_limit(120)
class TestUnreadResponses:
    """Responses that their callers leave unread."""

    async def test_long_responses(self, tmp_path):
        """Guards against responses in memory that nobody takes."""
        payload = with_body('long', RESPONSE_BYTES)
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            for _ in range(READER_GROUPS):
                await crowd.send(payload, await crowd.connect(READERS))

    async def test_pipelined_responses(self, tmp_path):
        """Guards against unread responses behind each other."""
        request = with_body('pipelined', PIPELINED_BYTES)
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            for _ in range(READER_GROUPS):
                members = await crowd.connect(READERS)
                await crowd.send(request * PIPELINED, members)

    async def test_short_responses_without_end(self, tmp_path):
        """Guards against a caller that goes on sending and never reads."""
        request = with_body('short', 3000)
        payload = request * (ENDLESS_BYTES // len(request))
        async with crowds.besieging(tmp_path, LIMITS) as (_lab, crowd):
            await crowd.connect(CROWD)
            await crowd.send(payload)
