"""Decides whether another agent reads what is sent to it: no input or output.

An agent that has stopped reading may run a request much later, after its caller
has left. All times are in ms of this agent's clock.
"""

import enum

# Times without received data while responses are outstanding: after the first
# the connection is pinged, after the second requests are held back, and after
# the third the connection is aborted.
PING_AFTER_MS = 250
HOLD_AFTER_MS = 350
ABORT_AFTER_MS = 800
# Of the time between two checks, pings and aborts count at most this much:
# twice the usual interval. If it was longer, this process did not run, so it
# has sent no ping, and what came meanwhile may be unread.
MAX_COUNTED_MS = 200


class Step(enum.Enum):
    """What to do about a connection now."""

    NOTHING = 'nothing'
    PING = 'ping'
    ABORT = 'abort'


class PeerSilence:
    """The silence of one connection, since a response has been due on it."""

    def __init__(self):
        """Start with no response due."""
        self._since = None
        self._checked_at = 0
        # How much of the silence was spent while this process ran.
        self._counted_ms = 0
        self._is_pinged = False
        # What the other side had taken at the last check, and whether bytes
        # waited to be sent then.
        self._taken_bytes = 0
        self._had_backlog = False

    def begin(self, now):
        """Note that a response is due from now on."""
        if self._since is None:
            self._restart(now)

    def end(self, now, *, is_response_due):
        """Note that data came, or that the connection has ended."""
        self._is_pinged = False
        self._restart(now if is_response_due else None)

    def allows_requests(self, now):
        """Return whether the other agent may be sent a request.

        This also counts the time in which this process did not run: whether
        the other agent reads is not known then.
        """
        return self._since is None or now < self._since + HOLD_AFTER_MS

    def check(self, now, taken_bytes, *, has_backlog):
        """Return the `Step` that is due.

        `taken_bytes` is how much has left this process, and `has_backlog`
        whether more waits. If bytes that had to wait are taken, the other side
        is not silent: a long body may take it a while.
        """
        is_taking = self._had_backlog and taken_bytes > self._taken_bytes
        self._taken_bytes = taken_bytes
        self._had_backlog = has_backlog
        if self._since is None:
            return Step.NOTHING
        if is_taking:
            self._restart(now)
        self._count_until(now)
        if self._counted_ms >= ABORT_AFTER_MS:
            return Step.ABORT
        if self._counted_ms >= PING_AFTER_MS and not self._is_pinged:
            self._is_pinged = True
            return Step.PING
        return Step.NOTHING

    def _restart(self, since):
        """Count silence from `since` on; None means no response is due."""
        self._since = since
        self._counted_ms = 0

    def _count_until(self, now):
        """Count the time since the last check, or since the silence began."""
        elapsed_ms = now - max(self._since, self._checked_at)
        self._counted_ms += min(elapsed_ms, MAX_COUNTED_MS)
        self._checked_at = now
