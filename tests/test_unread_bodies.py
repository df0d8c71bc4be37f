"""Bodies that the backend server has not read."""

import asyncio

from laburnumlatch.core import bodymemory
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.platform import backendclient
from tests import addresses

MEMORY_BYTES = 40 * 2**20
LIMIT_BYTES = int(MEMORY_BYTES * bodymemory.UNREAD_SHARE)
# More than the limit, beyond what the kernel holds of it.
LARGE_BYTES = 4 * LIMIT_BYTES


class SilentServer:
    """Accepts connections and sends nothing; may read what comes."""

    def __init__(self, *, reads):
        self.address = addresses.free()
        self.connections = []
        self._reads = reads

    async def start(self):
        """Listen."""
        ip_text, port = self.address.split(':')
        await asyncio.start_server(self._accept, ip_text, int(port))

    async def _accept(self, reader, writer):
        self.connections.append((reader, writer))
        while self._reads and await reader.read(LARGE_BYTES):
            await asyncio.sleep(0)
        await asyncio.Event().wait()


class TestClient:
    """Requests to a server that does not read."""

    async def test_body_beside_unread_ones_is_refused(self):
        """Guards against memory taken by a server that reads slowly.

        The request is refused before a byte of it is sent, so that it may be
        sent to another server. A request without a body still passes.
        """
        client, events, server = await self._start()
        client.carry_out(send(1, server, LARGE_BYTES))
        await asyncio.sleep(0.1)
        client.carry_out(send(2, server, LIMIT_BYTES))
        failed = await asyncio.wait_for(events.get(), 2)
        assert failed.number == 2
        assert failed.phase == messages.Phase.UNSENT
        assert failed.reason == messages.Reason.NO_MEMORY
        client.carry_out(send(3, server, 0))
        await asyncio.sleep(0.1)
        assert events.empty()
        assert len(server.connections) == 2
        await client.stop()

    async def test_body_that_was_read_does_not_count(self):
        """Guards against bodies that count while their requests run."""
        client, events, server = await self._start(reads=True)
        client.carry_out(send(1, server, LARGE_BYTES))
        await asyncio.sleep(0.5)
        client.carry_out(send(2, server, LARGE_BYTES))
        await asyncio.sleep(0.1)
        assert events.empty()
        await client.stop()

    async def _start(self, *, reads=False):
        server = SilentServer(reads=reads)
        await server.start()
        events = asyncio.Queue()
        client = backendclient.BackendClient(
            events.put_nowait, bodymemory.BodyMemory(MEMORY_BYTES)
        )
        return client, events, server


class TestOutcome:
    """What the agent makes of a request that was not sent."""

    def test_server_stays_in_use(self):
        """Guards against a server that counts as down for a lack of memory."""
        fleet = fleetsim.deployment(others=1)
        for _ in range(4):
            number = fleet.call('m0', '/', body=b'x')
            fleet.run(2)
            refused = messages.ExchangeFailed(
                number, 1, messages.Phase.UNSENT, messages.Reason.NO_MEMORY
            )
            fleet.post('m0', refused)
            fleet.run(1)
            assert fleet.outcomes[number].reason == messages.Reason.NO_MEMORY
        assert fleet.agents['m0'].backend.failed_since is None


def send(number, server, size):
    """Return the message that sends a body of `size` bytes."""
    head = messages.Head('POST', '/x', 'h.example', (), f'r{number}')
    return messages.Send(
        number, 1, server.address, 'i', head, bytes(size), 5000, True
    )
