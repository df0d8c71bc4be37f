"""Bookings over real agents run at most once, whatever process is lost.

Each test compares the executions at the backend servers with the outcomes
that callers got; see `bursts`.
"""

import pytest

from tests import bursts
from tests import lab as labs

HOSTS = ('b1', 'b2', 'b3', 'b4')


def outcomes(records):
    """Return the set of outcomes of a burst."""
    return {record.outcome for record in records}


class TestLostProcesses:
    """An agent or a backend server is killed, paused or frozen in a burst."""

    @pytest.mark.time_limit(60)
    @pytest.mark.parametrize(
        'fault',
        [
            bursts.kill_owner,
            bursts.kill_ingress,
            bursts.pause_owner,
            bursts.freeze_server,
            bursts.kill_server,
        ],
    )
    async def test_runs_agree_with_outcomes(self, tmp_path, fault):
        """Guards against a second execution after the loss of a process.

        A booking that may have been executed must not be sent again, and must
        not be reported as not run. Not all may be reported so: the burst
        would prove nothing.
        """
        async with labs.running(tmp_path, divided=4) as lab:
            burst_outcomes = outcomes(await bursts.run_burst(lab, fault))
            assert burst_outcomes - {labs.NOT_RUN}


class TestBrokenConnections:
    """Responses of a burst are lost, cut short or sent twice."""

    @pytest.mark.time_limit(60)
    @pytest.mark.parametrize(
        'fault', [bursts.cut, bursts.silence, bursts.truncate]
    )
    async def test_runs_agree_with_outcomes(self, tmp_path, fault):
        """Guards against a second execution after the loss of a response.

        The agent cannot know whether such a booking was executed: it must
        not send it again. Some booking must have lost its response, or the
        fault had no effect.
        """
        async with labs.running(tmp_path, divided=4, proxied=HOSTS) as lab:
            burst_outcomes = outcomes(await bursts.run_burst(lab, fault))
            assert burst_outcomes - {labs.ANSWERED, labs.NOT_RUN}

    @pytest.mark.time_limit(60)
    async def test_duplicate_response_is_not_matched_to_another_booking(
        self, tmp_path
    ):
        """Guards against a duplicate that answers the next booking.

        It arrives on the same connection, on which the next booking waits for
        its own response.
        """
        async with labs.running(tmp_path, divided=4) as lab:
            await bursts.run_burst(lab, bursts.repeat_answers)
