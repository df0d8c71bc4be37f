"""Measures of a run on small inputs worked out by hand."""

import pytest

from laburnumlatch.experiments import measures
from laburnumlatch.mesh import ranges


def plan(*owners):
    """Return a plan whose keys belong to `owners` in equal parts."""
    named = [(name, ranges.Life(name, 1)) for name in owners]
    return ranges.Plan('bokun', 1, ranges.divide_equally(named))


class TestImbalance:
    """A wrong measure would let a worse policy look better."""

    def test_equal_busy_time_is_balanced(self):
        found = measures.imbalance({'a': 5, 'b': 5}, {'a': 1, 'b': 4})
        assert (found.variation, found.max_over_mean) == (0, 1)

    def test_fast_host_weighs_more(self):
        found = measures.imbalance({'a': 0, 'b': 8}, {'a': 1, 'b': 3})
        assert found.max_over_mean == pytest.approx(8 / 6)
        assert found.variation == pytest.approx(12**0.5 / 6)


class TestChurn:
    """Churn counts keys that change host."""

    def test_counts_each_change(self):
        plans = [plan('a', 'b'), plan('a', 'a'), plan('b', 'b')]
        assert measures.churn(plans) == 3 * ranges.KEY_COUNT // 2


class TestUnavailableTime:
    """A class without answers must show, whatever the others get."""

    def test_time_without_useful_answer(self):
        results = [
            measures.Result('crew', 10, 20, True),
            measures.Result('crew', 150, 900, False),
            measures.Result('resident', 150, 160, True),
            measures.Result('resident', 160, 900, False),
        ]
        assert measures.unavailable_ms(results) == {'crew': 100, 'resident': 0}
        assert measures.useful_share(results)['resident'] == pytest.approx(0.5)
        assert measures.latency(results)['crew']['p99'] == 10
