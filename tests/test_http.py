"""The HTTP front ends over loopback, with the systems between them."""

import asyncio

import pytest

from laburnumlatch.slots import callers
from laburnumlatch.slots import calls
from laburnumlatch.slots import headers
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import rows
from tests import rigs

UPLOAD_BYTES = 3_000_000
BYTES_50 = 'Content-Length: 50000000\r\n'


async def echoes_key(rig, _reader, writer):
    """Answer with the key, the later ones sooner."""
    path = rig.heads[-1].split(b' ')[1]
    key = path.split(b'/')[-1]
    await asyncio.sleep(0.02 - int(key) / 1000)
    writer.write(rigs.whole(key))


async def sums_upload(_rig, reader, writer):
    """Answer with the sum of the body's bytes."""
    body = await reader.readexactly(UPLOAD_BYTES)
    writer.write(rigs.whole(b'%d' % sum(body)))


async def is_silent_once(rig, _reader, writer):
    """Leave the first connection without an answer."""
    if len(rig.heads) == 1:
        await asyncio.Event().wait()
    writer.write(rigs.whole(b'ok'))


async def stops_inside(_rig, _reader, writer):
    """Write a part of an answer and then nothing."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello')
    await asyncio.Event().wait()


async def answers_late(_rig, _reader, writer):
    """Answer after a while."""
    await asyncio.sleep(0.2)
    writer.write(rigs.whole(b'ok'))


async def reads_cut_body(rig, reader, writer):
    """Read what there is of a booking's body; answer at once otherwise."""
    if b'book' in rig.heads[-1]:
        await reader.read()
    writer.write(rigs.whole(b'ok'))


async def flood(writer):
    """Send 50 MB; raise TimeoutError once nothing moves for a second."""
    for _ in range(50):
        writer.write(b'x' * 1_000_000)
        await asyncio.wait_for(writer.drain(), 1)


class TestWholeAnswers:
    """A part of an answer must never look like the whole."""

    @pytest.mark.parametrize(
        'framed',
        [
            b'Content-Length: 5\r\n\r\nhello',
            b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
        ],
    )
    async def test_whole_answer_passes(self, framed):
        script = rigs.replies(b'HTTP/1.1 200 OK\r\n%b' % framed)
        async with rigs.Rig(script) as rig:
            answer = await rig.ask(rigs.request())
        assert answer.startswith(b'HTTP/1.1 200')
        for field in (b'Outcome: answered', b'Request-Epoch: 7', b'Owner: 1'):
            assert field in answer
        assert b'hello' in answer

    @pytest.mark.parametrize(
        'framed',
        [
            b'Content-Length: 50\r\n\r\nhello',
            b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
        ],
    )
    async def test_truncated_answer_closes_before_its_end(self, framed):
        script = rigs.replies(b'HTTP/1.1 200 OK\r\n%b' % framed)
        async with rigs.Rig(script) as rig:
            answer = await rig.ask(rigs.request('book'))
        assert not answer.endswith(b'0\r\n\r\n')
        assert b'Content-Length: 5\r\n' not in answer

    async def test_answer_without_length_is_unknown(self):
        script = rigs.replies(b'HTTP/1.1 200 OK\r\n\r\nhello')
        async with rigs.Rig(script) as rig:
            answer = await rig.ask(rigs.request('book'))
        assert answer.startswith(b'HTTP/1.1 502')
        assert b'Outcome: unknown' in answer

    async def test_answers_do_not_cross(self):
        async with rigs.Rig(echoes_key) as rig:
            rig.world.local_server().concurrent = 10
            classes = rig.world.services.get('bokun').classes
            classes['crew'] = rows.RequestClass('crew', 0, 100)
            answers = await asyncio.gather(
                *(rig.ask(rigs.request(key=number)) for number in range(10))
            )
        for number, answer in enumerate(answers):
            assert answer.endswith(b'\r\n\r\n%d' % number)

    @pytest.mark.parametrize(
        ('head', 'reason'),
        [
            (b'503 Busy\r\nRetry-After: 2\r\n', b'shed'),
            (b'409 No\r\nFence-Refused: true\r\n', b'not-owner'),
        ],
    )
    async def test_refusal_of_backend_is_not_run(self, head, reason):
        reply = b'HTTP/1.1 %bContent-Length: 0\r\n\r\n' % head
        async with rigs.Rig(rigs.replies(reply)) as rig:
            answer = await rig.ask(
                rigs.request(more='Forwarded-From: other\r\n'),
            )
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'Outcome: not-run' in answer
        assert b'Outcome-Reason: %b' % reason in answer


