"""Outcomes for callers and runs at backend servers, in a `Fleet`."""

import collections

import pytest

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import settings
from laburnumlatch.mesh import ticks

TIME_MS = 2000
# A response may come this long after the deadline; see `expiry`.
GRACE_MS = 200
BURST = 60


def runs_of(fleet):
    """Return how often each request ran."""
    return collections.Counter(
        request_id
        for backend in fleet.backends.values()
        for _at, request_id in backend.started
    )


def key_of_b0(fleet):
    """Return a key whose owner is b0."""
    return fleet.backends['b0'].held_ranges()[0][0]


def outcome_with_fault(path, fault):
    """Send a request that meets a fault of its server once.

    `fault` is the name of a counter of `fleetbackend.Backend`. Returns the
    outcome for the caller, and how often the request ran.
    """
    fleet = fleetsim.deployment()
    setattr(fleet.backends['b0'], fault, 1)
    number = fleet.call('m0', path, key_of_b0(fleet), TIME_MS)
    fleet.run(TIME_MS)
    return fleet.outcomes[number], runs_of(fleet)[f'r{number}']


class TestSlots:
    """A backend server must never get more requests than it has slots."""

    def test_burst_fills_the_slots_and_no_more(self):
        """Guards against a burst of requests that is sent on at once."""
        fleet = fleetsim.deployment()
        for number in range(BURST):
            fleet.call('m0', '/look/', key_of_b0(fleet) + number)
        most = 0
        for _ in range(300):
            fleet.run(5)
            most = max(most, len(fleet.backends['b0'].running))
        assert most == fleetbackend.SLOTS


class TestSheddingServer:
    """A server, the owner of a key, that refuses some requests as not run."""

    @pytest.mark.parametrize('path', ['/look/', '/book/'])
    def test_request_is_sent_to_the_owner_again(self, path):
        """Guards against failing callers while the server runs most requests.

        No other server may run a request with this key.
        """
        outcome, runs = outcome_with_fault(path, 'sheds')
        assert isinstance(outcome, messages.Deliver)
        assert runs == 1

    def test_request_that_is_refused_again_has_not_run(self):
        """Guards against sending a request until its deadline."""
        fleet = fleetsim.deployment()
        fleet.backends['b0'].sheds = 10
        number = fleet.call('m0', '/book/', key_of_b0(fleet), TIME_MS)
        fleet.run(TIME_MS)
        assert fleet.outcomes[number].verdict == messages.Verdict.NOT_RUN
        assert fleet.backends['b0'].sheds == 10 - outcomes.MAX_SENDS_TO_OWNER
        assert not runs_of(fleet)[f'r{number}']

    def test_repeats_stay_within_the_budget(self):
        """Guards against doubling the load of a server that refuses all."""
        fleet = fleetsim.deployment(divided=1, others=1)
        backend = fleet.backends['b0']
        backend.sheds = 10 * BURST
        for _ in range(2 * BURST):
            fleet.call('m0', '/look/', 7)
            fleet.run(20)
        fleet.run(TIME_MS)
        bounds = settings.Bounds()
        arrivals = 10 * BURST - backend.sheds
        allowed = bounds.retry_ratio * 2 * BURST + bounds.retry_extra
        assert 2 * BURST < arrivals <= 2 * BURST + allowed


class TestStaleConnections:
    """A kept connection that the server has closed for having rested."""

    def test_safe_request_is_sent_again(self):
        """Guards against failing a caller for a connection that rested."""
        outcome, runs = outcome_with_fault('/look/', 'stale_connections')
        assert isinstance(outcome, messages.Deliver)
        assert runs == 1

    def test_booking_is_unknown_and_not_sent_again(self):
        """Guards against a second run: the server may have read the first."""
        outcome, runs = outcome_with_fault('/book/', 'stale_connections')
        assert outcome.verdict == messages.Verdict.UNKNOWN
        assert not runs

    def test_repeats_stay_within_the_budget(self):
        """Guards against doubling the load of a server that closes all."""
        fleet = fleetsim.deployment(divided=1, others=1)
        fleet.backends['b0'].stale_connections = 10 * BURST
        numbers = [fleet.call('b0', '/look/', 7) for _ in range(BURST)]
        fleet.run(TIME_MS)
        bounds = settings.Bounds()
        runs = runs_of(fleet)
        repeats = sum(runs[f'r{number}'] for number in numbers)
        allowed = bounds.retry_ratio * BURST + bounds.retry_extra
        assert 0 < repeats <= allowed


