"""The cost slopes of docs/CAPACITY.md."""

import pytest

from laburnumlatch.experiments import bench


class TestCases:
    """Each cost that is measured."""

    @pytest.mark.parametrize(
        ('sizes', 'measure'),
        [case[1:] for case in bench.CASES],
        ids=[case[0] for case in bench.CASES],
    )
    def test_case_can_be_measured(self, sizes, measure):
        """Guards against a bench that has not changed with a message."""
        assert measure(sizes[0]) > 0
