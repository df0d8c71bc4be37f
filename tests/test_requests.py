"""Requests through the tables of one agent, without sockets."""

import pytest

from laburnumlatch.slots import requestmsg
from tests import worlds

OTHER = 'bokun-2'


def arrived(number=1, operation='rack', **changes):
    """Return a request for some key."""
    fields = {
        'number': number,
        'request_id': f'r{number}',
        'service': 'bokun',
        'operation': operation,
        'key': 'some-key',
        'attempt': 1,
    }
    return requestmsg.RequestArrived(**(fields | changes))


@pytest.fixture
def owner():
    """Return a world that owns every slot."""
    return worlds.with_plan(['bokun-1'])


@pytest.fixture
def ingress():
    """Return a world that owns no slot."""
    return worlds.with_plan([OTHER])


class TestRouting:
    """A request that goes to the wrong host would meet no state there."""

    def test_owner_runs_own_request(self, owner):
        worlds.tick(owner, worlds.START, arrived())
        (send,) = owner.outbox.take(requestmsg.Send)
        assert (send.number, send.token) == (1, 7)

    def test_other_host_forwards(self, ingress):
        worlds.tick(ingress, worlds.START, arrived())
        (forward,) = ingress.outbox.take(requestmsg.Forward)
        assert forward.host_id == OTHER
        assert not ingress.outbox.take(requestmsg.Send)

    def test_forwarded_request_is_not_forwarded_again(self, ingress):
        worlds.tick(ingress, worlds.START, arrived(forwarded_from='bokun-9'))
        (refusal,) = ingress.outbox.take(requestmsg.Refuse)
        assert refusal.reason == requestmsg.Reason.NOT_OWNER
        assert refusal.owner == f'{OTHER}:http'

    @pytest.mark.parametrize(
        ('change', 'reason'),
        [
            ({'service': 'nope'}, requestmsg.Reason.UNKNOWN_SERVICE),
            ({'operation': 'nope'}, requestmsg.Reason.UNKNOWN_OPERATION),
            ({'body_bytes': 1025}, requestmsg.Reason.BODY_TOO_LARGE),
        ],
    )
    def test_bad_request_is_refused_as_not_run(self, owner, change, reason):
        worlds.tick(owner, worlds.START, arrived(**change))
        (refusal,) = owner.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.NOT_RUN
        assert refusal.reason == reason

    def test_agent_without_documents_is_not_ready(self):
        # "unknown service" would tell callers not to come again.
        restarted = worlds.create()
        worlds.tick(restarted, worlds.START, arrived())
        (refusal,) = restarted.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.NOT_RUN
        assert refusal.reason == requestmsg.Reason.NOT_READY


class TestDispatch:
    """A backend server must never get more work than it has slots."""

    def test_running_requests_never_exceed_slots(self, owner):
        worlds.tick(
            owner, worlds.START, *(arrived(number) for number in range(1, 5))
        )
        assert len(owner.outbox.take(requestmsg.Send)) == 2
        worlds.tick(owner, worlds.START, requestmsg.AnswerEnded(1, 1))
        (send,) = owner.outbox.take(requestmsg.Send)
        assert send.number == 3

    def test_urgent_class_goes_first(self, owner):
        busy = [arrived(number) for number in (1, 2)]
        waiting = [arrived(3, 'book'), arrived(4, 'rack')]
        worlds.tick(owner, worlds.START, *busy, *waiting)
        owner.outbox.take(requestmsg.Send)
        worlds.tick(owner, worlds.START, requestmsg.AnswerEnded(1, 1))
        (send,) = owner.outbox.take(requestmsg.Send)
        assert send.number == 4


class TestOutcomes:
    """A write that may have run must not be sent again, nor denied."""

    def test_broken_read_is_sent_again_on_fresh_connection(self, owner):
        worlds.tick(owner, worlds.START, arrived())
        owner.outbox.take(requestmsg.Send)
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        worlds.tick(owner, worlds.START, broke)
        (send,) = owner.outbox.take(requestmsg.Send)
        assert send.exchange == 2
        assert send.fresh_connection

    def test_broken_write_is_unknown(self, owner):
        worlds.tick(owner, worlds.START, arrived(operation='book'))
        owner.outbox.take(requestmsg.Send)
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        worlds.tick(owner, worlds.START, broke)
        (refusal,) = owner.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.UNKNOWN
        assert not owner.outbox.take(requestmsg.Send)

    def test_event_of_an_older_exchange_is_ignored(self, owner):
        worlds.tick(owner, worlds.START, arrived())
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.UNSENT)
        worlds.tick(owner, worlds.START, broke)
        late = requestmsg.AnswerBegan(1, 1, requestmsg.Outcome.ANSWERED)
        worlds.tick(owner, worlds.START, late)
        assert not owner.outbox.take(requestmsg.Relay)


