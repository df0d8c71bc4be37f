"""What callers are told, and what backend servers get, in memory."""

import collections

from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import fleetbackend
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import settings
from laburnumlatch.mesh import ticks

TIME_MS = 2000
# An answer may take this much longer than the caller's time; see `expiry`.
GRACE_MS = 200
BURST = 60


def runs_of(net):
    """Return how often each request ran."""
    return collections.Counter(
        request_id
        for backend in net.backends.values()
        for _at, request_id in backend.started
    )


def own_key(net):
    """Return a key of b0."""
    return net.backends['b0'].held()[0][0]


class TestSlots:
    """A backend server must never get more work than it has slots."""

    def test_burst_fills_the_slots_and_no_more(self):
        net = fleetsim.deployment()
        for number in range(BURST):
            net.call('m0', '/look/', own_key(net) + number)
        most = 0
        for _ in range(300):
            net.run(5)
            most = max(most, len(net.backends['b0'].running))
        assert most == fleetbackend.SLOTS


class TestLostAnswers:
    """Work that may have run must not be sent again, nor denied."""

    def test_booking_is_unknown_and_runs_once(self):
        net = fleetsim.deployment()
        net.backends['b0'].lost_answers = 1
        number = net.call('m0', '/book/', own_key(net), TIME_MS)
        net.run(TIME_MS)
        assert net.outcomes[number].verdict == messages.Verdict.UNKNOWN
        assert runs_of(net)[f'r{number}'] == 1

    def test_read_is_sent_again(self):
        net = fleetsim.deployment()
        net.backends['b0'].lost_answers = 1
        number = net.call('m0', '/look/', own_key(net))
        net.run(TIME_MS)
        assert isinstance(net.outcomes[number], messages.Deliver)
        assert runs_of(net)[f'r{number}'] == 2

    def test_repeats_stay_within_the_budget(self):
        """Guards against repeats that multiply the load of a bad server."""
        net = fleetsim.deployment(divided=1, others=1)
        numbers = []
        for _ in range(150):
            net.backends['b0'].lost_answers = 1
            numbers.append(net.call('m0', '/look/', 7))
            net.run(40)
        net.run(TIME_MS)
        bounds = net.agents['m0'].settings.bounds
        allowed = bounds.retry_ratio * len(numbers) + bounds.retry_extra
        runs = runs_of(net)
        repeats = sum(max(0, runs[f'r{one}'] - 1) for one in numbers)
        assert 0 < repeats <= allowed

    def test_end_of_an_older_exchange_is_ignored(self):
        net = fleetsim.deployment()
        net.backends['m0'].work_ms = 1000
        number = net.call('m0', '/')
        net.run(50)
        answer = messages.Answer(200, (), b'old')
        net.post('m0', messages.ExchangeEnded(number, 0, answer))
        net.run(50)
        assert net.outcomes[number] is None


class TestDeadlines:
    """A caller must not wait for an answer beyond its deadline."""

    def test_running_booking_times_out(self):
        net = fleetsim.deployment()
        net.backends['b0'].work_ms = 10 * TIME_MS
        number = net.call('m0', '/book/', own_key(net), TIME_MS)
        net.run(TIME_MS + GRACE_MS)
        assert net.outcomes[number].verdict == messages.Verdict.TIMED_OUT
        assert runs_of(net)[f'r{number}'] == 1

    def test_booking_that_only_waited_has_not_run(self):
        net = fleetsim.deployment()
        for _ in range(fleetbackend.SLOTS):
            net.call('m0', '/book/', own_key(net), TIME_MS)
        net.backends['b0'].work_ms = 10 * TIME_MS
        net.run(20)
        waiting = [
            net.call('m0', '/book/', own_key(net), TIME_MS) for _ in range(4)
        ]
        net.run(TIME_MS + GRACE_MS)
        for number in waiting:
            assert net.outcomes[number].verdict == messages.Verdict.NOT_RUN
            assert not runs_of(net)[f'r{number}']


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
        net = fleetsim.deployment()
        net.backends['m0'].work_ms = 1000
        number = net.call('m0', '/')
        net.run(50)
        (request,) = net.agents['m0'].requests
        net.post(
            'm0',
            messages.ExchangeFailed(
                number=number,
                exchange=request.exchange,
                phase=messages.Phase.REFUSED,
                reason=messages.Reason.SHED,
            ),
        )
        net.run(400)
        assert net.outcomes[number].answer.body == b'm1'
