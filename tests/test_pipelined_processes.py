"""Callers that pipeline, with real agents as processes."""

import asyncio
import signal

import attrs
import pytest

from tests import lab as labs

BURST = 12
STOP_AFTER_S = 0.15
SLOW_MS = 120
# Outcomes after which a caller may send its request again.
MAY_BE_SENT_AGAIN = (labs.NOT_RUN, labs.CLOSED)


def lookups(count):
    """Return calls of lookups with different keys."""
    step = labs.KEY_COUNT // count
    return [(labs.LOOKUP, number * step) for number in range(count)]


def bookings(count):
    """Return calls of bookings, whose bodies tell them apart."""
    return [
        (attrs.evolve(labs.BOOKING, body=b'%d' % number), key)
        for number, (_lookup, key) in enumerate(lookups(count))
    ]


def check_outcome(record, run_count):
    """Check that the outcome of a booking is true."""
    if record.outcome == labs.ANSWERED:
        assert run_count == 1
    if record.outcome == labs.NOT_RUN:
        assert not run_count


class TestOrder:
    """Responses come in the order of the requests."""

    async def test_each_request_gets_its_own_response(self, tmp_path):
        """Guards against responses in the order in which servers answer."""
        async with labs.running(tmp_path) as lab:
            address = lab.hosts['m1'].caller_address
            calls = [
                call
                for pair in zip(lookups(BURST), bookings(BURST), strict=True)
                for call in pair
            ]
            records = await lab.callers.call_pipelined(calls, address)
            assert {record.outcome for record in records} == {labs.ANSWERED}
            for record in records:
                assert record.body == record.workload.body
                assert lab.run_count(record.request_id) == 1


class TestPlannedStop:
    """An agent stops while a connection has requests in all states."""

    @pytest.mark.parametrize('signal_number', [signal.SIGTERM, signal.SIGKILL])
    async def test_bookings_behind_open_lookups(self, tmp_path, signal_number):
        """Guards against a booking that runs behind an announced close.

        A caller sends again what was behind a response that closes the
        connection, whatever its kind. After a planned stop, no request that
        was passed on is without its response.
        """
        async with labs.running(tmp_path, work_ms=SLOW_MS) as lab:
            address = lab.hosts['m1'].caller_address
            calls = [*lookups(BURST), *bookings(BURST)]
            sent = asyncio.ensure_future(
                lab.callers.call_pipelined(calls, address)
            )
            await asyncio.sleep(STOP_AFTER_S)
            lab.deployment.send_signal('m1', signal_number)
            records = await sent
            await asyncio.sleep(1)
            runs = {
                record.request_id: lab.run_count(record.request_id)
                for record in records
            }
        assert max(runs[record.request_id] for record in records[BURST:]) <= 1
        for record in records[BURST:]:
            check_outcome(record, runs[record.request_id])
        if signal_number == signal.SIGTERM:
            unanswered = {
                one.request_id
                for one in records
                if one.outcome in MAY_BE_SENT_AGAIN
            }
            assert not any(runs[request_id] for request_id in unanswered)
