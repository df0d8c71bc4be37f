"""Load rules: choice, admission, health and slot moves."""

import attrs
import hypothesis as hypo
import pytest
from hypothesis import strategies

from laburnumlatch.experiments import workreport
from laburnumlatch.slots import admission
from laburnumlatch.slots import choice
from laburnumlatch.slots import hotslots
from laburnumlatch.slots import planrows
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import rows
from laburnumlatch.slots import servermsg
from tests import test_requests
from tests import worlds

QUEUE_BOUND = 4
EVENTS = strategies.lists(
    strategies.sampled_from(['rack', 'book', 'answer', 'wait']),
    max_size=60,
)


class TestChoice:
    """A policy that is no better than random is not worth its state."""

    @pytest.mark.parametrize('name', ['reykjavik', 'accra'])
    def test_less_imbalance_than_baselines(self, name):
        found = [
            _imbalance(name, policy)
            for policy in (
                choice.TwoChoice,
                choice.RandomChoice,
                choice.RoundRobin,
            )
        ]
        assert found[0] < min(found[1:])


def _imbalance(name, policy):
    """Return the imbalance of the service that the policy chooses for."""
    chosen = workreport.scenario(name, policy=policy)
    undivided = next(
        service for service in chosen.services if not service.divided_by_key
    )
    alone = attrs.evolve(chosen, services=(undivided,))
    return workreport.measure(alone)[undivided.name]['imbalance']


class TestAdmission:
    """Overload must neither overrun the server nor delay urgent reads."""

    @hypo.given(EVENTS)
    @hypo.settings(derandomize=True, deadline=None)
    def test_limits_hold_after_every_event(self, events):
        world = worlds.with_plan(['bokun-1'])
        now = worlds.START
        for number, event in enumerate(events, start=1):
            now += 5
            _apply(world, now, number, event)
            running = [
                request
                for request in world.requests
                if request.state == rows.RequestState.RUNNING
            ]
            assert len(running) == world.local_server().running
            assert len(running) <= 2
            for queue in world.queues:
                assert len(queue.waiting) <= QUEUE_BOUND

    @hypo.given(EVENTS)
    @hypo.settings(derandomize=True, deadline=None)
    def test_no_write_starts_before_a_waiting_read(self, events):
        world = worlds.with_plan(['bokun-1'])
        now = worlds.START
        for number, event in enumerate(events, start=1):
            now += 5
            _apply(world, now, number, event)
            sent = world.outbox.take(requestmsg.Send)
            reads = world.queues.get('crew')
            if any(send.operation == 'book' for send in sent):
                assert not reads or not reads.waiting

    def test_cold_server_gets_all_slots_after_ten_seconds(self):
        server = rows.Server('s', 'bokun', 'a', 6, 130, ready_since=0)
        limits = [admission.limit(server, now) for now in (0, 5000, 10_000)]
        assert limits == [1, 3, 6]

    def test_late_requests_start_only_as_trials(self):
        world = worlds.with_plan(['bokun-1'])
        world.service_times.put('rack', rows.Average(390))
        reads = [test_requests.arrived(number) for number in (1, 2)]
        worlds.tick(world, worlds.START, *reads)
        assert len(world.outbox.take(requestmsg.Send)) == 1
        refused = world.outbox.take(requestmsg.Refuse)
        assert [one.reason for one in refused] == ['too-late']

    def test_shed_stops_work_until_retry_after(self):
        world = worlds.with_plan(['bokun-1'])
        worlds.tick(world, worlds.START, test_requests.arrived())
        shed = requestmsg.AnswerBegan(
            1,
            1,
            requestmsg.Outcome.NOT_RUN,
            requestmsg.Reason.SHED,
            1000,
        )
        worlds.tick(world, worlds.START, shed)
        server = world.local_server()
        assert admission.limit(server, worlds.START + 999) == 0
        assert admission.limit(server, worlds.START + 1000) == 2


def _apply(world, now, number, event):
    messages = []
    if event in {'rack', 'book'}:
        messages.append(test_requests.arrived(number, event))
    elif event == 'answer':
        messages.extend(
            requestmsg.AnswerEnded(request.number, request.exchange)
            for request in world.requests
            if request.state == rows.RequestState.RUNNING
        )
    else:
        now += 1
    worlds.tick(world, now, *messages)


class TestHealth:
    """A frozen server must be noticed, a single silent connection not."""

    def test_silent_server_fails_and_recovers_by_probe(self):
        world = worlds.with_plan(['bokun-1'])
        worlds.tick(world, worlds.START, test_requests.arrived(1, 'book'))
        for passed_ms in (500, 1000, 1500, 2000):
            worlds.tick(world, worlds.START + passed_ms)
        server = world.local_server()
        assert server.failed_since is not None
        up = servermsg.Probed('bokun-1', True)
        worlds.tick(world, worlds.START + 2100, up)
        assert server.failed_since is None
        assert admission.limit(server, worlds.START + 2100) == 1

    def test_one_broken_connection_does_not_count(self):
        world = worlds.with_plan(['bokun-1'])
        worlds.tick(world, worlds.START, test_requests.arrived())
        broke = requestmsg.ExchangeBroke(1, 1, requestmsg.Phase.SENT)
        worlds.tick(world, worlds.START, broke)
        assert world.local_server().failed_since is None


def _plan():
    slots = tuple(
        planrows.SlotPlan(planrows.Incarnation(name, 1), (), 1, 1)
        for name in 'aab'
    )
    return planrows.Plan('bokun', 1, slots)


class TestBalance:
    """A move that gains little costs its keys an interruption for nothing."""

    def test_moves_from_busiest_to_least_busy(self):
        loads = {0: 5, 1: 5, 2: 0}
        found = hotslots.moves(_plan(), loads, {'a': 1, 'b': 1}, 'churn')
        assert found == [hotslots.Move(0, 'a', 'b')]

    def test_churn_refuses_a_small_gain(self):
        loads = {0: 0.5, 1: 10, 2: 9.5}
        speeds = {'a': 1, 'b': 1}
        assert not hotslots.moves(_plan(), loads, speeds, 'churn')
        found = hotslots.moves(_plan(), loads, speeds, 'availability')
        assert len(found) <= 1

    def test_nothing_moves_to_a_saturated_host(self):
        loads = {0: 5, 1: 5, 2: 0}
        speeds = {'a': 1, 'b': 1}
        found = hotslots.moves(_plan(), loads, speeds, 'churn', {'b'})
        assert not found

    def test_refused_work_counts_as_offered_load(self):
        world = worlds.with_plan(['bokun-1'])
        world.service_times.put('rack', rows.Average(390))
        reads = [test_requests.arrived(number) for number in (1, 2)]
        worlds.tick(world, worlds.START, *reads)
        assert len(world.outbox.take(requestmsg.Refuse)) == 1
        (load,) = world.slot_loads
        assert load.busy_ms == 390

    @pytest.mark.parametrize('prefer', ['availability', 'churn'])
    def test_moves_lower_imbalance_while_hot_keys_move(self, prefer):
        kept, moved = (
            workreport.measure(
                workreport.scenario('accra', prefer=chosen, duration_ms=6000),
            )['dealer-credits']['imbalance']
            for chosen in (None, prefer)
        )
        assert moved < kept
