"""Where the loop spends its time."""

import asyncio
import functools
import time

from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.operators import tracing
from tests import test_logs

PART = 'planner'


def slow_tick(held_ms, agent, now, note):
    """Let a system `PART` take `held_ms`."""
    note('members')
    agent.begin_tick(now)
    time.sleep(held_ms / clock.MS_PER_S)
    note(PART)


async def hold_loop(times, held_ms):
    """Run one tick whose system `PART` takes `held_ms`."""
    tick = functools.partial(slow_tick, held_ms)
    agent = ticking.TickState()
    built = engine.Engine(agent, tick, clock.MonotonicClock(), times)
    built.post(held_ms)
    await asyncio.sleep(0.01)


def lines_of(held_ms):
    """Return the lines that a tick of `held_ms` leaves."""
    lines = test_logs.ListSink()
    times = looptimes.LoopTimes(clock.MonotonicClock())
    with (
        test_logs.new_handler(lines).applicationbound(),
        asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(
                looptimes.TimedSelector(times)
            )
        ) as runner,
    ):
        runner.run(hold_loop(times, held_ms))
    return [tracing.parse(line, '') for line in lines.written]


class TestLatePass:
    """A pass of the loop that delays all others."""

    def test_line_names_the_system(self):
        """Guards against a stalled agent that does not tell by what."""
        (entry,) = lines_of(2 * looptimes.LATE_MS)
        assert entry.event == 'pass-late'
        assert int(entry.fields['took_ms']) >= 2 * looptimes.LATE_MS
        assert entry.fields['spent_ms'].startswith(f"{{'{PART}'")
        assert entry.fields['handled'] == "{'int': 1}"

    def test_usual_pass_leaves_none(self):
        """Guards against a line for every pass."""
        assert not lines_of(0)
