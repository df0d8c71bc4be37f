"""Wake-up times of the loop that runs the ticks."""

import asyncio

import pytest

from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking

DUE_MS = 40
EARLIER_MS = 20
LIMIT_S = 2


class _Waker:
    """A system that asks for the wake-up times in `due_times`, in turn."""

    def __init__(self, due_times):
        self._due_times = list(due_times)
        self.woken_at = []

    def tick(self, agent, now, note):
        agent.begin_tick(now)
        self.woken_at.append(now)
        note('waker')
        if self._due_times:
            agent.wake_at(self._due_times.pop(0))


async def _woken_at(due_times, ticks_now, count):
    """Return the times of `count` ticks, the first `ticks_now` at once."""
    time_source = clock.MonotonicClock()
    start = time_source.now()
    waker = _Waker(start + due_ms for due_ms in due_times)
    times = looptimes.LoopTimes(time_source)
    running = engine.Engine(ticking.TickState(), waker.tick, time_source, times)
    for _ in range(ticks_now):
        running.wake()
        await asyncio.sleep(0)
    async with asyncio.timeout(LIMIT_S):
        while len(waker.woken_at) < count:
            await asyncio.sleep(0.005)
    return [woken_at - start for woken_at in waker.woken_at]


class TestWakeTimes:
    """Guards against a due time that is missed, as its timer was reused."""

    @pytest.mark.parametrize(
        'due_times',
        [
            (DUE_MS, DUE_MS),
            (DUE_MS, EARLIER_MS),
            (EARLIER_MS, DUE_MS),
        ],
    )
    def test_wakes_at_the_time_of_the_last_tick(self, due_times):
        woken_at = asyncio.run(_woken_at(due_times, 2, 3))
        assert woken_at[-1] >= due_times[-1] - 1

    def test_wakes_again_for_a_time_that_has_passed_already(self):
        due_times = (EARLIER_MS, EARLIER_MS, EARLIER_MS)
        assert len(asyncio.run(_woken_at(due_times, 1, 4))) >= 4
