"""Measures of small inputs, compared with figures calculated by hand."""

import pytest

from laburnumlatch.experiments import measures
from laburnumlatch.mesh import ranges


def plan(*owners):
    """Return a plan that divides the keys equally among `owners`."""
    owner_lives = [(name, ranges.Life(name, 1)) for name in owners]
    return ranges.Plan('bokun', 1, ranges.divide_equally(owner_lives))


class TestImbalance:
    """Imbalance of busy times.

    A wrong value could make a worse policy look better.
    """

    def test_equal_busy_time_is_balanced(self):
        result = measures.imbalance({'a': 5, 'b': 5}, {'a': 1, 'b': 4})
        assert (result.variation, result.max_over_mean) == (0, 1)

    def test_busy_time_is_weighted_by_speed(self):
        result = measures.imbalance({'a': 0, 'b': 8}, {'a': 1, 'b': 3})
        assert result.max_over_mean == pytest.approx(8 / 6)
        assert result.variation == pytest.approx(12**0.5 / 6)


class TestChurn:
    """The number of keys that change host."""

    def test_counts_keys_of_every_plan_change(self):
        plans = [plan('a', 'b'), plan('a', 'a'), plan('b', 'b')]
        assert measures.churn(plans) == 3 * ranges.KEY_COUNT // 2


class TestUnavailableTime:
    """Unavailable time of each class.

    A class without answers must show up although other classes get answers.
    """

    def test_counts_windows_without_useful_answer_by_class(self):
        results = [
            measures.Result('crew', 10, 20, True),
            measures.Result('crew', 150, 900, False),
            measures.Result('resident', 150, 160, True),
            measures.Result('resident', 160, 900, False),
        ]
        assert measures.unavailable_ms(results) == {'crew': 100, 'resident': 0}
        assert measures.useful_share(results)['resident'] == pytest.approx(0.5)
        assert measures.latency(results)['crew']['p99'] == 10
