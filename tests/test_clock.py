"""Clocks, while the time of day of the machine jumps."""

import pytest

from laburnumlatch.core import clock
from laburnumlatch.core import logs
from tests import test_logs

START_MS = 1_764_000_000_000
STEP_MS = 100


class TestTimeOfDayJumps:
    """The time of day jumps by seconds, forward or backward, and back."""

    def jumping_times(self, jump_ms):
        """Return (steady wall clock, wall clock) before and after a jump."""
        wall_clock = clock.ManualClock(START_MS)
        steady_clock = clock.ManualClock(7)
        steady_wall_clock = clock.SteadyWallClock(wall_clock, steady_clock)
        for step_ms in (0, jump_ms, -jump_ms):
            wall_clock.advance(step_ms + STEP_MS)
            steady_clock.advance(STEP_MS)
            yield steady_wall_clock

    @pytest.mark.parametrize('jump_ms', [3000, -3000])
    def test_steady_time_goes_on(self, jump_ms):
        """Guards against intervals that a jump makes longer or negative."""
        times = [source.now() for source in self.jumping_times(jump_ms)]
        assert times == [START_MS + STEP_MS * count for count in (1, 2, 3)]

    @pytest.mark.parametrize('jump_ms', [3000, -3000])
    def test_log_lines_keep_their_order(self, jump_ms):
        """Guards against a trace that shows an effect before its cause."""
        sink = test_logs.ListSink()
        for number, source in enumerate(self.jumping_times(jump_ms)):
            handler = test_logs.new_handler(sink, wall_clock=source)
            with handler.applicationbound():
                logs.logger('agent').info('event', number=number)
        assert sorted(sink.written) == sink.written
        assert len(sink.written) == 3
