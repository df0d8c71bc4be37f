"""Input that an agent reads late: ends of requests, and the time they have."""

import asyncio
import contextlib
import math
import socket

import pytest

from laburnumlatch.core import clock
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import framedelay
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outbound
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks
from standins import proxy
from tests import addresses
from tests import test_mesh_peerlink

NUMBER = 99_001
TIME_MS = 700
STEP_S = 0.02
# The clocks of two agents may run apart by 2 % each way, so that much of a
# wait cannot be told from a clock.
APART_RATE = 0.04
# An agent counts as quiet, and is not yet given up.
QUIET_S = (
    (outbound.ABORT_AFTER_MS + outbound.HOLD_AFTER_MS) / 2 / clock.MS_PER_S
)
KINDS = list(routes.Kind)


def forward(kind, number=7):
    """Return a request for a service that is not divided by key."""
    return messages.Forward(
        number=number,
        exchange=1,
        head=messages.Head('GET', '/x', 'moti.example', (), f'r{number}'),
        body=b'',
        service='moti',
        kind=kind,
        priority=1,
        time_left_ms=TIME_MS,
        target_ms=300,
        route='status',
    )


def runs_of(fleet):
    """Return the IDs of requests that have begun at a backend server."""
    return [
        request_id
        for backend in fleet.backends.values()
        for _started, request_id in backend.started
    ]


class TestEndsBesideTheirRequest:
    """A request and its end that are read in the same tick."""

    @pytest.mark.parametrize('kind', KINDS)
    def test_canceled_forward_is_not_started(self, kind):
        """Guards against work for a sender that no longer waits."""
        fleet = fleetsim.deployment()
        agent = fleet.agents['m0']
        arrived = messages.ForwardArrived(NUMBER, 'm1', forward(kind))
        agent.inbox.post(arrived)
        agent.inbox.post(messages.ForwardCanceled(NUMBER))
        fleet.run(TIME_MS)
        assert NUMBER not in agent.requests
        assert not runs_of(fleet)

    @pytest.mark.parametrize('path', ['/', '/look/', '/book/'])
    @pytest.mark.parametrize('host_id', ['b0', 'm0'])
    def test_request_of_a_caller_who_left_is_not_started(self, host_id, path):
        """Guards against work for a caller who has gone."""
        fleet = fleetsim.deployment()
        number = fleet.call(host_id, path, key=1)
        fleet.post(host_id, messages.CallerLeft(number))
        fleet.run(TIME_MS)
        assert not runs_of(fleet)

    def test_later_cancel_still_reaches_the_other_agent(self):
        """Guards against a cancellation that overtakes its request."""
        fleet = fleetsim.deployment()
        number = fleet.call('b0', '/look/', key=key_of(fleet, 'b1'))
        fleet.run(1)
        fleet.post('b0', messages.CallerLeft(number))
        fleet.run(1)
        fleet.run(TIME_MS)
        assert not any(len(agent.requests) for agent in fleet.agents.values())


def key_of(fleet, host_id):
    """Return a key whose owner is a host."""
    plan = fleet.agents[host_id].plan_of('bokun')
    return next(
        piece.start for piece in plan.pieces if piece.host_id == host_id
    )


class SlowWay:
    """Two agents with clocks of their own, and a way between them."""

    def __init__(self, fleet, lead_ms):
        """Let the clock of `b` be `lead_ms` ahead of that of `a`."""
        self.clocks = {
            'a': clock.ManualClock(fleet.now - lead_ms),
            'b': clock.ManualClock(fleet.now),
        }
        self.agent = fleet.agents['m0']
        self.agents = test_mesh_peerlink.AgentPair(self.clocks)
        self._proxy = None
        self._server = None

    async def start(self, first_port):
        """Let `a` reach `b` through a proxy."""
        await self.agents.start(first_port)
        self._proxy = proxy.Proxy(self.agents.ports['b'])
        way = addresses.free()
        self._server = await proxy.listen(self._proxy, way)
        self.agents.ports['b'] = way

    async def stop(self):
        """Close all."""
        await self.agents.stop()
        self._server.close()

    async def send(self, number, waits_ms):
        """Send a request that is read `waits_ms` later."""
        proxy.hold(self._proxy, proxy.UP)
        self.agents.send(forward(routes.Kind.SAFE, number))
        await asyncio.sleep(STEP_S)
        for time_source in self.clocks.values():
            time_source.advance(waits_ms)
        proxy.release(self._proxy, proxy.UP)
        return await self.agents.wait_for('b', messages.ForwardArrived)

    def tick(self, arrived):
        """Let the systems of `b` take the request; return what is sent."""
        self.agent.outbox.clear()
        self.agent.inbox.post(arrived)
        ticks.tick(self.agent, self.clocks['b'].now())
        return self.agent.outbox.take(messages.Send)


