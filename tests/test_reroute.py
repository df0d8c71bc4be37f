"""Requests that wait for an owner, and the budget of retries."""

import pytest

from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import retries
from tests import worlds

NOW = worlds.START
OTHER = 'bokun-2'


@pytest.fixture
def ingress():
    """Return a world that owns no slot."""
    return worlds.with_plan([OTHER])


def book(number=1, **changes):
    """Return the first attempt of a booking."""
    fields = {'attempt': 1} | changes
    return requestmsg.RequestArrived(
        number, f'id{number}', 'bokun', 'book', 'k', **fields
    )


def refused(exchange, owner=''):
    """Return a refusal by an agent that does not own the slot."""
    return requestmsg.AnswerBegan(
        1,
        exchange,
        requestmsg.Outcome.NOT_RUN,
        requestmsg.Reason.NOT_OWNER,
        owner=owner,
    )


class TestWaiting:
    """A change of owner must not turn into refusals of good requests."""

    def test_hint_is_followed_at_once(self, ingress):
        worlds.tick(ingress, NOW, book())
        ingress.outbox.clear()
        worlds.tick(ingress, NOW, refused(1, 'new-owner:http'))
        (forward,) = ingress.outbox.take(requestmsg.Forward)
        assert forward.address == 'new-owner:http'
        assert not forward.is_repeat

    def test_request_waits_for_an_owner(self, ingress):
        plan = ingress.plans.pop('bokun')
        worlds.tick(ingress, NOW, book())
        worlds.tick(ingress, NOW + 500)
        assert not len(ingress.outbox.take(requestmsg.Refuse))
        ingress.plans.put('bokun', plan)
        worlds.tick(ingress, ingress.placements.next_due)
        assert len(ingress.outbox.take(requestmsg.Forward)) == 1

    def test_waiting_ends_with_the_deadline(self, ingress):
        ingress.plans.pop('bokun')
        worlds.tick(ingress, NOW, book())
        worlds.tick(ingress, NOW + 4000)
        (refusal,) = ingress.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.NOT_RUN
        assert refusal.reason == requestmsg.Reason.NO_OWNER
        assert not len(ingress.parked)

    def test_number_that_waits_is_bounded(self, ingress, monkeypatch):
        monkeypatch.setattr(requests, 'MAX_PARKED', 2)
        ingress.plans.pop('bokun')
        worlds.tick(ingress, NOW, *(book(number) for number in range(1, 5)))
        assert len(ingress.parked) == 2
        assert len(ingress.outbox.take(requestmsg.Refuse)) == 2

    def test_broken_booking_asks_the_same_owner_again(self, ingress):
        worlds.tick(ingress, NOW, book())
        ingress.outbox.clear()
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        worlds.tick(ingress, NOW, broke)
        (forward,) = ingress.outbox.take(requestmsg.Forward)
        assert (forward.host_id, forward.epoch) == (OTHER, 7)
        assert forward.is_repeat

    def test_repeat_without_owner_is_unknown(self, ingress):
        # The first attempt may have run: a denial would be a second payout.
        ingress.plans.pop('bokun')
        worlds.tick(ingress, NOW, book(attempt=2))
        worlds.tick(ingress, NOW + 4000)
        (refusal,) = ingress.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.UNKNOWN


class TestRetryBudget:
    """Retries must not multiply the load of a slow platform."""

    def test_minimum_in_ten_seconds(self, ingress):
        taken = [retries.take(ingress, NOW) for _ in range(12)]
        assert taken.count(True) == retries.MIN_RETRIES
        assert not retries.take(ingress, NOW + 9000)
        assert retries.take(ingress, NOW + 10_000)

    def test_share_of_successes(self, ingress):
        for _ in range(300):
            retries.count_success(ingress, NOW)
        taken = [retries.take(ingress, NOW) for _ in range(40)]
        assert taken.count(True) == 30
