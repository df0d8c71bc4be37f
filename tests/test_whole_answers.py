"""Responses of real agents, byte by byte, while backend servers are faulty."""

import asyncio
import random

import attrs
import pytest

from tests import lab as labs

REQUEST_COUNT = 24
SEEDS = (1, 2, 3)
FAULTS = ('truncate', 'close', 'twice', 'wrong_id')


def booking(number):
    """Return a booking workload with a body of unique content and size."""
    body = random.Random(number).randbytes(2000 + 900 * number)
    return attrs.evolve(labs.BOOKING, body=body)


class TestBytes:
    """A caller gets the whole response to its own request, or none."""

    @pytest.mark.parametrize('seed', SEEDS)
    async def test_parallel_calls(self, tmp_path, seed):
        """Guards against callers that get a part or another caller's response.

        Some backend responses are cut short, missing, sent twice or bear
        another request ID. As all bodies differ in content and size, a mix-up
        shows.
        """
        rng = random.Random(seed)
        async with labs.running(tmp_path) as lab:
            for host in lab.hosts.values():
                for fault in FAULTS:
                    setattr(host.backend.faults, fault, rng.randrange(1, 4))
            records = await asyncio.gather(
                *(
                    lab.call(booking(number), rng.randrange(labs.KEY_COUNT))
                    for number in range(REQUEST_COUNT)
                )
            )
            answered_count = 0
            for number, record in enumerate(records):
                if record.outcome == labs.ANSWERED:
                    answered_count += 1
                    assert record.body == booking(number).body
                else:
                    assert not record.body
                assert lab.run_count(record.request_id) <= 1
            assert answered_count
            assert answered_count < REQUEST_COUNT

    async def test_booking_after_a_fault_gets_its_own_response(self, tmp_path):
        """Guards against a surplus response that answers the next booking.

        The bookings go to one owner, one after the other. Duplicates and
        responses with a wrong ID arrive before the response to the next one.
        """
        async with labs.running(tmp_path) as lab:
            owner = lab.owner_of(labs.MIDDLE_KEY)
            faults = lab.hosts[owner].backend.faults
            for number in range(REQUEST_COUNT):
                faults.twice = number % 2
                faults.wrong_id = number % 3 == 0
                body = str(number).encode()
                workload = attrs.evolve(labs.BOOKING, body=body)
                record = await lab.call(workload, labs.MIDDLE_KEY, 'm1')
                if record.outcome == labs.ANSWERED:
                    assert record.body == body
