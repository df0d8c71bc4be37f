"""Decides which connections of callers are closed when room runs out.

Memory and descriptors are shared by all callers. When there is no room for
what a caller sends, the connections are closed that hold most for what they
move; those whose requests only wait for this process are left alone.
"""

import collections

from laburnumlatch.core import logs
from laburnumlatch.mesh import processmsg
from laburnumlatch.platform import calleraccounts

# Descriptors that the platform sets aside for files.
FILE_DESCRIPTORS = 200
# The share of the others that callers may have. The rest is for the store, the
# backend server, other agents, and connections that were just accepted.
CALLERS_SHARE = 0.6
MIN_CONNECTIONS = 32
# Between two searches for connections to close.
SEARCH_INTERVAL_MS = 20
# A search frees at least this share of all connections, or of the memory for
# small things, so that the next one is not due at once.
FREED_SHARE = 0.0625
# The share of the memory for small things that idle connections may take.
CONNECTIONS_SHARE = 0.5
# Connections whose `idleness` is lower are not closed. Beside
# `calleraccounts.RATE_FLOOR`, an open connection without a request has 5, so
# that the first bound allows no more than a short head. A connection that holds
# less than 64 KB stays below the second one.
MIN_IDLENESS = 6
MIN_BODY_IDLENESS = 64

_log = logs.logger('callers')


class CallerGuard:
    """The open connections of callers, within memory and descriptors."""

    def __init__(self, settings, memory, time_source, post):
        """Guard the limits of a `mesh.settings.Settings`.

        `memory` is the `bodymemory.BodyMemory` of the process, `time_source` a
        `clock.Clock`; `post` passes a message to the systems.
        """
        self.memory = memory
        free = settings.max_descriptors - FILE_DESCRIPTORS
        affordable = memory.max_small_bytes // calleraccounts.CONNECTION_BYTES
        self._max_connections = max(
            MIN_CONNECTIONS,
            min(int(free * CALLERS_SHARE), int(affordable * CONNECTIONS_SHARE)),
        )
        self._clock = time_source
        self._post = post
        self._connections = {}
        self._addresses = {}
        self._next_search_at = 0
        # Closed connections since the last report, by reason.
        self._closed = collections.Counter()

    @property
    def connections(self):
        """All open connections."""
        return tuple(self._connections.values())

    def open_account(self, ip_text):
        """Return the account of a new connection from an address."""
        address = self._addresses.get(ip_text)
        if address is None:
            address = calleraccounts.AddressAccount(ip_text)
            self._addresses[ip_text] = address
        address.connection_count += 1
        return calleraccounts.ConnectionAccount(self.memory, address)

    def add(self, connection):
        """Keep a new connection; close others if there are too many."""
        connection.account.adjust_small(calleraccounts.CONNECTION_BYTES)
        self._connections[connection.number] = connection
        if len(self._connections) > self._max_connections:
            self._free_descriptors()

    def remove(self, connection):
        """Forget a closed connection."""
        if self._connections.pop(connection.number, None) is None:
            return
        account = connection.account
        account.adjust_small(-calleraccounts.CONNECTION_BYTES)
        account.address.connection_count -= 1
        if not account.address.connection_count:
            self._addresses.pop(account.address.ip_text)

    def has_room_for_body(self, account, size):
        """Return whether a connection may hold so much more of a body.

        If need be, others are closed, unless the body could not fit alone.
        """
        if not self.memory.request_may_ever_fit(size):
            return False
        return self.memory.fits_request(size) or self._make_room(
            lambda: self.memory.fits_request(size),
            lambda other: (
                other is not account and other.idleness >= MIN_BODY_IDLENESS
            ),
        )

    def has_room(self, account, size):
        """Return whether a connection may hold so much that is of no body.

        If need be, others are closed: those of its own address if that is at
        its bound.
        """
        if account.fits_small(size):
            return True
        is_at_fault = not account.address_has_room(size)
        return self._make_room(
            lambda: account.fits_small(size),
            lambda other: (
                other is not account
                and other.idleness >= MIN_IDLENESS
                and (other.address is account.address or not is_at_fault)
            ),
        )

    def relieve(self):
        """Close connections if callers leave too much unread."""
        if self.memory.is_short:
            self._make_room(
                lambda: not self.memory.is_short,
                lambda account: account.idleness >= MIN_BODY_IDLENESS,
            )

    def check(self):
        """Update the rates of connections, and report how many were closed."""
        for connection in self._connections.values():
            connection.account.note_rate()
        self.relieve()
        for reason, number in self._closed.items():
            _log.warning(
                'connections-closed',
                reason=reason,
                connections=number,
                open=len(self._connections),
                held_bytes=self.memory.held_bytes,
            )
            self._post(processmsg.CallersCut(reason, number))
        self._closed.clear()

    def _make_room(self, has_room, may_close):
        """Close connections until there is room; return whether there is.

        `may_close` says so for an account of a connection.
        """
        now = self._clock.now()
        if now < self._next_search_at:
            return False
        self._next_search_at = now + SEARCH_INTERVAL_MS
        goal = self.memory.max_small_bytes * FREED_SHARE
        for connection in self._find_idle(may_close):
            if goal <= 0 and has_room():
                break
            goal -= connection.account.held_bytes
            self._close(connection, 'memory')
        return has_room()

    def _find_idle(self, may_close):
        """Return the connections that may be closed, the idlest first."""
        idle = [
            connection
            for connection in self._connections.values()
            if may_close(connection.account) and not connection.is_waiting
        ]
        idle.sort(key=lambda connection: -connection.account.idleness)
        return idle

    def _free_descriptors(self):
        """Close connections of the address that has most of them.

        Of those that do not wait for this process, the ones that have been
        quiet for longest; the newest one if all of them wait.
        """
        address = max(
            self._addresses.values(),
            key=lambda account: account.connection_count,
        )
        candidates = [
            connection
            for connection in self._connections.values()
            if connection.account.address is address
        ]
        quiet = [
            connection for connection in candidates if not connection.is_waiting
        ]
        quiet.sort(key=lambda connection: connection.active_at)
        number = max(1, int(self._max_connections * FREED_SHARE))
        for connection in quiet[:number] or candidates[-1:]:
            self._close(connection, 'descriptors')

    def _close(self, connection, reason):
        self._closed[reason] += 1
        connection.close()
        self.remove(connection)
