"""Requests and answers between agents, over real connections."""

import asyncio
import itertools
from unittest import mock

from laburnumlatch.core import clock
from laburnumlatch.core import wire
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peerlink
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes

STEP_S = 0.01
MAX_STEPS = 300


def forward(number, body=b''):
    """Return a request on its way."""
    head = messages.Head(
        'POST', '/p/x', 'a.example', (('Accept', '*/*'),), f'r{number}', 7
    )
    return messages.Forward(
        number, 1, head, body, 's', routes.Kind.ONCE, 1, 1000, 500
    )


class Agents:
    """Two agents with a link each, and what their systems are told.

    `clocks` are those of the agents, by name.
    """

    def __init__(self, clocks=None):
        """Start without connections."""
        self.told = {'a': [], 'b': []}
        self.clocks = clocks or {
            name: clock.BoottimeClock() for name in self.told
        }
        self.links = {}
        self.ports = {}

    async def start(self, first_port):
        """Let both listen at ports from `first_port`."""
        for number, name in enumerate(self.told):
            self.ports[name] = f'127.0.0.1:{first_port + number}'
            self.links[name] = peerlink.PeerLink(
                self.told[name].append,
                self.ports[name],
                name,
                itertools.count(1),
                self.clocks[name],
            )
            await self.links[name].start()

    async def stop(self):
        """Close all."""
        for link in self.links.values():
            await link.stop()

    def send(self, request):
        """Let `a` ask `b`."""
        self.links['a'].carry_out(
            messages.SendForward('b', self.ports['b'], request),
        )

    async def wait_for(self, name, kind):
        """Return the next message of a kind that an agent was told."""
        for _ in range(MAX_STEPS):
            for message in self.told[name]:
                if isinstance(message, kind):
                    self.told[name].remove(message)
                    return message
            await asyncio.sleep(STEP_S)
        raise AssertionError(f'{name} was not told {kind.__name__}')


class TestPeerLink:
    """Two agents."""

    async def test_request_and_answer(self):
        """Guards against bodies and fields that change on the way."""
        agents = Agents()
        await agents.start(17410)
        request = forward(5, bytes(range(256)) * 900)
        agents.send(request)
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        assert arrived.forward == request
        assert arrived.sender == 'a'
        answer = messages.Answer(200, (('X', 'y'),), b'whole')
        agents.links['b'].carry_out(
            messages.ReplyAnswer(arrived.number, answer, 12, 34, 56),
        )
        ended = await agents.wait_for('a', messages.ExchangeEnded)
        assert ended == messages.ExchangeEnded(5, 1, answer, 12, 34, 56)
        await agents.stop()

    async def test_lost_connection_fails_what_was_sent(self):
        """Guards against requests that wait for an agent that is gone."""
        agents = Agents()
        await agents.start(17420)
        agents.send(forward(6))
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        await agents.links['a'].stop()
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.SENT
        canceled = await agents.wait_for('b', messages.ForwardCanceled)
        assert canceled.number == arrived.number
        await agents.stop()

    async def test_no_listener(self):
        """Guards against a refused connection that counts as sent."""
        agents = Agents()
        await agents.start(17430)
        agents.ports['b'] = '127.0.0.1:17439'
        agents.send(forward(7))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()

    async def test_plan(self):
        """Guards against plans that lose a piece on the way."""
        agents = Agents()
        await agents.start(17440)
        life = ranges.Life('i-1', 17)
        plan = ranges.Plan(
            's', 3, ranges.divide_equally([('a', life), ('b', life)])
        )
        agents.links['a'].carry_out(
            planmsg.SendPlan('b', agents.ports['b'], plan, 9),
        )
        told = await agents.wait_for('b', planmsg.PlanTold)
        assert told == planmsg.PlanTold(plan, 9)
        await agents.stop()

    async def test_plan_is_packed_once_for_all_hosts(self, monkeypatch):
        """Guards against a planner that has no time for leases."""
        pack = mock.Mock(return_value=b'')
        monkeypatch.setattr(wire, 'pack', pack)
        monkeypatch.setattr(wire, 'pack_compressed', pack)
        agents = Agents()
        await agents.start(17460)
        life = ranges.Life('i-1', 17)
        for version in (3, 4):
            owners = [('a', life), ('b', life)]
            plan = ranges.Plan('s', version, ranges.divide_equally(owners))
            for _ in range(5):
                agents.links['a'].carry_out(
                    planmsg.SendPlan('b', agents.ports['b'], plan, version),
                )
        assert pack.call_count == 2
        await agents.stop()

    async def test_bytes_that_are_no_frames(self):
        """Guards against a stranger's bytes that end the agent."""
        agents = Agents()
        await agents.start(17450)
        reader, writer = await asyncio.open_connection('127.0.0.1', 17451)
        writer.write(b'GET / HTTP/1.1\r\n\r\n' * 9)
        assert not await reader.read()
        writer.close()
        agents.send(forward(8))
        await agents.wait_for('b', messages.ForwardArrived)
        await agents.stop()
