"""The cost measurements behind docs/CAPACITY.md."""

import pytest

from laburnumlatch.experiments import bench


class TestCases:
    """All cases of the benchmark."""

    @pytest.mark.parametrize(
        ('sizes', 'measure'),
        [case[1:] for case in bench.CASES],
        ids=[case[0] for case in bench.CASES],
    )
    def test_case_returns_positive_cost(self, sizes, measure):
        """Guards against cases that were not adapted to a changed message."""
        assert measure(sizes[0]) > 0
