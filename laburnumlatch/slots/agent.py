"""One agent: its world, its front ends and the loop that joins them."""

import asyncio
import secrets
import signal

from laburnumlatch.core import clock
from laburnumlatch.core import datagrams
from laburnumlatch.core import engine
from laburnumlatch.core import logs
from laburnumlatch.core import store
from laburnumlatch.core import storelink
from laburnumlatch.slots import adminapi
from laburnumlatch.slots import callers
from laburnumlatch.slots import calls
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import peers
from laburnumlatch.slots import serverapi
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import servers
from laburnumlatch.slots import ticks
from laburnumlatch.slots import upstream
from laburnumlatch.slots import world as worlds

INCARNATION_BITS = 48
# Requests in flight may take this long to finish when the agent stops.
LEAVE_S = 30
# Other agents go on sending to this one until they know that it has left. It
# refuses what they send; a closed connection would leave bookings in doubt.
LAST_FORWARDS_S = 0.3

_log = logs.logger('agent')


class Agent:
    """Runs ticks when a message has arrived or a due time is reached."""

    def __init__(self, settings, time_source=None):
        """Build the agent that `settings` describe, inside a running loop."""
        self._clock = time_source or clock.MonotonicClock()
        self._world = worlds.create(
            settings,
            secrets.randbits(INCARNATION_BITS),
            secrets.randbits(INCARNATION_BITS),
            self._clock.now(),
        )
        self._engine = engine.Engine(self._world, ticks.tick, self._clock)
        self._front_ends = self._build_front_ends(settings)
        self._engine.register_front_ends(self._front_ends)
        self._left = asyncio.Event()
        self._engine.register(servermsg.AgentStopped, self._note_left)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopping.set)
        for front_end in self._front_ends:
            await front_end.start()
        own = self._world.settings
        _log.info('started', host=own.host_id, address=own.address)
        self._engine.wake()
        await stopping.wait()
        await self._leave()
        for front_end in self._front_ends:
            await front_end.stop()

    def post(self, message):
        """Hand a message to the systems and ask for a tick."""
        self._engine.post(message)

    async def _leave(self):
        """Let the systems hand over the slots of this host."""
        self.post(servermsg.AgentStopping())
        try:
            await asyncio.wait_for(self._left.wait(), LEAVE_S)
        except TimeoutError:
            _log.warning('leave-timed-out', limit_s=LEAVE_S)
        await asyncio.sleep(LAST_FORWARDS_S)

    def _build_front_ends(self, settings):
        open_calls = calls.Calls()
        own_store = store.HttpStore(settings.store_address)
        admin = adminapi.Admin(self._world, own_store)
        return [
            callers.Callers(
                self.post,
                open_calls,
                settings.address,
                [
                    *serverapi.handlers(
                        self.post,
                        self._knows_server,
                        settings.address,
                    ),
                    *adminapi.handlers(admin),
                ],
            ),
            datagrams.Datagrams(self.post, settings.datagram_address, leasemsg),
            upstream.Upstream(self.post, open_calls, settings.host_id),
            servers.Servers(self.post),
            peers.Peers(self.post, settings.peer_address),
            storelink.StoreLink(self.post, own_store),
        ]

    def _note_left(self, _message):
        self._left.set()

    def _knows_server(self, server_id):
        return self._world.servers.get(server_id) is not None


async def serve(settings):
    """Run an agent until it is told to stop."""
    await Agent(settings).run()
