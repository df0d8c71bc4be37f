"""Tests of the time accounting of the loop."""

import asyncio
import functools
import time

from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.operators import tracing
from tests import test_logs

SLOW_SYSTEM = 'planner'


def slow_tick(duration_ms, agent, now, note):
    """Run a tick in which `SLOW_SYSTEM` blocks for `duration_ms`."""
    note('members')
    agent.begin_tick(now)
    time.sleep(duration_ms / clock.MS_PER_S)
    note(SLOW_SYSTEM)


async def run_slow_tick(times, duration_ms):
    """Run one tick of an engine in which `SLOW_SYSTEM` blocks the loop."""
    tick = functools.partial(slow_tick, duration_ms)
    agent = ticking.TickState()
    tick_engine = engine.Engine(agent, tick, clock.MonotonicClock(), times)
    tick_engine.post(duration_ms)
    await asyncio.sleep(0.01)


def logged_entries(duration_ms):
    """Return the parsed log lines of a tick that takes `duration_ms`."""
    sink = test_logs.ListSink()
    times = looptimes.LoopTimes(clock.MonotonicClock())
    with (
        test_logs.new_handler(sink).applicationbound(),
        asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(
                looptimes.TimedSelector(times)
            )
        ) as runner,
    ):
        runner.run(run_slow_tick(times, duration_ms))
    return [tracing.parse(line, '') for line in sink.written]


class TestLatePass:
    """Log lines about a pass of the loop that takes too long."""

    def test_line_names_the_slowest_system(self):
        """Guards against an agent that stalls without logging the cause.

        One system blocks the loop for twice the limit. The line must give
        the duration, list that system first, and count the messages that
        the pass handled.
        """
        (entry,) = logged_entries(2 * looptimes.LATE_PASS_MS)
        assert entry.event == 'pass-late'
        assert int(entry.fields['took_ms']) >= 2 * looptimes.LATE_PASS_MS
        assert entry.fields['spent_ms'].startswith(f"{{'{SLOW_SYSTEM}'")
        assert entry.fields['handled'] == "{'int': 1}"

    def test_short_pass_is_not_logged(self):
        """Guards against a log line for every pass."""
        assert not logged_entries(0)
