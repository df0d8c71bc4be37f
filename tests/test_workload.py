"""The workload command: every mode ends, repeats and shows progress."""

import io

import pytest

from laburnumlatch.core import clock
from laburnumlatch.core import progress
from laburnumlatch.experiments import workreport

MODES = (
    {'load': 2},
    {'load': 5, **workreport.NAIVE},
    {'fault': 'silent'},
    {'fault': 'restart', 'prefer': 'churn'},
)


class TestWorkload:
    """Figures that change from run to run would prove nothing."""

    @pytest.mark.parametrize('name', ['reykjavik', 'accra'])
    @pytest.mark.parametrize('mode', MODES)
    def test_same_seed_same_figures(self, name, mode):
        found = [
            workreport.measure(
                workreport.scenario(name, duration_ms=600, **mode),
            )
            for _ in range(2)
        ]
        assert found[0] == found[1]
        assert all(service['useful_per_s'] for service in found[0].values())


class TestProgress:
    """Long work without a sign of life looks hung, short work stays quiet."""

    def test_a_line_every_two_seconds(self):
        ticker = clock.ManualClock()
        stream = io.StringIO()
        shown = progress.Progress(ticker, stream, 'workload')
        for share in (0.1, 0.2, 0.3):
            shown.report(share)
            ticker.advance(1999)
        assert stream.getvalue() == 'workload: 30% done\n'