class TestLostAnswers:
    """A request whose response was lost may have run.

    It is retried only if it is safe, and never reported as not run.
    """

    def test_booking_is_unknown_and_runs_once(self):
        """Guards against running twice what must run once."""
        outcome, runs = outcome_with_fault('/book/', 'lost_answers')
        assert outcome.verdict == messages.Verdict.UNKNOWN
        assert runs == 1

    def test_read_is_retried(self):
        """Guards against a lost response that fails a safe request."""
        outcome, runs = outcome_with_fault('/look/', 'lost_answers')
        assert isinstance(outcome, messages.Deliver)
        assert runs == 2

    def test_retries_stay_within_the_budget(self):
        """Guards against retries that multiply the load of a failing server.

        For each of 150 reads, the server loses one response.
        """
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
        retries = sum(max(0, runs[f'r{number}'] - 1) for number in numbers)
        assert 0 < retries <= allowed

    def test_response_of_an_earlier_exchange_is_ignored(self):
        """Guards against a late response that is taken for the present one."""
        fleet = fleetsim.deployment()
        fleet.backends['m0'].work_ms = 1000
        number = fleet.call('m0', '/')
        fleet.run(50)
        answer = messages.Answer(200, (), b'old')
        fleet.post('m0', messages.ExchangeEnded(number, 0, answer))
        fleet.run(50)
        assert fleet.outcomes[number] is None


class TestDeadlines:
    """A caller must get an outcome at its deadline."""

    def test_running_booking_times_out(self):
        """Guards against a slow server that keeps a caller waiting.

        The booking may still take effect, so the outcome is a timeout.
        """
        fleet = fleetsim.deployment()
        fleet.backends['b0'].work_ms = 10 * TIME_MS
        number = fleet.call('m0', '/book/', key_of_b0(fleet), TIME_MS)
        fleet.run(TIME_MS + GRACE_MS)
        assert fleet.outcomes[number].verdict == messages.Verdict.TIMED_OUT
        assert runs_of(fleet)[f'r{number}'] == 1

    def test_booking_that_was_only_queued_has_not_run(self):
        """Guards against an unknown outcome for a request never started.

        All slots are taken beyond the deadlines of the queued bookings.
        """
        fleet = fleetsim.deployment()
        for _ in range(fleetbackend.SLOTS):
            fleet.call('m0', '/book/', key_of_b0(fleet), TIME_MS)
        fleet.backends['b0'].work_ms = 10 * TIME_MS
        fleet.run(20)
        queued = [
            fleet.call('m0', '/book/', key_of_b0(fleet), TIME_MS)
            for _ in range(4)
        ]
        fleet.run(TIME_MS + GRACE_MS)
        for number in queued:
            assert fleet.outcomes[number].verdict == messages.Verdict.NOT_RUN
            assert not runs_of(fleet)[f'r{number}']


class TestRefusals:
    """Requests that the agent or its backend server refuses."""

    def test_agent_without_a_configuration_is_not_ready(self):
        """Guards against requests accepted before the routes are known."""
        agent_settings = settings.Settings(*(('a:1',) * 10), 10**8)
        agent = agentstate.create(agent_settings, 1, 0)
        head = messages.Head('GET', '/x', 'moti.example', (), 'r1')
        agent.inbox.post(messages.RequestArrived(1, head, b'', TIME_MS))
        ticks.tick(agent, 1)
        (refused,) = agent.outbox.take(messages.Refuse)
        assert refused.verdict == messages.Verdict.NOT_RUN
        assert refused.reason == messages.Reason.NOT_READY
        assert refused.retry_after_ms
        assert not agent.is_ready

    def test_read_that_was_shed_goes_to_another_host(self):
        """Guards against failing a read that another host could serve.

        The local backend server refuses it for overload.
        """
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
