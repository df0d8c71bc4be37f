"""Measures of a run on small inputs worked out by hand."""

import pytest

from laburnumlatch.experiments import measures
from laburnumlatch.slots import metrics
from laburnumlatch.slots import planrows
from laburnumlatch.slots import requestmsg
from tests import test_requests
from tests import worlds


def plan(*owners):
    """Return a plan whose slots belong to `owners` in turn."""
    slots = tuple(
        planrows.SlotPlan(planrows.Incarnation(name, 1), (), 1, 1)
        for name in owners
    )
    return planrows.Plan('bokun', 1, slots)


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
    """Churn counts changes of host, not of epoch."""

    def test_counts_each_change(self):
        plans = [plan('a', 'b'), plan('a', 'a'), plan('b', 'b')]
        assert measures.churn(plans) == 3


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


class TestMetrics:
    """The figures of a running agent must agree with what it answered."""

    def test_counts_answers_and_refusals(self):
        owner = worlds.with_plan(['bokun-1'])
        worlds.tick(
            owner,
            worlds.START,
            test_requests.arrived(1),
            test_requests.arrived(2, 'book'),
        )
        ended = requestmsg.AnswerEnded(1, 1)
        worlds.tick(owner, worlds.START + 30, ended)
        worlds.tick(owner, worlds.START + 4000)
        found = metrics.snapshot(owner)
        assert found['counters']['arrived'] == 2
        assert found['counters']['answered'] == 1
        assert found['counters']['unknown deadline'] == 1
        assert found['latency_ms']['crew']['p50'] == 30
