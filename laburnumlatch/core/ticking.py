"""What the state of every agent has: mailboxes, timers and a wake-up time."""

import attrs

from laburnumlatch.core import mailbox
from laburnumlatch.core import tables


@attrs.define(kw_only=True)
class TickState:
    """Mailboxes between front ends and systems, and when to tick next."""

    now: int = 0
    inbox: mailbox.Mailbox = attrs.Factory(mailbox.Mailbox)
    outbox: mailbox.Mailbox = attrs.Factory(mailbox.Mailbox)
    timers: tables.Table = attrs.Factory(tables.Table)
    _wake: int | None = None

    @property
    def next_wake(self):
        """Time in ms at which a system asked for a tick, or None."""
        return self._wake

    def wake_at(self, due_ms):
        """Ask for a tick at `due_ms` or earlier."""
        if self._wake is None or due_ms < self._wake:
            self._wake = due_ms

    def begin_tick(self, now):
        """Forget the wake-up time; systems set it anew in each tick."""
        self.now = now
        self._wake = None

    def due(self, timer, interval_ms, now):
        """Tell whether `timer` has come; if so it starts again.

        A timer that is asked for the first time has come.
        """
        due_ms = self.timers.get(timer)
        has_come = due_ms is None or now >= due_ms
        if has_come:
            due_ms = self.timers.put(timer, now + interval_ms)
        self.wake_at(due_ms)
        return has_come
