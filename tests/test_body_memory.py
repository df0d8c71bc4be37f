"""Memory of bodies: what is promised, collected and written out."""

import asyncio
import random

import pytest

from laburnumlatch.core import bodybuffer
from laburnumlatch.core import bodymemory
from laburnumlatch.core import piecewriter
from laburnumlatch.mesh import peersilence

PROCESS_BYTES = 1000
REQUESTS_BYTES = int(PROCESS_BYTES * bodymemory.REQUESTS_SHARE)
ALL_BYTES = int(PROCESS_BYTES * bodymemory.ALL_SHARE)
LONG_BODY = random.Random(1).randbytes(3_000_000)


class TestBodyMemory:
    """The sum of all bodies that a process holds."""

    def test_responses_fit_beside_as_many_requests_as_may_be(self):
        """Guards against work that has run and whose response has no room."""
        memory = bodymemory.BodyMemory(PROCESS_BYTES)
        memory.hold(REQUESTS_BYTES)
        assert not memory.fits_request(1)
        assert memory.fits(ALL_BYTES - REQUESTS_BYTES)
        assert not memory.fits(ALL_BYTES - REQUESTS_BYTES + 1)

    def test_who_waits_goes_on_in_turn(self):
        """Guards against a long response that shorter ones overtake forever."""
        memory = bodymemory.BodyMemory(PROCESS_BYTES)
        memory.hold(ALL_BYTES)
        went_on = []
        memory.hold_when_free(300, lambda: went_on.append('long'))
        memory.hold_when_free(10, lambda: went_on.append('short'))
        memory.release(100)
        assert not went_on
        memory.release(250)
        assert went_on == ['long', 'short']
        assert memory.held_bytes == ALL_BYTES - 350 + 310

    def test_who_stopped_waiting_holds_nothing(self):
        """Guards against memory promised to a call that is over."""
        memory = bodymemory.BodyMemory(PROCESS_BYTES)
        memory.hold(ALL_BYTES)
        waiter = memory.hold_when_free(300, lambda: pytest.fail('went on'))
        memory.stop_waiting(waiter)
        memory.release(ALL_BYTES)
        assert not memory.held_bytes


class TestBodyBuffer:
    """A body that arrives in parts."""

    @pytest.mark.parametrize('announced', [None, len(LONG_BODY)])
    def test_parts_become_the_body(self, announced):
        """Guards against bytes that are lost between two parts."""
        buffer = bodybuffer.BodyBuffer(announced)
        for start in range(0, len(LONG_BODY), 70_000):
            assert not buffer.is_whole
            buffer.append(LONG_BODY[start : start + 70_000])
        assert buffer.is_whole == (announced is not None)
        assert buffer.take() == LONG_BODY
        assert not len(buffer)

    def test_part_of_a_body_is_no_longer_than_what_came(self):
        """Guards against zeros in place of bytes that never came."""
        buffer = bodybuffer.BodyBuffer(10)
        buffer.append(b'abc')
        assert buffer.take() == b'abc'

    def test_more_than_announced_is_an_error(self):
        """Guards against a buffer that grows beyond what was promised."""
        buffer = bodybuffer.BodyBuffer(2)
        with pytest.raises(ValueError, match='longer'):
            buffer.append(b'abc')


class RecordingTransport:
    """Takes bytes; the test decides when it is full."""

    def __init__(self):
        self.taken = b''
        self.sizes = []

    def writelines(self, pieces):
        self.sizes.append(sum(len(piece) for piece in pieces))
        self.taken += b''.join(pieces)

    def get_write_buffer_size(self):
        return 0


class TestPieceWriter:
    """Long messages that are written in pieces."""

    async def test_everything_is_written_in_order(self):
        """Guards against pieces that are lost or swapped."""
        transport = RecordingTransport()
        written = []
        writer = piecewriter.PieceWriter(transport, written.append)
        writer.write(b'head', LONG_BODY)
        writer.write(b'next')
        while len(writer):
            await asyncio.sleep(0)
        assert transport.taken == b''.join((b'head', LONG_BODY, b'next'))
        assert max(transport.sizes) <= piecewriter.PIECE_BYTES
        assert sum(written) == len(transport.taken)

    async def test_nothing_is_written_while_paused(self):
        """Guards against a second copy of all bytes in the transport."""
        transport = RecordingTransport()
        drained = []
        writer = piecewriter.PieceWriter(
            transport, on_drained=lambda: drained.append(len(transport.taken))
        )
        writer.pause()
        writer.write(LONG_BODY)
        await asyncio.sleep(0)
        assert not transport.taken
        writer.resume()
        while len(writer):
            assert not drained
            await asyncio.sleep(0)
        assert drained == [len(LONG_BODY)]


class TestPeerSilence:
    """A connection to another agent on which a response is due."""

    def test_silence_ends_in_a_ping_and_then_in_an_abort(self):
        """Guards against a connection that hangs for good."""
        silence = peersilence.PeerSilence()
        silence.begin(1000)
        steps = [
            silence.check(now, 500, has_backlog=False)
            for now in range(1100, 1900, 100)
        ]
        assert steps.count(peersilence.Step.PING) == 1
        assert steps[-1] == peersilence.Step.ABORT
        assert not silence.allows_requests(1000 + peersilence.HOLD_AFTER_MS)

    def test_pause_of_this_process_is_no_silence_of_the_other(self):
        """Guards against an abort by an agent that got no processor time.

        The first check after 0.8 s without one was an abort, before any ping,
        and the requests on the connection ended as unknown.
        """
        silence = peersilence.PeerSilence()
        silence.begin(1000)
        steps = [
            silence.check(now, 500, has_backlog=False)
            for now in (1050, *range(5000, 5700, 100))
        ]
        assert steps.count(peersilence.Step.PING) == 1
        assert steps.index(peersilence.Step.PING) < 3
        assert peersilence.Step.ABORT not in steps[:-1]
        assert steps[-1] == peersilence.Step.ABORT

    def test_request_is_held_back_after_a_pause_of_this_process(self):
        """Guards against requests to an agent that may read them much later."""
        silence = peersilence.PeerSilence()
        silence.begin(1000)
        assert silence.check(5000, 500, has_backlog=False) != (
            peersilence.Step.ABORT
        )
        assert not silence.allows_requests(5000)

    def test_bytes_that_are_taken_end_it(self):
        """Guards against a long body that is taken for silence."""
        silence = peersilence.PeerSilence()
        silence.begin(1000)
        steps = {
            silence.check(now, now, has_backlog=True)
            for now in range(1100, 5000, 100)
        }
        assert steps == {peersilence.Step.NOTHING}

    def test_bytes_that_the_kernel_keeps_do_not(self):
        """Guards against short requests that hide a lost agent.

        The kernel takes each of them at once, so none has to wait.
        """
        silence = peersilence.PeerSilence()
        silence.begin(1000)
        steps = [
            silence.check(now, now, has_backlog=False)
            for now in range(1100, 1900, 100)
        ]
        assert steps[-1] == peersilence.Step.ABORT
