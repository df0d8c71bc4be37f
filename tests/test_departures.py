"""Departures of backend servers, in any order of what can happen to them."""

import itertools
import random

import attrs
import pytest

from laburnumlatch.core import storemsg
from laburnumlatch.experiments import fleetstore
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import departures
from laburnumlatch.mesh import members
from laburnumlatch.mesh import ownserver
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import settings

EVENTS = (
    'leave',
    'check-in',
    'late check-in',
    'late leave',
    'agent killed',
    'agent started',
    'server started anew',
    'time passes',
)
# All orders of so many events that can happen, behind a first check-in.
LENGTH = 5
START_MS = 1_000_000
# Several events come before a server counts as silent.
GAP_MS = 400
LONG_GAP_MS = 5000
TICK_MS = 50
DRAIN_MS = 2000
LONG_ORDERS = 60
LONG_LENGTH = 9
TEXT_SETTINGS_COUNT = 10
SYSTEMS = (ownserver, departures, members)


@attrs.define
class Host:
    """A host, its backend server, and what an operator may count on.

    `left` are the runs whose departure was acknowledged, `late_check_ins` and
    `late_leaves` calls of earlier runs, or earlier calls, that may still come.
    """

    store: fleetstore.Store = attrs.Factory(fleetstore.Store)
    now: int = START_MS
    agent: agentstate.AgentState | None = None
    life: ranges.Life = ranges.Life('server', START_MS)
    sequence: int = 0
    left: set = attrs.Factory(set)
    has_left: bool = False
    late_check_ins: list = attrs.Factory(list)
    late_leaves: list = attrs.Factory(list)
    newest: ranges.Life = ranges.Life('server', 0)
    checked_in_at: int = 0
    _calls: dict = attrs.Factory(dict)
    _numbers: object = attrs.Factory(lambda: itertools.count(1))

    def possible_events(self):
        """Return the events that would change something."""
        impossible = {
            'agent killed' if self.agent is None else 'agent started',
        }
        if self.has_left:
            impossible |= {'leave', 'check-in'}
        if not self.late_leaves:
            impossible.add('late leave')
        return [event for event in EVENTS if event not in impossible]

    def play(self, event):
        """Let an event happen."""
        name = event.replace(' ', '_').replace('-', '_')
        getattr(self, f'_{name}')()
        self.run(GAP_MS)

    def run(self, duration_ms):
        """Run ticks, with a store that responds at once."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += TICK_MS
            if self.agent is not None:
                self._tick()

    def check(self):
        """Raise AssertionError if the agent breaks what it has promised."""
        backend = None if self.agent is None else self.agent.backend
        if backend is None:
            return
        if backend.life in self.left:
            assert backend.closing_at is not None
        known_since = max(self.checked_in_at, self.agent.started)
        if self.now < known_since + ownserver.SILENT_MS - GAP_MS:
            assert backend.life.born >= self.newest.born
        is_silent = self.now >= self.checked_in_at + ownserver.SILENT_MS
        if not self.has_left and not is_silent:
            assert backend.life == self.life
            assert backend.closing_at is None

    def _tick(self):
        agent = self.agent
        agent.begin_tick(self.now)
        for system in SYSTEMS:
            system.run(agent, self.now)
        for answered in agent.outbox.take(backendmsg.AnnouncementAnswered):
            life = self._calls.pop(answered.call_number, None)
            if life is not None:
                self.left.add(life)
        for kind in (storemsg.StoreRead, storemsg.StorePut):
            for message in agent.outbox.take(kind):
                agent.inbox.post(self.store.answer('h', message))
        agent.outbox.clear()

    def _post(self, message):
        if self.agent is not None:
            self.agent.inbox.post(message)

    def _agent_started(self):
        host = settings.Settings(
            *itertools.repeat('h', TEXT_SETTINGS_COUNT), memory_bytes=1
        )
        self.agent = agentstate.create(host, 1, self.now)

    def _agent_killed(self):
        self.agent = None
        self.checked_in_at = 0
        self._calls.clear()

    def _check_in(self):
        self.sequence += 1
        message = backendmsg.BackendAnnounced(
            next(self._numbers), self.life, 'h', 'h', 3, False, self.sequence
        )
        self.late_check_ins.append(message)
        self._post(message)
        if self.agent is not None:
            self.checked_in_at = self.now
            self.newest = self.life

    def _time_passes(self):
        self.run(LONG_GAP_MS)

    def _leave(self):
        message = backendmsg.BackendLeft(
            next(self._numbers), 'server', self.now, self.life.born
        )
        self.late_leaves.append(message)
        self.has_left = True
        self._send_leave(message)

    def _late_check_in(self):
        self._post(self.late_check_ins[0])

    def _late_leave(self):
        number = next(self._numbers)
        self._send_leave(attrs.evolve(self.late_leaves[0], call_number=number))

    def _send_leave(self, message):
        if self.agent is not None:
            life = ranges.Life('server', message.born)
            self._calls[message.call_number] = life
            self._post(message)

    def _server_started_anew(self):
        self.life = ranges.Life('server', self.now)
        self.sequence = 0
        self.has_left = False
        self.checked_in_at = 0


def play(events):
    """Play events behind a first check-in, and check after each of them.

    Return the events that could come next.
    """
    host = Host()
    for event in ('agent started', 'check-in', *events):
        host.play(event)
        host.check()
    possible = host.possible_events()
    host.run(DRAIN_MS)
    host.check()
    return possible


def play_all(events, length):
    """Play all orders of at most so many events that begin with some."""
    possible = play(events)
    if len(events) < length:
        for event in possible:
            play_all((*events, event), length)


class TestOrders:
    """What happens to a server, its calls and its agent, in any order."""

    @pytest.mark.parametrize('first', EVENTS)
    def test_server_that_has_left_is_not_used_again(self, first):
        """Guards against requests to a server that has left.

        A late announcement of it reached an agent that had started anew, and
        a late deregistration of it ended the use of the next run.
        """
        if first in play(()):
            play_all((first,), LENGTH)

    def test_longer_orders(self):
        """Guards against faults that need more events, at random."""
        rng = random.Random(11)
        for _ in range(LONG_ORDERS):
            events = ()
            while len(events) < LONG_LENGTH:
                events = (*events, rng.choice(play(events)))


class TestAcknowledgement:
    """When the departure of a server is acknowledged."""

    def started(self):
        """Return a host whose server has checked in."""
        host = Host()
        host.play('agent started')
        host.play('check-in')
        return host

    def test_departure_is_kept_before_it_is_acknowledged(self):
        """Guards against a promise that is lost with the process."""
        host = self.started()
        host.play('leave')
        assert host.left == {host.life}
        key = f'{departures.ROW_PREFIX}h'
        assert host.store.rows[key].version

    def test_store_that_is_away_delays_it_only_a_little(self):
        """Guards against a server that ends without a confirmation."""
        host = self.started()
        host.store.is_down = True
        host.play('leave')
        assert not host.left
        assert host.agent.backend.closing_at is not None
        host.run(departures.MAX_ANSWER_MS)
        assert host.left

    def test_row_is_written_once_the_store_is_back(self):
        """Guards against a departure that is forgotten after an outage."""
        host = self.started()
        host.store.is_down = True
        host.play('leave')
        host.run(3000)
        host.store.is_down = False
        host.run(3000)
        host.play('agent killed')
        host.play('agent started')
        host.play('late check-in')
        host.check()
        assert host.agent.backend.closing_at is not None

    def test_many_departures_are_bounded(self):
        """Guards against a row that grows with each run of the server."""
        host = self.started()
        for _ in range(departures.MAX_DEPARTURES + 5):
            host.play('leave')
            host.play('server started anew')
            host.play('check-in')
            host.check()
        assert len(host.agent.departures) == departures.MAX_DEPARTURES


class TestDeregistrations:
    """Deregistrations that do not say which run leaves."""

    def test_run_of_that_name_drains(self):
        """Guards against a departure that counts for nobody."""
        host = Host()
        host.play('agent started')
        host.play('check-in')
        left = backendmsg.BackendLeft(1, 'server', host.now)
        host.agent.inbox.post(left)
        host.run(GAP_MS)
        assert host.agent.backend.closing_at is not None