class TestStreaming:
    """Bodies must pass whole, and a slow side must stop the fast one."""

    async def test_upload_passes_whole(self):
        head = rigs.request(
            'book', f'Content-Length: {UPLOAD_BYTES}\r\n', method='POST'
        )
        async with rigs.Rig(sums_upload) as rig:
            answer = await rig.ask(b'%b%b' % (head, b'\1' * UPLOAD_BYTES))
        assert answer.endswith(b'\r\n\r\n%d' % UPLOAD_BYTES)

    async def test_slow_backend_stops_the_caller(self):
        async with rigs.Rig() as rig:
            head = rigs.request('book', BYTES_50, method='POST')
            _, writer = await rig.connect(head)
            with pytest.raises(asyncio.TimeoutError):
                await flood(writer)
            call = rig.open_calls.get(1)
            assert call.body.unread <= 2 * calls.HIGH_WATER_BYTES
            writer.transport.abort()

    async def test_early_refusal_reaches_a_caller_that_still_sends(self):
        async with rigs.Rig() as rig:
            head = rigs.request('nope', BYTES_50, method='POST')
            answer = await rig.ask(b'%b%b' % (head, b'x' * 300_000))
        assert answer.startswith(b'HTTP/1.1 404')
        assert b'Outcome: not-run' in answer


class TestSilence:
    """A connection that stays silent must not use up the deadline."""

    async def test_read_is_sent_again(self):
        async with rigs.Rig(is_silent_once) as rig:
            reader, writer = await rig.connect(rigs.request())
            await rig.received(1)
            rig.pass_time(200)
            # Less than libcurl's own limit, which would also end the wait.
            answer = await asyncio.wait_for(reader.read(), 1)
            assert answer.endswith(b'ok')
            assert len(rig.heads) == 2
            writer.close()

    async def test_deadline_inside_an_answer_closes_the_connection(self):
        async with rigs.Rig(stops_inside) as rig:
            reader, writer = await rig.connect(rigs.request('book'))
            await reader.readuntil(b'hello')
            rig.pass_time(4000)
            assert await asyncio.wait_for(reader.read(), 1) == b''
            writer.close()


class TestBadInput:
    """Bad input must be named, and must not end the process."""

    @pytest.mark.parametrize(
        ('written', 'status', 'named'),
        [
            (rigs.request(more='Deadline-Ms: soon\r\n'), 400, b'Deadline-Ms'),
            (rigs.request(more='Request-Attempt: -1\r\n'), 400, b'Attempt'),
            (rigs.request(more=f'Request-Id: {"i" * 200}\r\n'), 400, b'Id'),
            (rigs.request(more=f'X: {"x" * 20000}\r\n'), 431, b'16384'),
            (rigs.request(more='Content-Length: 3\r\n'), 400, b'GET'),
            (rigs.request(method='OPTIONS'), 405, b'OPTIONS'),
            (rigs.request(method='BREW'), 405, b'BREW'),
            (rigs.request().replace(b'/call', b'/cull'), 404, b'/cull'),
            (rigs.request(key='%ff'), 400, b'%ff'),
            (rigs.request('nope'), 404, b'unknown-operation'),
        ],
    )
    async def test_refusal_names_what_is_wrong(self, written, status, named):
        async with rigs.Rig() as rig:
            answer = await rig.ask(written)
        assert answer.startswith(b'HTTP/1.1 %d' % status)
        assert b'Outcome: not-run' in answer
        assert named in answer

    @pytest.mark.parametrize(
        'written',
        [
            rigs.request()[:-3],
            rigs.request('book', 'Content-Length: 9\r\n\r\ncut', 'POST')[:-2],
            b'\0\1\2\r\n\r\n',
            rigs.request(more=f'X: {"x" * 90000}\r\n'),
        ],
    )
    async def test_cut_input_leaves_the_next_caller_served(self, written):
        async with rigs.Rig(reads_cut_body) as rig:
            _, writer = await rig.connect(written)
            await asyncio.sleep(0.05)
            writer.close()
            answer = await rig.ask(rigs.request())
            assert answer.endswith(b'ok')
            await asyncio.sleep(0.05)
            assert not len(rig.world.requests)


class TestOwnerLookup:
    """Callers need owner and epoch to repeat a request safely."""

    async def test_owner_is_told(self):
        path = rigs.request().replace(b'/call/bokun/rack', b'/owner/bokun')
        async with rigs.Rig() as rig:
            answer = await rig.ask(path)
        assert b'"owner": "bokun-1:http"' in answer
        assert b'"epoch": 7' in answer


class TestStop:
    """A planned stop must not cut off an open call."""

    async def test_stop_waits_for_open_calls(self):
        async with rigs.Rig(answers_late) as rig:
            asked = asyncio.ensure_future(rig.ask(rigs.request('book')))
            await rig.received(1)
            await rig.callers.stop()
            assert (await asked).endswith(b'ok')


class TestHeaders:
    """Fields of one hop must not reach the next."""

    def test_fields_named_by_connection_stay(self):
        pairs = [('Connection', 'x-hop'), ('X-Hop', '1'), ('X-End', '2')]
        assert headers.end_to_end(pairs) == [('X-End', '2')]

    def test_deadline_has_its_status(self):
        status = callers.status_of(
            requestmsg.Outcome.UNKNOWN, requestmsg.Reason.DEADLINE
        )
        assert status == 504
