"""Whole answers byte by byte: late, crossed, cut off, from another request."""

import asyncio
import random

import attrs
import pytest

from tests import lab as labs

CALLS = 24
SEEDS = (1, 2, 3)
FAULTS = ('truncate', 'close', 'twice', 'wrong_id')


def work_of(number):
    """Return a booking whose body is like no other's, nor is its size."""
    body = random.Random(number).randbytes(2000 + 900 * number)
    return attrs.evolve(labs.BOOKING, body=body)


class TestBytes:
    """An answer that is another's or a part must not look whole."""

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_parallel_calls(self, tmp_path, seed):
        """Guards against a caller who gets a part, or another's answer."""
        rng = random.Random(seed)
        async with labs.running(tmp_path) as lab:
            for host in lab.hosts.values():
                for fault in FAULTS:
                    setattr(host.backend.faults, fault, rng.randrange(1, 4))
            records = await asyncio.gather(
                *(
                    lab.call(work_of(number), rng.randrange(labs.KEY_COUNT))
                    for number in range(CALLS)
                )
            )
            answered = 0
            for number, record in enumerate(records):
                if record.outcome == labs.ANSWERED:
                    answered += 1
                    assert record.body == work_of(number).body
                else:
                    assert not record.body
                assert lab.run_count(record.request_id) <= 1
            assert answered
            assert answered < CALLS

    async def test_reads_after_faults_get_their_own_answers(self, tmp_path):
        """Guards against an extra answer that is taken for the next one's."""
        async with labs.running(tmp_path) as lab:
            owner = lab.owner_of(labs.MIDDLE_KEY)
            faults = lab.hosts[owner].backend.faults
            for number in range(CALLS):
                faults.twice = number % 2
                faults.wrong_id = number % 3 == 0
                body = str(number).encode()
                work = attrs.evolve(labs.BOOKING, body=body)
                record = await lab.call(work, labs.MIDDLE_KEY, 'm1')
                if record.outcome == labs.ANSWERED:
                    assert record.body == body
