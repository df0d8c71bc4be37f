"""Workloads on simulated deployments, without sockets."""

import io

import pytest

from laburnumlatch import cmdline
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import progress
from laburnumlatch.experiments import faults
from laburnumlatch.experiments import workload

DURATION_MS = 3000
MIN_IN_TIME_SHARE = 0.5


def measure_workload(paths, **fields):
    """Return the figures of a short workload."""
    chosen = workload.scenario([paths], duration_ms=DURATION_MS, **fields)
    return workload.measure(chosen)


class TestWorkload:
    """Seeded workloads, and the figures that are measured on them.

    Figures are comparable only if a seed always gives the same ones.
    """

    def test_same_seed_gives_same_figures(self):
        first, second = (
            measure_workload('deploy/accra', seed=4) for _ in range(2)
        )
        assert first == second
        assert not first['shared_keys']

    @pytest.mark.parametrize('fault', tuple(faults.BY_NAME))
    def test_most_requests_are_in_time_during_fault(self, fault):
        """Guards against a fault that also stops requests to other hosts."""
        figures = measure_workload('deploy/reykjavik', fault=fault)
        assert not figures['shared_keys']
        assert min(figures['in_time'].values()) > MIN_IN_TIME_SHARE

    def test_policies_serve_urgent_requests_better_than_naive_ones(self):
        """Guards against policies that are no better than the naive ones.

        The naive ones wait until the deadline and choose hosts at random.
        Shares in time with the naive policies and with those in force:
        bookings 0.84 and 0.91, status reads 0.74 and 1.00, and lookups, which
        have the lowest priority, 0.83 and 0.67.
        """
        naive, now = (
            measure_workload('deploy/reykjavik', load=0.8, is_naive=is_naive)[
                'in_time'
            ]
            for is_naive in (True, False)
        )
        for name in ('bokun.airing-booking', 'moti.status-read'):
            assert now[name] > naive[name] + 0.05

    def test_cold_server_does_not_crash(self):
        """Guards against a server that crashes while it is cold.

        Without a pace it does so again and again.
        """
        crashes = [
            measure_workload('deploy/accra', fault='cold', is_naive=is_naive)[
                'crashes'
            ]
            for is_naive in (True, False)
        ]
        assert crashes[0]
        assert not crashes[1]

    def test_unknown_fault_is_rejected(self, capsys):
        with pytest.raises(errors.InvalidInputError, match='expected one of'):
            measure_workload('deploy/accra', fault='fire')
        code = cmdline.main(['workload', '--fault', 'fire'])
        assert code == cmdline.EXIT_BAD_INPUT
        assert 'expected one of' in capsys.readouterr().err


class TestProgress:
    """Progress lines of long runs.

    Without them a long run would seem to hang; runs of less than
    two seconds print none.
    """

    def test_prints_one_line_in_two_seconds(self):
        ticker = clock.ManualClock()
        stream = io.StringIO()
        reporter = progress.Progress(ticker, stream, 'workload')
        for share in (0.1, 0.2, 0.3):
            reporter.report(share)
            ticker.advance(1999)
        assert stream.getvalue() == 'workload: 30% done\n'
