"""State that every agent needs to tick: mailboxes, timers, wake-up time."""

import attrs

from laburnumlatch.core import mailbox
from laburnumlatch.core import tables

# Without a tick for this time the process was paused: systems request ticks
# several times a second.
PAUSE_MS = 1000


@attrs.define(kw_only=True)
class TickState:
    """Mailboxes between front ends and systems, and the next wake-up time.

    `now` is the time of the current tick in ms; `timers` holds the next due
    time in ms of each periodic timer, by name. `paused_at` is the time of the
    last tick before the latest pause of the process, `resumed_at` that of the
    first one after it; both are None before any pause.
    """

    now: int = 0
    paused_at: int | None = None
    resumed_at: int | None = None
    inbox: mailbox.Mailbox = attrs.Factory(mailbox.Mailbox)
    outbox: mailbox.Mailbox = attrs.Factory(mailbox.Mailbox)
    timers: tables.Table = attrs.Factory(tables.Table)
    _wake: int | None = None

    @property
    def next_wake(self):
        """Earliest time in ms for which a system requested a tick, or None."""
        return self._wake

    def wake_at(self, due_ms):
        """Request a tick at `due_ms` at the latest."""
        if self._wake is None or due_ms < self._wake:
            self._wake = due_ms

    def begin_tick(self, now):
        """Reset the wake-up time, which systems set again in each tick."""
        if self.now and now - self.now > PAUSE_MS:
            self.paused_at = self.now
            self.resumed_at = now
        self.now = now
        self._wake = None

    def due(self, timer, interval_ms, now):
        """Return whether a periodic timer is due; if so, restart it.

        Requests a tick at the timer's next due time. A timer is due when it
        is checked for the first time. Times are in ms.
        """
        due_ms = self.timers.get(timer)
        is_due = due_ms is None or now >= due_ms
        if is_due:
            due_ms = self.timers.put(timer, now + interval_ms)
        self.wake_at(due_ms)
        return is_due
