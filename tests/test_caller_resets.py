"""Callers who reset their connection while others wait for their responses."""

import socket
import struct

import pytest

from tests import fronts

RESET = struct.pack('ii', 1, 0)
CLOSING = 'Connection: close'
LONG_BODY = b'x' * 100_000
# How far the caller gets before the reset.
STEPS = ('requests', 'part of a response', 'response')


def leave(writer, is_reset):
    """Close a connection at once, with a reset or with a regular end.

    What arrives behind a regular end is answered with a reset.
    """
    if is_reset:
        opened = writer.transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class TestResets:
    """A caller who leaves just as its response is written."""

    @pytest.mark.parametrize('is_reset', [False, True])
    @pytest.mark.parametrize('is_stopping', [False, True])
    @pytest.mark.parametrize('fields', [(), (CLOSING,)])
    @pytest.mark.parametrize('step', STEPS)
    async def test_others_get_their_responses(
        self, step, fields, is_stopping, is_reset
    ):
        """Guards against answers that are lost as another caller leaves.

        The end of the output failed on the reset connection, and the other
        messages of the tick were dropped. The agent has not read the end.
        """
        async with fronts.responding() as responder:
            leaving, leaving_writer = await responder.connect()
            leaving_writer.write(fronts.get('/a'))
            leaving_writer.write(fronts.get('/b', *fields))
            reader, writer = await responder.connect()
            writer.write(fronts.get('/c'))
            await responder.wait_for('/a', '/b', '/c')
            if is_stopping:
                responder.front.begin_stop()
            if step != 'requests':
                responder.answer('/a', LONG_BODY)
                await leaving.readexactly(len(LONG_BODY) // 2)
            if step == 'response':
                await leaving.readexactly(len(LONG_BODY) // 2)
            leave(leaving_writer, is_reset)
            for target in ('/a', '/b', '/c'):
                responder.answer(target)
            response = await fronts.read_response(reader)
            assert response.body == b'/c'
            writer.close()

    async def test_many_leave_in_one_tick(self):
        """Guards against the same with many callers in one tick."""
        async with fronts.responding() as responder:
            targets = [f'/{number}' for number in range(20)]
            writers = []
            for target in targets:
                writers.append((await responder.connect())[1])
                writers[-1].write(fronts.get(target, CLOSING))
            reader, writer = await responder.connect()
            writer.write(fronts.get('/z'))
            await responder.wait_for('/z', *targets)
            for number, leaving in enumerate(writers):
                leave(leaving, is_reset=bool(number % 2))
            for target in (*targets, '/z'):
                responder.answer(target)
            response = await fronts.read_response(reader)
            assert response.body == b'/z'
            writer.close()
