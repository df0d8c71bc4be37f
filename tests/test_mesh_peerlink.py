"""Requests, responses and plans between agents, over real connections."""

import asyncio
import itertools
from unittest import mock

import pytest

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import wire
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peerlink
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes

POLL_INTERVAL_S = 0.01
MAX_POLLS = 300
MEMORY_BYTES = 200_000_000


def forward(number, body=b''):
    """Return a forwarded request with a number and a body."""
    head = messages.Head(
        'POST', '/p/x', 'a.example', (('Accept', '*/*'),), f'r{number}', 7
    )
    return messages.Forward(
        number, 1, head, body, 's', routes.Kind.ONCE, 1, 1000, 500
    )


class AgentPair:
    """Links of two agents, `a` and `b`, and the messages that they post.

    `clocks` holds a clock for each agent by name; by default both are real.
    """

    def __init__(self, clocks=None):
        """Create no link yet."""
        self.posted = {'a': [], 'b': []}
        self.clocks = clocks or {
            name: clock.BoottimeClock() for name in self.posted
        }
        self.memories = {
            name: bodymemory.BodyMemory(MEMORY_BYTES) for name in self.posted
        }
        self.links = {}
        self.ports = {}

    async def start(self, first_port):
        """Start both links, at two ports from `first_port`."""
        await self.start_at(
            f'127.0.0.1:{first_port}', f'127.0.0.1:{first_port + 1}'
        )

    async def start_at(self, *addresses):
        """Start both links, each at an address."""
        for name, address in zip(self.posted, addresses, strict=True):
            self.ports[name] = address
            self.links[name] = peerlink.PeerLink(
                self.posted[name].append,
                self.ports[name],
                name,
                itertools.count(1),
                self.clocks[name],
                self.memories[name],
            )
            await self.links[name].start()

    async def stop(self):
        """Stop both links."""
        for link in self.links.values():
            await link.stop()

    def send(self, request):
        """Send a request from `a` to `b`."""
        self.links['a'].carry_out(
            messages.SendForward('b', self.ports['b'], request),
        )

    async def wait_for(self, name, kind, polls=MAX_POLLS):
        """Wait for a message of class `kind`; remove and return it."""
        for _ in range(polls):
            for message in self.posted[name]:
                if isinstance(message, kind):
                    self.posted[name].remove(message)
                    return message
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f'link {name} posted no {kind.__name__}')


class TestPeerLink:
    """A link between two agents."""

    async def test_request_and_response_arrive_unchanged(self):
        """Guards against bodies and fields that the encoding changes."""
        agents = AgentPair()
        await agents.start(17410)
        request = forward(5, bytes(range(256)) * 900)
        agents.send(request)
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        assert arrived.forward == request
        assert arrived.sender == 'a'
        answer = messages.Answer(200, (('X', 'y'),), b'whole')
        agents.links['b'].carry_out(
            messages.ReplyAnswer(
                arrived.number, answer, 12, 34, 56, cold_ms=78
            ),
        )
        ended = await agents.wait_for('a', messages.ExchangeEnded)
        assert ended == messages.ExchangeEnded(
            5, 1, answer, 12, 34, 56, cold_ms=78
        )
        await agents.stop()

    async def test_failing_agent_names_the_request(self):
        """Guards against a request that ends the next agent, too.

        The agent that was sent it would retry it elsewhere, as it does with
        the others that were open there.
        """
        agents = AgentPair()
        await agents.start(17470)
        agents.send(forward(5))
        suspect = await agents.wait_for('b', messages.ForwardArrived)
        agents.send(forward(6))
        await agents.wait_for('b', messages.ForwardArrived)
        failing = agents.links['b']
        failing.report_failure(
            errors.SystemFailedError('dispatch', [suspect.number])
        )
        for connection in failing.inbound_connections:
            connection.transport.close()
        failed = [
            await agents.wait_for('a', messages.ExchangeFailed)
            for _ in range(2)
        ]
        assert [(one.number, one.reason) for one in failed] == [
            (5, messages.Reason.AGENT_FAILED),
            (6, messages.Reason.UNREACHABLE),
        ]
        await agents.stop()

    @pytest.mark.parametrize('status', [0, 100, 199, 600])
    async def test_invalid_status_is_no_response(self, status):
        """Guards against passing on what an earlier build takes for one."""
        agents = AgentPair()
        await agents.start(17480)
        agents.send(forward(5))
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        answer = messages.Answer(status, (), b'')
        agents.links['b'].carry_out(
            messages.ReplyAnswer(arrived.number, answer, 12, 34, 56),
        )
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.verdict == messages.Verdict.UNKNOWN
        assert failed.reason == messages.Reason.BROKEN
        await agents.stop()

    async def test_lost_connection_fails_sent_requests(self):
        """Guards against requests that stay open after a lost connection.

        The sender must report the request as sent, as it may have run, and
        the receiver must cancel it, as nobody can get its response.
        """
        agents = AgentPair()
        await agents.start(17420)
        agents.send(forward(6))
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        await agents.links['a'].stop()
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.SENT
        canceled = await agents.wait_for('b', messages.ForwardCanceled)
        assert canceled.number == arrived.number
        await agents.stop()

    async def test_refused_connection_counts_as_unsent(self):
        """Guards against a request reported as sent to a closed port.

        A request that may have run is not retried unless it is safe.
        """
        agents = AgentPair()
        await agents.start(17430)
        agents.ports['b'] = '127.0.0.1:17439'
        agents.send(forward(7))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()

    async def test_plan_arrives_unchanged(self):
        """Guards against plans that the encoding changes."""
        agents = AgentPair()
        await agents.start(17440)
        life = ranges.Life('i-1', 17)
        plan = ranges.Plan(
            's', 3, ranges.divide_equally([('a', life), ('b', life)])
        )
        agents.links['a'].carry_out(
            planmsg.SendPlan('b', agents.ports['b'], plan, 9),
        )
        received = await agents.wait_for('b', planmsg.PlanTold)
        assert received == planmsg.PlanTold(plan, 9)
        await agents.stop()

    async def test_plan_is_packed_once_for_all_hosts(self, monkeypatch):
        """Guards against a planner that packs a plan again for each host.

        Packing takes time that the planner then lacks for lease renewals.
        """
        pack = mock.Mock(return_value=b'')
        monkeypatch.setattr(wire, 'pack', pack)
        monkeypatch.setattr(wire, 'pack_compressed', pack)
        agents = AgentPair()
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

    async def test_invalid_bytes_close_only_their_connection(self):
        """Guards against bytes from another program that stop the agent."""
        agents = AgentPair()
        await agents.start(17450)
        reader, writer = await asyncio.open_connection('127.0.0.1', 17451)
        writer.write(b'GET / HTTP/1.1\r\n\r\n' * 9)
        assert not await reader.read()
        writer.close()
        agents.send(forward(8))
        await agents.wait_for('b', messages.ForwardArrived)
        await agents.stop()
