"""Rows, frames and datagrams that another writer has spoilt."""

import tracemalloc
import zlib
from unittest import mock

import msgpack
import pytest

from laburnumlatch.core import addresses
from laburnumlatch.core import errors
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import members
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import rows
from tests import test_mesh_late_input
from tests import test_mesh_peerlink

BOMB_BYTES = 600 * 2**20
# Agents may use 200 MB in all.
MOST_BYTES = 100 * 2**20
ODD_ADDRESSES = ('127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x', '', ':', '1')
# A few kinds of nested bytes that a decoder may follow too far.
NESTED = (b'\x81' * 5000, b'\x91' * 5000)


class TestPeerAddresses:
    """A row that names an address at which nobody can be reached."""

    @pytest.mark.parametrize(
        ('port', 'address'), list(enumerate(ODD_ADDRESSES))
    )
    async def test_waiting_requests_are_told(self, port, address):
        """Guards against requests that wait for a dial that has ended."""
        agents = test_mesh_peerlink.Agents()
        await agents.start(17570 + 2 * port)
        agents.ports['b'] = address
        kind = test_mesh_late_input.KINDS[0]
        agents.send(test_mesh_late_input.forward(kind))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()


class TestDials:
    """A dial that ends in a way that nobody thought of."""

    async def test_waiting_requests_are_told(self, monkeypatch):
        """Guards against a task that ends unseen."""
        agents = test_mesh_peerlink.Agents()
        await agents.start(17594)
        odd = mock.Mock(side_effect=RuntimeError('odd'))
        monkeypatch.setattr(addresses, 'split_address', odd)
        kind = test_mesh_late_input.KINDS[0]
        agents.send(test_mesh_late_input.forward(kind))
        failed = await agents.wait_for('a', messages.ExchangeFailed)
        assert failed.phase == messages.Phase.UNSENT
        await agents.stop()


def host_row(**changes):
    """Return the packed row of a host, with changes."""
    record = rows.HostRecord(
        'h9', 'moti', 'd0', 'h9', rows.HostState.READY, 3, None
    )
    return msgpack.packb({**msgpack.unpackb(wire.pack(record)), **changes})


def take_row(key, body):
    """Let an agent take a row; return its state."""
    fleet = fleetsim.deployment()
    agent = fleet.agents['m0']
    row = storemsg.StoreRow(key, 10**6, body)
    members.take_rows(agent, [row])
    return agent


class TestMeshRows:
    """Rows of the agents' own tables that another writer has spoilt."""

    def test_host_row_is_taken(self):
        """Guards against a check that refuses good rows."""
        agent = take_row('mesh/host/h9', host_row())
        assert 'h9' in agent.hosts

    @pytest.mark.parametrize(
        ('key', 'body'),
        [
            ('mesh/host/h8', host_row()),
            ('mesh/host/h9', host_row(slots=float('inf'))),
            ('mesh/host/h9', host_row(slots=-3)),
            ('mesh/host/h9', NESTED[0]),
            ('mesh/host/h9', NESTED[1]),
        ],
        ids=['key', 'infinite', 'negative', 'map', 'list'],
    )
    def test_odd_host_row_is_ignored(self, key, body):
        """Guards against a host that cannot be."""
        agent = take_row(key, body)
        assert not {'h8', 'h9'} & set(agent.hosts.keys())

    def test_row_that_unpacks_to_too_much(self):
        """Guards against memory that a short row takes."""
        body = zlib.compress(bytes(BOMB_BYTES), 9)
        tracemalloc.start()
        agent = take_row('mesh/host/h9', body)
        most = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert 'h9' not in agent.hosts
        assert most < MOST_BYTES

    @pytest.mark.parametrize('change', ['none', 'gap', 'order', 'short'])
    def test_odd_plan_is_ignored(self, change):
        """Guards against keys without an owner."""
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
        agent = take_row('plans/bokun', body)
        assert agent.plan_of('bokun').version < 900


class Frames(frames.FrameProtocol):
    """Keeps the messages of a connection."""

    def __init__(self):
        super().__init__()
        self.found = []
        self.is_aborted = False
        self.transport = self

    def received(self, message):
        self.found.append(message)

    def abort(self):
        self.is_aborted = True


class TestFrames:
    """Bytes between agents."""

    def test_bytes_that_unpack_without_end(self):
        """Guards against memory that a stranger's few bytes take."""
        deflate = zlib.compressobj(9, zlib.DEFLATED, -frames.WINDOW_BITS, 5)
        packed = deflate.compress(bytes(BOMB_BYTES))
        protocol = Frames()
        tracemalloc.start()
        protocol.data_received(packed)
        most = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert protocol.is_aborted
        assert most < 2 * frames.MAX_FRAME_BYTES + MOST_BYTES


class TestDatagrams:
    """Datagrams between agents."""

    @pytest.mark.parametrize('body', NESTED)
    def test_nested_datagram(self, body):
        """Guards against a decoder that runs out of its stack."""
        with pytest.raises(errors.WireError):
            wire.Codec(leasemsg.KINDS).decode(body)
