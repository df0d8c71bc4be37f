"""Whole answers byte by byte: late, crossed, cut off, callers that leave.

The oracle is the body that the key stands for. A caller gets all of it, or
bytes that no reader of HTTP takes for a whole answer.
"""

import asyncio
import io
import itertools
import random
import types
from http import client

import pytest

from laburnumlatch.slots import rows
from tests import rigs

CALLS = 24
SEEDS = (1, 2, 3)
FAULTS = ('none', 'late', 'cut', 'twice')


def body_of(key):
    """Return the body that stands for a key: its size differs too."""
    return random.Random(key).randbytes(2000 + 900 * key)


def fault_of(seed, key):
    """Return what happens to the answer of a key."""
    return random.Random(f'{seed}/{key}').choice(FAULTS)


def is_cut(key):
    """Tell whether the first seed cuts off the answer of a key."""
    return fault_of(SEEDS[0], key) == 'cut'


class Script:
    """A backend server that answers each key with its fault."""

    def __init__(self, seed):
        self._seed = seed

    async def serve(self, rig, _reader, writer):
        path = rig.heads[-1].split(b' ')[1]
        key = int(path.rpartition(b'/')[2])
        answer = rigs.whole(body_of(key))
        fault = fault_of(self._seed, key)
        if fault == 'late':
            await asyncio.sleep(0.05)
        elif fault == 'cut':
            answer = answer[:-100]
        elif fault == 'twice':
            answer += answer
        writer.write(answer)


def body_in(answer):
    """Return the body of an answer, None if it is not whole."""
    connection = types.SimpleNamespace(makefile=lambda _: io.BytesIO(answer))
    response = client.HTTPResponse(connection)
    try:
        response.begin()
        return response.read()
    except client.HTTPException:
        return None


def booking(key):
    """Return a request that no agent may send again."""
    return rigs.request('book', key=key, method='POST')


def widen(rig):
    """Let all calls run at once."""
    rig.world.local_server().concurrent = 2 * CALLS
    classes = rig.world.services.get('bokun').classes
    for name in tuple(classes):
        classes[name] = rows.RequestClass(name, 0, 2 * CALLS)


class TestBytes:
    """An answer that is another's or a part must not look whole."""

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_parallel_calls(self, seed):
        async with rigs.Rig(Script(seed).serve) as rig:
            widen(rig)
            answers = await asyncio.gather(
                *(rig.ask(booking(key)) for key in range(CALLS))
            )
        for key, answer in enumerate(answers):
            body = body_in(answer)
            if fault_of(seed, key) == 'cut':
                assert body is None or b'Outcome: unknown' in answer
            else:
                assert body == body_of(key)

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_callers_that_leave_do_not_shift_answers(self, seed):
        async with rigs.Rig(Script(seed).serve) as rig:
            widen(rig)
            for key in range(0, CALLS, 2):
                _, writer = await rig.connect(booking(key))
                writer.transport.abort()
            answers = await asyncio.gather(
                *(rig.ask(booking(odd)) for odd in range(1, CALLS, 2))
            )
        for number, answer in enumerate(answers):
            odd = 2 * number + 1
            if fault_of(seed, odd) != 'cut':
                assert body_in(answer) == body_of(odd)

    async def test_pipelined_calls_are_answered_in_their_order(self):
        whole = itertools.filterfalse(is_cut, range(CALLS))
        keys = tuple(itertools.islice(whole, 4))
        kept = b''.join(map(booking, keys[:-1]))
        kept = kept.replace(b'Connection: close\r\n', b'')
        async with rigs.Rig(Script(SEEDS[0]).serve) as rig:
            widen(rig)
            answer = await rig.ask(kept + booking(keys[-1]))
        begins = [answer.find(body_of(key)[:200]) for key in keys]
        ends = [answer.find(body_of(key)[-200:]) for key in keys]
        assert -1 not in {*begins, *ends}
        assert begins == sorted(begins)
        assert ends == sorted(ends)