class TestDeadlines:
    """A caller must not wait for an answer beyond its deadline."""

    def test_running_request_is_canceled_and_unknown(self, owner):
        worlds.tick(owner, worlds.START, arrived())
        worlds.tick(owner, worlds.START + 400)
        (refusal,) = owner.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.UNKNOWN
        assert owner.outbox.take(requestmsg.Cancel)
        assert not len(owner.requests)

    def test_queued_request_was_not_run(self, owner):
        worlds.tick(
            owner, worlds.START, *(arrived(number) for number in range(1, 4))
        )
        worlds.tick(owner, worlds.START + 400)
        outcomes = {
            refusal.number: refusal.outcome
            for refusal in owner.outbox.take(requestmsg.Refuse)
        }
        assert outcomes[3] == requestmsg.Outcome.NOT_RUN

    def test_ingress_waits_longer_than_owner(self, owner, ingress):
        for world in (owner, ingress):
            worlds.tick(world, worlds.START, arrived(body_bytes=0))
            worlds.tick(world, worlds.START + 200)
        assert owner.outbox.take(requestmsg.Cancel)
        assert not ingress.outbox.take(requestmsg.Cancel)
        worlds.tick(ingress, worlds.START + 300)
        assert ingress.outbox.take(requestmsg.Cancel)

    def test_owner_repeats_a_forwarded_read_itself(self, owner):
        # Its ingress was told 'unknown' at half of the deadline.
        worlds.tick(
            owner,
            worlds.START,
            arrived(body_bytes=0, forwarded_from='bokun-9'),
        )
        owner.outbox.clear()
        worlds.tick(owner, worlds.START + 200)
        (send,) = owner.outbox.take(requestmsg.Send)
        assert send.fresh_connection
        assert not owner.outbox.take(requestmsg.Refuse)

    def test_no_attempt_without_time_for_it(self, owner):
        # A read was repeated in its last 30 ms and then told 'unknown'.
        worlds.tick(owner, worlds.START, arrived(body_bytes=0, time_left_ms=90))
        owner.outbox.clear()
        worlds.tick(owner, worlds.START + 46)
        assert not owner.outbox.take(requestmsg.Cancel)

    def test_queued_read_is_refused_before_its_ingress_repeats_it(self, owner):
        # After the repeat nobody could tell that it had not run.
        worlds.tick(
            owner,
            worlds.START,
            *(
                arrived(number, body_bytes=0, forwarded_from='bokun-9')
                for number in range(1, 4)
            ),
        )
        worlds.tick(owner, worlds.START + 240)
        (refusal,) = owner.outbox.take(requestmsg.Refuse)
        assert (refusal.number, refusal.outcome) == (
            3,
            requestmsg.Outcome.NOT_RUN,
        )

    def test_refusal_on_its_way_at_the_deadline_is_passed_on(self, ingress):
        # The caller of a request that was never run was told 'unknown'.
        worlds.tick(ingress, worlds.START, arrived())
        worlds.tick(ingress, worlds.START + 400)
        assert not ingress.outbox.take(requestmsg.Refuse)
        verdict = requestmsg.AnswerBegan(
            1, 1, requestmsg.Outcome.NOT_RUN, requestmsg.Reason.DEADLINE
        )
        worlds.tick(ingress, worlds.START + 440, verdict)
        (refusal,) = ingress.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.NOT_RUN

    def test_silent_owner_leaves_the_outcome_unknown(self, ingress):
        worlds.tick(ingress, worlds.START, arrived())
        worlds.tick(ingress, worlds.START + 400)
        worlds.tick(ingress, worlds.START + 650)
        (refusal,) = ingress.outbox.take(requestmsg.Refuse)
        assert refusal.outcome == requestmsg.Outcome.UNKNOWN
        assert not len(ingress.requests)


class TestBackoff:
    """A retry at the host that sheds, or too early, adds to the overload."""

    def test_shed_read_goes_to_another_host(self):
        world = worlds.with_plan(['bokun-1', OTHER], divided_by_key=False)
        world.hosts.get(OTHER).in_flight = 9
        worlds.tick(world, worlds.START, arrived())
        assert world.outbox.take(requestmsg.Send)
        worlds.tick(world, worlds.START, _shed(1))
        (forward,) = world.outbox.take(requestmsg.Forward)
        assert forward.host_id == OTHER
        assert not world.outbox.take(requestmsg.Send)

    def test_refusal_says_when_a_host_takes_work_again(self):
        world = worlds.with_plan(['bokun-1', OTHER], divided_by_key=False)
        for wait_ms, host in zip((900, 700), world.hosts, strict=True):
            host.backoff_until = worlds.START + wait_ms
        worlds.tick(world, worlds.START, arrived())
        (refusal,) = world.outbox.take(requestmsg.Refuse)
        assert refusal.reason == requestmsg.Reason.SHED
        assert refusal.retry_after_ms == 700


def _shed(number):
    return requestmsg.AnswerBegan(
        number,
        1,
        requestmsg.Outcome.NOT_RUN,
        requestmsg.Reason.SHED,
        1000,
        replayable=True,
    )
