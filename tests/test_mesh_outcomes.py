"""What callers are told, and what backend servers get, in memory."""

import collections

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import settings
from laburnumlatch.mesh import ticks

TIME_MS = 2000
# An answer may take this much longer than the caller's time; see `expiry`.
GRACE_MS = 200
BURST = 60


def runs_of(fleet):
    """Return how often each request ran."""
    return collections.Counter(
        request_id
        for backend in fleet.backends.values()
        for _at, request_id in backend.started
    )


def own_key(fleet):
    """Return a key of b0."""
    return fleet.backends['b0'].held()[0][0]


class TestSlots:
    """A backend server must never get more work than it has slots."""

    def test_burst_fills_the_slots_and_no_more(self):
        fleet = fleetsim.deployment()
        for number in range(BURST):
            fleet.call('m0', '/look/', own_key(fleet) + number)
        most = 0
        for _ in range(300):
            fleet.run(5)
            most = max(most, len(fleet.backends['b0'].running))
        assert most == fleetbackend.SLOTS


class TestLostAnswers:
    """Work that may have run must not be sent again, nor denied."""

    def test_booking_is_unknown_and_runs_once(self):
        fleet = fleetsim.deployment()
        fleet.backends['b0'].lost_answers = 1
        number = fleet.call('m0', '/book/', own_key(fleet), TIME_MS)
        fleet.run(TIME_MS)
        assert fleet.outcomes[number].verdict == messages.Verdict.UNKNOWN
        assert runs_of(fleet)[f'r{number}'] == 1

    def test_read_is_sent_again(self):
        fleet = fleetsim.deployment()
        fleet.backends['b0'].lost_answers = 1
        number = fleet.call('m0', '/look/', own_key(fleet))
        fleet.run(TIME_MS)
        assert isinstance(fleet.outcomes[number], messages.Deliver)
        assert runs_of(fleet)[f'r{number}'] == 2

    def test_repeats_stay_within_the_budget(self):
        """Guards against repeats that multiply the load of a bad server."""
        fleet = fleetsim.deployment(divided=1, others=1)
        numbers = []
        for _ in range(150):
            fleet.backends['b0'].lost_answers = 1
            numbers.append(fleet.call('m0', '/look/', 7))
            fleet.run(40)
        fleet.run(TIME_MS)
        bounds = fleet.agents['m0'].settings.bounds
        allowed = bounds.retry_ratio * len(numbers) + bounds.retry_extra
        runs = runs_of(fleet)
        repeats = sum(max(0, runs[f'r{one}'] - 1) for one in numbers)
        assert 0 < repeats <= allowed

    def test_end_of_an_older_exchange_is_ignored(self):
        fleet = fleetsim.deployment()
        fleet.backends['m0'].work_ms = 1000
        number = fleet.call('m0', '/')
        fleet.run(50)
        answer = messages.Answer(200, (), b'old')
        fleet.post('m0', messages.ExchangeEnded(number, 0, answer))
        fleet.run(50)
        assert fleet.outcomes[number] is None


class TestDeadlines:
    """A caller must not wait for an answer beyond its deadline."""

    def test_running_booking_times_out(self):
        fleet = fleetsim.deployment()
        fleet.backends['b0'].work_ms = 10 * TIME_MS
        number = fleet.call('m0', '/book/', own_key(fleet), TIME_MS)
        fleet.run(TIME_MS + GRACE_MS)
        assert fleet.outcomes[number].verdict == messages.Verdict.TIMED_OUT
        assert runs_of(fleet)[f'r{number}'] == 1

    def test_booking_that_only_waited_has_not_run(self):
        fleet = fleetsim.deployment()
        for _ in range(fleetbackend.SLOTS):
            fleet.call('m0', '/book/', own_key(fleet), TIME_MS)
        fleet.backends['b0'].work_ms = 10 * TIME_MS
        fleet.run(20)
        waiting = [
            fleet.call('m0', '/book/', own_key(fleet), TIME_MS)
            for _ in range(4)
        ]
        fleet.run(TIME_MS + GRACE_MS)
        for number in waiting:
            assert fleet.outcomes[number].verdict == messages.Verdict.NOT_RUN
            assert not runs_of(fleet)[f'r{number}']


class TestRefusals:
    """Requests that the agent, or its backend server, cannot take."""

    def test_agent_without_a_configuration_is_not_ready(self):
        own = settings.Settings(*(('a:1',) * 10), 10**8)
        agent = agentstate.create(own, 1, 0)
        head = messages.Head('GET', '/x', 'moti.example', (), 'r1')
        agent.inbox.post(messages.RequestArrived(1, head, b'', TIME_MS))
        ticks.tick(agent, 1)
        (refused,) = agent.outbox.take(messages.Refuse)
        assert refused.verdict == messages.Verdict.NOT_RUN
        assert refused.reason == messages.Reason.NOT_READY
        assert refused.retry_after_ms
        assert not agent.is_ready

    def test_read_that_was_shed_goes_to_another_host(self):
        fleet = fleetsim.deployment()
        fleet.backends['m0'].work_ms = 1000
        number = fleet.call('m0', '/')
        fleet.run(50)
        (request,) = fleet.agents['m0'].requests
        fleet.post(
            'm0',
            messages.ExchangeFailed(
                number=number,
                exchange=request.exchange,
                phase=messages.Phase.REFUSED,
                reason=messages.Reason.SHED,
            ),
        )
        fleet.run(400)
        assert fleet.outcomes[number].answer.body == b'm1'
