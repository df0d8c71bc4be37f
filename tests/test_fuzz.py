"""Stateful fuzzing of three agents against the promises about outcomes."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from laburnumlatch.slots import outcomes
from laburnumlatch.slots import records
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from tests import network

REASONS = (requestmsg.Reason.SHED, requestmsg.Reason.NOT_OWNER)
# Derandomized: the examples depend on the rules alone.
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
    phases=(hypothesis.Phase.generate,),
    print_blob=True,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ANY = strategies.integers(0, 1000)
HOST = strategies.sampled_from(network.HOSTS)


class Machine(stateful.RuleBasedStateMachine):
    """Plays calls, losses and late messages in any order."""

    def __init__(self):
        super().__init__()
        self._net = network.Network()

    @stateful.rule(host=HOST, number=strategies.integers(1, 3))
    def book(self, host, number):
        """Send or repeat a booking."""
        self._net.call(host, f'book{number}', 'book')

    @stateful.rule(host=HOST)
    def look_up(self, host):
        """Send a read, which may be repeated."""
        self._net.call(host, 'rack', 'rack')

    @stateful.rule(index=ANY)
    def leave(self, index):
        """Let some caller leave."""
        numbers = sorted(self._net.attempts)
        if numbers:
            self._net.leave(numbers[index % len(numbers)])

    @stateful.rule(index=ANY)
    def deliver(self, index):
        """Deliver some message, in any order."""
        if self._net.wires:
            self._net.deliver(self._wire(index))

    @stateful.rule()
    def deliver_newest(self):
        """Deliver the newest message, so that exchanges come to an end."""
        if self._net.wires:
            self._net.deliver(self._net.wires[-1])

    @stateful.rule(index=ANY, phase=strategies.sampled_from(('sent', 'unsent')))
    def break_exchange(self, index, phase):
        """Break some exchange."""
        if self._net.wires:
            phase = requestmsg.Phase(phase)
            self._net.break_wire(self._wire(index), phase)

    @stateful.rule(index=ANY, reason=strategies.sampled_from(REASONS))
    def refuse(self, index, reason):
        """Let a backend server refuse some work."""
        if self._net.wires:
            self._net.refuse_run(self._wire(index), reason)

    @stateful.rule(host=HOST)
    def move(self, host):
        """Change the owner and the epoch."""
        self._net.move(host)

    @stateful.rule(host=HOST)
    def learn(self, host):
        """Bring an agent up to date."""
        self._net.learn(host)

    @stateful.rule(host=HOST)
    def restart(self, host):
        """Lose an agent with its records."""
        self._net.restart(host)

    @stateful.rule(duration_ms=strategies.sampled_from((1, 30, 500, 4000)))
    def advance(self, duration_ms):
        """Let time pass."""
        self._net.advance(duration_ms)

    @stateful.invariant()
    def promises_hold(self):
        """Compare the runs with what callers were told."""
        told = {}
        for attempt in self._net.attempts.values():
            told.setdefault(attempt.request_id, []).append(attempt.outcome)
        for request_id, outcomes_told in told.items():
            check(self._net.runs[request_id], request_id, outcomes_told)

    def teardown(self):
        """Every caller that stayed has an outcome after its deadline."""
        self._net.advance(10_000)
        for attempt in self._net.attempts.values():
            assert attempt.left or attempt.outcome is not None
        while self._net.wires:
            self._net.deliver(self._net.wires[0])
        self.promises_hold()

    def _wire(self, index):
        return self._net.wires[index % len(self._net.wires)]


def check(runs, request_id, told):
    """Raise AssertionError where `runs` belies what a caller was told."""
    if request_id.startswith('book'):
        assert runs <= 1, f'{request_id} ran {runs} times'
    if set(told) == {requestmsg.Outcome.NOT_RUN}:
        assert not runs, f'{request_id} ran, but was told not to run'
    if requestmsg.Outcome.ANSWERED in told:
        assert runs, f'{request_id} was answered without a run'


class TestPromises:
    """Lost and late messages must not run a booking twice or deny a run."""

    def test_records_keep_the_promises(self):
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    def test_naive_version_breaks_them(self, monkeypatch):
        # The baseline: retry always, no records, not-run after any failure.
        monkeypatch.setattr(records, 'known', _finds_nothing)
        monkeypatch.setattr(records, 'meet', _runs_always)
        monkeypatch.setattr(requests, 'suspect', _finds_nothing)
        monkeypatch.setattr(outcomes, '_may_send_again', _runs_always)
        with pytest.raises(AssertionError, match='ran'):
            stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


def _finds_nothing(*_arguments):
    """Stand for a function that looks for earlier copies."""


def _runs_always(*_arguments):
    return records.Verdict.RUN
