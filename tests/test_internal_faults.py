"""Errors of the agent's own code: what they cost, and what is kept."""

import asyncio
import functools
import random
from unittest import mock

import logbook
import pytest

from laburnumlatch.core import clock
from laburnumlatch.core import engine
from laburnumlatch.core import errors
from laburnumlatch.core import faultmsg
from laburnumlatch.core import looptimes
from laburnumlatch.core import ticking
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import processmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks
from laburnumlatch.platform import responsebytes
from laburnumlatch.platform import runner
from standins import networks
from tests import fronts
from tests import test_mesh_metrics

ERROR = ValueError('a fault of this test')
FAILING = mock.Mock(side_effect=ERROR)
SETTINGS = """\
[self]
node_name = "b1"
ip = "{ip_text}"
zone = "d"
region = "r"
app_address = "{ip_text}:8080"
service = "s"
[network]
internal_ports = [7380, 7380]
[network.listen]
outbound = "{ip_text}:8147"
ready = "{ip_text}:8141"
control = "{ip_text}:8144"
[platform.platform]
address = "{ip_text}:9"
"""


class _System:
    """Posts `SettingsChanged` for each of `names` in its first tick."""

    def __init__(self, names):
        self.names = list(names)
        self.ticks = 0
        self.taken = []

    def tick(self, agent, now, note):
        agent.begin_tick(now)
        self.ticks += 1
        self.taken += agent.inbox.take(faultmsg.MessageFailed)
        note('test')
        while self.names:
            agent.outbox.post(configmsg.SettingsChanged(self.names.pop(0)))
        agent.wake_at(now + 1)


class _Front:
    """Raises for the settings `b`."""

    kinds = (configmsg.SettingsChanged,)

    def __init__(self, give_up):
        self.give_up = give_up
        self.carried_out = []

    def carry_out(self, message):
        if message.settings == 'b':
            raise ERROR
        self.carried_out.append(message.settings)


def _create_engine(tick):
    times = looptimes.LoopTimes(clock.MonotonicClock())
    return engine.Engine(
        ticking.TickState(), tick, clock.MonotonicClock(), times
    )


class TestEngine:
    """Messages of a tick, one of which cannot be carried out."""

    @pytest.mark.parametrize('give_up', [lambda _message: 'r1', FAILING])
    async def test_failing_message_costs_only_itself(self, give_up):
        """Guards against messages and wake-ups that are lost behind it."""
        system = _System('abc')
        running = _create_engine(system.tick)
        front = _Front(give_up)
        running.register_front_ends([front])
        running.wake()
        await fronts.wait_until(lambda: system.ticks > 2)
        assert front.carried_out == ['a', 'c']
        assert system.taken == [faultmsg.MessageFailed('SettingsChanged')]

    async def test_failing_tick_is_the_last_one(self):
        """Guards against a request that a half-done tick starts once more."""
        failed = []
        failing = mock.Mock(side_effect=ERROR)
        running = _create_engine(failing)
        running.report_errors(failed.append)
        for _ in range(3):
            running.wake()
            await asyncio.sleep(0.01)
        assert failed == [ERROR]
        assert failing.call_count == 1

    async def test_failing_tick_names_the_cause(self, monkeypatch):
        """Guards against a log line that names the place of the wrapper.

        It was the same for every fault, so on-call could not see which line
        had raised.
        """
        systems = (('planner', lambda _agent, _now: ranges.divide_equally([])),)
        monkeypatch.setattr(ticks, 'NAMED_SYSTEMS', systems)
        with logbook.TestHandler() as handler:
            running = _create_engine(ticks.tick)
            running.wake()
            await fronts.wait_until(lambda: handler.records)
            line = handler.records[0].message
        assert line.startswith('tick-failed system=planner')
        assert 'detail="ZeroDivisionError(' in line
        assert 'place=ranges.divide_equally' in line


class TestProcess:
    """An agent one of whose systems fails."""

    def test_process_ends(self, tmp_path, monkeypatch):
        """Guards against an agent that goes on in an unknown condition.

        The requests that it had are cut off; the platform starts it again.
        """
        network, reservation = networks.reserve(random.Random())
        path = tmp_path / 'settings.toml'
        path.write_text(SETTINGS.format(ip_text=f'{network}.1'))
        systems = (('intake', FAILING),)
        monkeypatch.setattr(ticks, 'NAMED_SYSTEMS', systems)
        with pytest.raises(errors.SystemFailedError, match='intake'):
            runner.run(str(path))
        reservation.close()


def _raise_for_body(body, encode, response, *rest, **options):
    """Encode a response, or raise if it has a body."""
    if response.body == body:
        raise ERROR
    return encode(response, *rest, **options)


class TestCallerFront:
    """A response that cannot be written."""

    async def test_its_connection_is_closed(self, monkeypatch):
        """Guards against a caller who waits for nothing, and one cut off."""
        failing_encode = functools.partial(
            _raise_for_body, b'/a', responsebytes.encode
        )
        monkeypatch.setattr(responsebytes, 'encode', failing_encode)
        async with fronts.responding() as responder:
            failing, failing_writer = await responder.connect()
            failing_writer.write(fronts.get('/a'))
            reader, writer = await responder.connect()
            writer.write(fronts.get('/b'))
            await responder.wait_for('/a', '/b')
            responder.answer('/a')
            responder.answer('/b')
            response = await fronts.read_response(reader)
            assert response.body == b'/b'
            assert not await fronts.read_rest(failing)

    async def test_others_are_checked_on(self, monkeypatch):
        """Guards against bounds that no caller meets after one error."""
        async with fronts.responding() as responder:
            first, first_writer = await responder.connect()
            first_writer.write(fronts.get('/a'))
            await responder.wait_for('/a')
            (failing,) = responder.front.guard.connections
            monkeypatch.setattr(failing, 'check_time', FAILING)
            second, second_writer = await responder.connect()
            second_writer.write(b'GET /')
            responder.change_limits(routes.Limits(header_timeout_ms=100))
            assert not await fronts.read_rest(first)
            assert (await fronts.read_response(second)).status == 408
            first_writer.close()
            second_writer.close()


class TestCounting:
    """Faults in the metrics of an agent."""

    def test_faults_are_counted(self):
        """Guards against faults that no operator sees."""
        fleet = fleetsim.deployment(divided=1, others=1)
        agent = fleet.agents['b0']
        agent.inbox.post(faultmsg.MessageFailed(processmsg.Stopped.__name__))
        agent.inbox.post(faultmsg.CallbackFailed())
        fleet.run(1)
        samples = test_mesh_metrics.read_samples(agent)
        read = functools.partial(_read_faults, samples)
        assert read('Stopped') == read('callback') == 1


def _read_faults(samples, kind):
    return samples['laburnumlatch_internal_faults_total', (('kind', kind),)]
