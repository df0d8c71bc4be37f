"""The memory that requests and responses may take."""

from collections import abc

import attrs

# Shares of the process's memory. Requests get half of all, so that responses
# as long as them still fit.
REQUESTS_SHARE = 0.25
ALL_SHARE = 0.5
# Bodies whose length is not known may have no end. Up to this share they may
# grow, so that others still fit.
ENDLESS_SHARE = 0.3
# Bodies that are being written to the backend server and that it has not read.
# One that reads slowly must not take what bodies still to come need: half of
# the share of requests.
UNREAD_SHARE = 0.125
# Heads, bytes that were not parsed yet, and the objects of connections and
# requests. They have a share of their own, which long bodies cannot take.
SMALL_SHARE = 0.15
# For the agent before any caller has connected, and for freed memory that the
# allocator keeps.
RESERVED_BYTES = 65_000_000
# From here on, callers who hold much and move little are cut off.
SHORT_SHARE = 0.35


@attrs.define(frozen=True)
class _Waiter:
    """Someone who goes on once `size` bytes are free."""

    size: int
    go_on: abc.Callable


class BodyMemory:
    """Counts what all front ends of a process hold for requests, in bytes.

    A body counts once for each place that holds a copy of it, from when its
    memory is promised until the last byte has been passed on. Small things,
    such as heads, count apart from bodies.
    """

    def __init__(self, process_bytes):
        """Allow shares of `process_bytes`, the limit of the whole process."""
        self._max_request_bytes = int(process_bytes * REQUESTS_SHARE)
        self._max_bytes = int(process_bytes * ALL_SHARE)
        self._max_endless_bytes = int(process_bytes * ENDLESS_SHARE)
        self._max_unread_bytes = int(process_bytes * UNREAD_SHARE)
        self.max_small_bytes = int(process_bytes * SMALL_SHARE)
        # A small process has no room for both shares beside its own memory.
        self._max_total_bytes = min(
            self._max_bytes + self.max_small_bytes,
            max(self._max_bytes, process_bytes - RESERVED_BYTES),
        )
        self._short_bytes = int(process_bytes * SHORT_SHARE)
        self._body_bytes = 0
        self._small_bytes = 0
        self._waiters = []

    @property
    def held_bytes(self):
        """Sum of all that is held."""
        return self._body_bytes + self._small_bytes

    @property
    def is_short(self):
        """Whether callers who hold much and move little are to be cut off."""
        return self.held_bytes > self._short_bytes

    def fits_request(self, size):
        """Return whether the body of another request fits."""
        return self._fits(self._body_bytes, size, self._max_request_bytes)

    def fits(self, size):
        """Return whether another body fits, of a request or a response."""
        return self._fits(self._body_bytes, size, self._max_bytes)

    def fits_endless(self, size):
        """Return whether a body of unknown length may grow by `size`."""
        return self._fits(self._body_bytes, size, self._max_endless_bytes)

    def fits_small(self, size):
        """Return whether so many bytes fit that do not belong to a body."""
        return self._fits(self._small_bytes, size, self.max_small_bytes)

    def fits_unread(self, unread_bytes, size):
        """Return whether a body may be sent to the server beside others.

        The server has not read `unread_bytes` of the others. A body always
        fits alone.
        """
        total = unread_bytes + size
        return not unread_bytes or total <= self._max_unread_bytes

    def may_ever_fit(self, size):
        """Return whether a body would fit if no other were held."""
        return size <= self._max_bytes

    def request_may_ever_fit(self, size):
        """Return whether the body of a request would fit if it were alone."""
        return size <= self._max_request_bytes

    def hold(self, size):
        """Count bytes of a body as held."""
        self._body_bytes += size

    def release(self, size):
        """Count bytes of a body as free; let those go on who wait for them."""
        self._body_bytes -= size
        self._wake_waiters()

    def adjust_small(self, more_bytes):
        """Count bytes of no body as held; a negative number releases them."""
        self._small_bytes += more_bytes
        if more_bytes < 0:
            self._wake_waiters()

    def adjust(self, more_bytes):
        """Count bytes of a body as held; a negative number releases them."""
        if more_bytes > 0:
            self.hold(more_bytes)
        else:
            self.release(-more_bytes)

    def hold_when_free(self, size, go_on):
        """Hold bytes once they are free, and then call `go_on()`.

        Those who wait go on in the order in which they came. Returns a token
        for `stop_waiting`.
        """
        waiter = _Waiter(size, go_on)
        self._waiters.append(waiter)
        return waiter

    def stop_waiting(self, waiter):
        """Forget someone who waits; do nothing if they went on already."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _fits(self, held_bytes, size, bound):
        """Return whether `size` fits under its bound and that of all."""
        is_in_share = held_bytes + size <= bound
        return is_in_share and self.held_bytes + size <= self._max_total_bytes

    def _wake_waiters(self):
        while self._waiters and self.fits(self._waiters[0].size):
            waiter = self._waiters.pop(0)
            self.hold(waiter.size)
            waiter.go_on()
