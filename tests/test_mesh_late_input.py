"""Input that an agent reads late: cancellations, deadlines, and silence."""

import asyncio
import contextlib
import math
import socket

import pytest

from laburnumlatch.core import clock
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import framedelay
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peersilence
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import ticks
from standins import proxy
from tests import addresses
from tests import test_mesh_peerlink

NUMBER = 99_001
TIME_MS = 700
STEP_S = 0.02
# The clocks of two agents may drift by 2 % each way, so this share of a delay
# cannot be distinguished from drift.
CLOCK_DRIFT_RATIO = 0.04
# After this time without a byte nothing more is sent to an agent, but its
# connection is not yet given up.
QUIET_S = (
    (peersilence.ABORT_AFTER_MS + peersilence.HOLD_AFTER_MS)
    / 2
    / clock.MS_PER_S
)
KINDS = list(routes.Kind)


def forward(kind, number=7):
    """Return a forwarded request for a service not divided by key."""
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
    """Return the IDs of the requests that backend servers have started."""
    return [
        request_id
        for backend in fleet.backends.values()
        for _started, request_id in backend.started
    ]


class TestCancellationInTheSameTick:
    """A request and its cancellation that are read in the same tick.

    An agent that was paused reads both at once.
    """

    @pytest.mark.parametrize('kind', KINDS)
    def test_canceled_forward_is_not_started(self, kind):
        """Guards against running a request that its sender has canceled."""
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
        """Guards against running a request whose caller has disconnected."""
        fleet = fleetsim.deployment()
        number = fleet.call(host_id, path, key=1)
        fleet.post(host_id, messages.CallerLeft(number))
        fleet.run(TIME_MS)
        assert not runs_of(fleet)

    def test_later_cancel_still_reaches_the_other_agent(self):
        """Guards against a cancellation that overtakes its forward.

        The request is canceled one tick after it was forwarded; no agent may
        keep a row of it.
        """
        fleet = fleetsim.deployment()
        number = fleet.call('b0', '/look/', key=key_of(fleet, 'b1'))
        fleet.run(1)
        fleet.post('b0', messages.CallerLeft(number))
        fleet.run(1)
        fleet.run(TIME_MS)
        assert not any(len(agent.requests) for agent in fleet.agents.values())


def key_of(fleet, host_id):
    """Return a key that a host owns."""
    plan = fleet.agents[host_id].plan_of('bokun')
    return next(
        piece.start for piece in plan.pieces if piece.host_id == host_id
    )


class DelayedPath:
    """Two agents with separate clocks, and a path with a delay between them.

    Requests go from `a` to `b` through a proxy that holds their bytes.
    """

    def __init__(self, fleet, lead_ms):
        """Set the clock of `b` `lead_ms` ahead of that of `a`."""
        self.clocks = {
            'a': clock.ManualClock(fleet.now - lead_ms),
            'b': clock.ManualClock(fleet.now),
        }
        self.agent = fleet.agents['m0']
        self.agents = test_mesh_peerlink.AgentPair(self.clocks)
        self._proxy = None
        self._server = None

    async def start(self, first_port):
        """Start both agents, and a proxy through which `a` reaches `b`."""
        await self.agents.start(first_port)
        self._proxy = proxy.Proxy(self.agents.ports['b'])
        proxy_address = addresses.free()
        self._server = await proxy.listen(self._proxy, proxy_address)
        self.agents.ports['b'] = proxy_address

    async def stop(self):
        """Stop the agents and the proxy."""
        await self.agents.stop()
        self._server.close()

    async def send(self, number, delay_ms):
        """Send a request that `b` reads `delay_ms` later; return the event."""
        proxy.pause(self._proxy, proxy.UP)
        self.agents.send(forward(routes.Kind.SAFE, number))
        await asyncio.sleep(STEP_S)
        for time_source in self.clocks.values():
            time_source.advance(delay_ms)
        proxy.resume(self._proxy, proxy.UP)
        return await self.agents.wait_for('b', messages.ForwardArrived)

    def tick(self, arrived):
        """Run a tick of `b` with the request; return its `Send` commands."""
        self.agent.outbox.clear()
        self.agent.inbox.post(arrived)
        ticks.tick(self.agent, self.clocks['b'].now())
        return self.agent.outbox.take(messages.Send)