class TestTimeOnTheWay:
    """What a request spends between two agents is time it no longer has."""

    @pytest.mark.parametrize(
        ('lead_ms', 'port'), [(-5000, 17510), (0, 17512), (5000, 17514)]
    )
    async def test_request_read_after_its_deadline_is_refused(
        self, lead_ms, port
    ):
        """Guards against a deadline that starts anew at each agent."""
        way = SlowWay(fleetsim.deployment(), lead_ms)
        await way.start(port)
        (send,) = way.tick(await way.send(1, 0))
        assert send.time_left_ms == TIME_MS
        late = await way.send(2, math.ceil(TIME_MS * (1 + 2 * APART_RATE)))
        assert not way.tick(late)
        (refusal,) = way.agent.outbox.take(messages.ReplyRefusal)
        assert refusal.verdict == messages.Verdict.NOT_RUN
        await way.stop()

    async def test_server_is_told_what_is_left(self):
        """Guards against work that goes on when its caller has given up."""
        way = SlowWay(fleetsim.deployment(), 0)
        await way.start(17520)
        way.tick(await way.send(1, 0))
        (send,) = way.tick(await way.send(2, 400))
        left_ms = TIME_MS - 400
        most_ms = left_ms + math.ceil(400 * APART_RATE)
        assert left_ms <= send.time_left_ms <= most_ms
        await way.stop()

    async def test_time_in_the_inbox_counts(self):
        """Guards against a late tick that gives requests their time again."""
        way = SlowWay(fleetsim.deployment(), 0)
        await way.start(17530)
        arrived = await way.send(1, 0)
        way.clocks['b'].advance(TIME_MS + 1)
        assert not way.tick(arrived)
        await way.stop()


class TestClocks:
    """Clocks that do not run equally fast."""

    @pytest.mark.parametrize('rate', [0.96, 0.98, 1, 1.02, 1.04])
    def test_fast_clock_is_no_delay(self, rate):
        """Guards against requests whose time is taken by a clock."""
        frames = framedelay.FrameDelay()
        waited = [
            frames.excess_ms(5000 + made, int(made * rate))
            for made in range(0, 120_000, 250)
        ]
        assert max(waited) <= 1


@contextlib.asynccontextmanager
async def silenced(first_port):
    """Yield two agents; `b` has read request 1 of `a`, and reads no more."""
    agents = test_mesh_peerlink.AgentPair()
    await agents.start(first_port)
    target = proxy.Proxy(agents.ports['b'])
    way = addresses.free()
    async with await proxy.listen(target, way):
        agents.ports['b'] = way
        agents.send(forward(routes.Kind.ONCE, 1))
        await agents.wait_for('b', messages.ForwardArrived)
        proxy.hold(target, proxy.UP)
        yield agents
        await agents.stop()


class TestAgentThatDoesNotRead:
    """An agent whose connections are accepted, and not read."""

    async def test_request_is_not_handed_to_it(self):
        """Guards against requests of which nobody knows if they ran."""
        listener = socket.create_server(('127.0.0.1', 0))
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17540)
        agents.ports['b'] = f'127.0.0.1:{listener.getsockname()[1]}'
        agents.send(forward(routes.Kind.ONCE))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()
        listener.close()

    async def test_requests_after_its_silence_wait_here(self):
        """Guards against requests sent to an agent that no longer reads."""
        async with silenced(17550) as agents:
            agents.send(forward(routes.Kind.ONCE, 2))
            await asyncio.sleep(QUIET_S)
            agents.send(forward(routes.Kind.ONCE, 3))
            phases = {}
            for _ in range(3):
                failed = await agents.wait_for('a', messages.ExchangeFailed)
                phases[failed.number] = failed.phase
            assert phases == {
                1: messages.Phase.SENT,
                2: messages.Phase.SENT,
                3: messages.Phase.UNSENT,
            }

    async def test_canceled_requests_do_not_hide_its_silence(self):
        """Guards against requests sent after all others have been given up."""
        async with silenced(17560) as agents:
            agents.send(forward(routes.Kind.ONCE, 2))
            for number in (1, 2):
                canceled = messages.CancelForward('b', number, 1)
                agents.links['a'].carry_out(canceled)
            await asyncio.sleep(QUIET_S)
            agents.send(forward(routes.Kind.ONCE, 3))
            failed = await agents.wait_for('a', messages.ExchangeFailed)
            assert failed.number == 3
            assert failed.phase == messages.Phase.UNSENT
