"""Invalid rows, frames and datagrams from other writers."""

import tracemalloc
import zlib
from unittest import mock

import msgpack
import pytest

from laburnumlatch.core import addresses
from laburnumlatch.core import bodymemory
from laburnumlatch.core import errors
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import deflating
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import members
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import rows
from tests import test_mesh_late_input
from tests import test_mesh_peerlink

BOMB_BYTES = 600 * 2**20
# An agent may use 200 MB in all.
MAX_TRACED_BYTES = 100 * 2**20
INVALID_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    '',
    ':',
    '1',
)
# Deeply nested maps and lists, which may overflow the stack of a decoder.
NESTED_BODIES = (b'\x81' * 5000, b'\x91' * 5000)


class TestPeerAddresses:
    """Requests to a host whose row contains an invalid address."""

    @pytest.mark.parametrize(
        ('port', 'address'), list(enumerate(INVALID_ADDRESSES))
    )
    async def test_queued_request_fails_as_unsent(self, port, address):
        """Guards against requests queued for a connection that has failed."""
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17570 + 2 * port)
        agents.ports['b'] = address
        kind = test_mesh_late_input.KINDS[0]
        agents.send(test_mesh_late_input.forward(kind))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()


class TestFailedConnects:
    """Attempts to connect that raise an unexpected exception."""

    async def test_queued_request_fails_as_unsent(self, monkeypatch):
        """Guards against requests queued for a task that has crashed.

        An exception that is not handled ends the task that connects, and
        then nothing else reports the requests as failed.
        """
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17594)
        raising = mock.Mock(side_effect=RuntimeError('odd'))
        monkeypatch.setattr(addresses, 'split_address', raising)
        kind = test_mesh_late_input.KINDS[0]
        agents.send(test_mesh_late_input.forward(kind))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()


def host_row(**changes):
    """Return the packed row of host `h9`, with some fields replaced."""
    record = rows.HostRecord(
        'h9', 'moti', 'd0', 'h9', rows.HostState.READY, 3, None
    )
    return msgpack.packb({**msgpack.unpackb(wire.pack(record)), **changes})


def state_after_row(key, body):
    """Pass a row to a running agent; return the state of the agent."""
    fleet = fleetsim.deployment()
    agent = fleet.agents['m0']
    row = storemsg.StoreRow(key, 10**6, body)
    members.apply_rows(agent, [row])
    return agent


class TestMeshRows:
    """Rows of the agents' own tables with content that is not valid."""

    def test_valid_host_row_is_accepted(self):
        """Guards against a check that rejects all rows, also valid ones."""
        agent = state_after_row('mesh/host/h9', host_row())
        assert 'h9' in agent.hosts

    @pytest.mark.parametrize(
        ('key', 'body'),
        [
            ('mesh/host/h8', host_row()),
            ('mesh/host/h9', host_row(slots=float('inf'))),
            ('mesh/host/h9', host_row(slots=-3)),
            ('mesh/host/h9', NESTED_BODIES[0]),
            ('mesh/host/h9', NESTED_BODIES[1]),
        ],
        ids=['key', 'infinite', 'negative', 'map', 'list'],
    )
    def test_invalid_host_row_is_ignored(self, key, body):
        """Guards against a wrong ID, impossible slots and deep nesting."""
        agent = state_after_row(key, body)
        assert not {'h8', 'h9'} & set(agent.hosts.keys())

    def test_decompression_bomb_is_ignored(self):
        """Guards against a short row that decompresses to 600 MB.

        An agent that decompresses it whole exceeds its memory limit.
        """
        body = zlib.compress(bytes(BOMB_BYTES), 9)
        tracemalloc.start()
        agent = state_after_row('mesh/host/h9', body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert 'h9' not in agent.hosts
        assert peak_bytes < MAX_TRACED_BYTES

    @pytest.mark.parametrize('change', ['none', 'gap', 'order', 'short'])
    def test_invalid_plan_is_ignored(self, change):
        """Guards against a plan that leaves keys without an owner.

        It has no pieces, a gap between them, a wrong order, or no piece for
        the last keys.
        """
        life = ranges.Life('i', 1)
        pieces = list(
            ranges.divide_equally([('b0', life), ('b1', life), ('b2', life)])
        )
        if change == 'none':
            pieces.clear()
        elif change == 'gap':
            pieces.pop(1)
        elif change == 'order':
            pieces.reverse()
        else:
            pieces.pop()
        body = wire.pack(ranges.Plan('bokun', 900, tuple(pieces)))
        agent = state_after_row('plans/bokun', body)
        assert agent.plan_of('bokun').version < 900


class RecordingProtocol(frames.FrameProtocol):
    """Records the messages of a connection, and whether it was aborted."""

    def __init__(self):
        super().__init__(bodymemory.BodyMemory(0))
        self.decoded = []
        self.is_aborted = False
        self.transport = self

    def message_received(self, message):
        self.decoded.append(message)

    def abort(self):
        self.is_aborted = True


class TestFrames:
    """Received bytes of a connection between agents."""

    def test_decompression_bomb_aborts_the_connection(self):
        """Guards against a few received bytes that decompress to 600 MB.

        Decompressed whole, they exceed the memory limit of the agent.
        """
        deflate = zlib.compressobj(9, zlib.DEFLATED, -deflating.WINDOW_BITS, 5)
        packed = deflate.compress(bytes(BOMB_BYTES))
        protocol = RecordingProtocol()
        tracemalloc.start()
        protocol.data_received(packed)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert protocol.is_aborted
        assert peak_bytes < 2 * frames.MAX_FRAME_BYTES + MAX_TRACED_BYTES


class TestDatagrams:
    """Lease datagrams between agents."""

    @pytest.mark.parametrize('body', NESTED_BODIES)
    def test_deeply_nested_datagram_is_rejected(self, body):
        """Guards against a decoder that exceeds the recursion limit."""
        with pytest.raises(errors.WireError):
            wire.Codec(leasemsg.KINDS).decode(body)