class TestNetworkDelay:
    """The delay between two agents counts against the time of a request."""

    @pytest.mark.parametrize(
        ('lead_ms', 'port'), [(-5000, 17510), (0, 17512), (5000, 17514)]
    )
    async def test_request_read_after_its_deadline_is_refused(
        self, lead_ms, port
    ):
        """Guards against a deadline that starts again at each agent.

        The clocks differ by up to 5 s, so a time of day cannot be sent.
        """
        path = DelayedPath(fleetsim.deployment(), lead_ms)
        await path.start(port)
        (send,) = path.tick(await path.send(1, 0))
        assert send.time_left_ms == TIME_MS
        late = await path.send(
            2, math.ceil(TIME_MS * (1 + 2 * CLOCK_DRIFT_RATIO))
        )
        assert not path.tick(late)
        (refusal,) = path.agent.outbox.take(messages.ReplyRefusal)
        assert refusal.verdict == messages.Verdict.NOT_RUN
        await path.stop()

    async def test_server_gets_the_remaining_time(self):
        """Guards against a server that works on after its caller's timeout.

        The time sent to it must be shorter by the delay of 400 ms.
        """
        path = DelayedPath(fleetsim.deployment(), 0)
        await path.start(17520)
        path.tick(await path.send(1, 0))
        (send,) = path.tick(await path.send(2, 400))
        left_ms = TIME_MS - 400
        most_ms = left_ms + math.ceil(400 * CLOCK_DRIFT_RATIO)
        assert left_ms <= send.time_left_ms <= most_ms
        await path.stop()

    async def test_time_in_the_inbox_counts(self):
        """Guards against a deadline that starts with a late tick.

        The request waits in the inbox until its deadline is over.
        """
        path = DelayedPath(fleetsim.deployment(), 0)
        await path.start(17530)
        arrived = await path.send(1, 0)
        path.clocks['b'].advance(TIME_MS + 1)
        assert not path.tick(arrived)
        await path.stop()


class TestClockDrift:
    """Clocks of two agents that run at different speeds."""

    @pytest.mark.parametrize('rate', [0.96, 0.98, 1, 1.02, 1.04])
    def test_drift_is_not_taken_for_delay(self, rate):
        """Guards against deadlines that come early because of clock drift.

        Frames without delay are sent over two minutes.
        """
        frames = framedelay.FrameDelay()
        waited = [
            frames.excess_ms(5000 + sent_ms, int(sent_ms * rate))
            for sent_ms in range(0, 120_000, 250)
        ]
        assert max(waited) <= 1


@contextlib.asynccontextmanager
async def silenced(first_port):
    """Yield two agents; `b` reads request 1 of `a`, then no more bytes."""
    agents = test_mesh_peerlink.AgentPair()
    await agents.start(first_port)
    target = proxy.Proxy(agents.ports['b'])
    proxy_address = addresses.free()
    async with await proxy.listen(target, proxy_address):
        agents.ports['b'] = proxy_address
        agents.send(forward(routes.Kind.ONCE, 1))
        await agents.wait_for('b', messages.ForwardArrived)
        proxy.pause(target, proxy.UP)
        yield agents
        await agents.stop()


class TestAgentThatDoesNotRead:
    """An agent whose connections are open, but which reads nothing.

    Its process may be paused, while its host still accepts connections.
    """

    async def test_request_is_not_sent_before_its_hello(self):
        """Guards against an unknown outcome for a request it never read.

        The connection is accepted by a listener that sends nothing, so the
        request must fail as unsent.
        """
        listener = socket.create_server(('127.0.0.1', 0))
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17540)
        agents.ports['b'] = f'127.0.0.1:{listener.getsockname()[1]}'
        agents.send(forward(routes.Kind.ONCE))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()
        listener.close()

    async def test_requests_during_its_silence_are_not_sent(self):
        """Guards against requests sent to an agent that no longer reads.

        Request 3 comes once the agent was silent for too long. It must fail
        as unsent, so that it can be placed on another host.
        """
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
        """Guards against silence that ends with the last open request.

        All requests sent to the agent are canceled, so no response is due;
        the connection must still count as silent.
        """
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
