"""Connections to servers: new ones, and those that rest between calls."""

import asyncio
import socket

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import tasks
from laburnumlatch.platform import serverconnection

CONNECT_TIMEOUT_MS = 500
MAX_RESTING = 64
TIMED_OUT = 'timed out'
NO_CONNECTION = 'no connection was kept'
# TCP keepalive detects a server that has vanished without closing, after
# about `KEEPALIVE_IDLE_S` + `KEEPALIVE_PROBES` * `KEEPALIVE_INTERVAL_S`.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Keepalive does not probe while sent data is unacknowledged; this timeout
# covers that case.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    ),
)


class ServerPool:
    """Starts calls, on connections that rest or on new ones."""

    def __init__(self, memory, time_source):
        """Create a pool without connections.

        `memory` is the `bodymemory.BodyMemory` of the process, in which
        responses count while they are being received. `time_source` is a
        `clock.Clock`.
        """
        self.memory = memory
        self._clock = time_source
        self._connections = set()
        # The one that rests for the shortest time is the last.
        self._resting = []
        self._tasks = tasks.Tasks()

    def start(self, call):
        """Start a `servercall.ServerCall`, which reports its own end."""
        call.timer = asyncio.get_running_loop().call_later(
            call.timeout_ms / clock.MS_PER_S, self._time_out, call
        )
        connection = self._take_resting(call)
        if connection:
            connection.start(call)
        elif call.may_connect:
            self._connect(call)
        else:
            call.fail(NO_CONNECTION)

    def cancel(self, call):
        """Close the connection of a call and report nothing."""
        if not call.is_done:
            call.is_done = True
            call.timer.cancel()
            if call.connection is not None:
                call.connection.close()

    def close(self):
        """Close all connections; calls that are open report nothing."""
        self._tasks.cancel()
        for connection in tuple(self._connections):
            connection.close()

    def keep(self, connection):
        """Let a connection rest until a call needs one."""
        connection.rests_since = self._clock.now()
        self._resting.append(connection)
        if len(self._resting) > MAX_RESTING:
            self._resting[0].close()

    def remove(self, connection):
        """Forget a closed connection."""
        self._connections.discard(connection)
        if connection in self._resting:
            self._resting.remove(connection)

    def _take_resting(self, call):
        """Return the connection that rested shortest, or None."""
        if call.needs_new_connection:
            return None
        now = self._clock.now()
        for connection in reversed(self._resting):
            if connection.can_carry(call, now):
                self._resting.remove(connection)
                return connection
        return None

    def _connect(self, call):
        self._tasks.start(
            self._start_on_new_connection(call),
            lambda error: call.fail(repr(error)),
        )

    async def _start_on_new_connection(self, call):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / clock.MS_PER_S):
                connection = await self._open(call.address)
        except OSError as error:
            call.fail(repr(error))
            return
        if call.is_done:
            self.keep(connection)
        else:
            connection.start(call)

    async def _open(self, address):
        ip_text, port = addresses.split_address(address)
        (
            transport,
            connection,
        ) = await asyncio.get_running_loop().create_connection(
            lambda: serverconnection.ServerConnection(self, address),
            ip_text,
            port,
        )
        self._connections.add(connection)
        opened = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            opened.setsockopt(level, option, setting)
        return connection

    def _time_out(self, call):
        if call.connection is not None:
            call.connection.close()
        call.fail(TIMED_OUT)
