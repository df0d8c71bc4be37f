"""Scheduler that connects front ends and systems and runs the ticks."""

import asyncio

from laburnumlatch.core import clock
from laburnumlatch.core import looptimes

# After a long pass of the loop, a tick is deferred by up to this many further
# polls of the sockets. So it also sees a caller's close that was waiting behind
# its request, and starts no work for a caller who has left.
MAX_TICK_DEFERRALS = 3


class Engine:
    """Runs a tick when a message has arrived or a wake-up time is reached."""

    def __init__(self, agent, tick, time_source, times):
        """Call `tick(agent, now, note)` for each tick.

        `agent` is a `ticking.TickState`, `time_source` is a `clock.Clock`, and
        `times` is the `looptimes.LoopTimes` that records the time spent in
        each part. The tick calls `note` with the name of each system that
        has run.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = time_source
        self._agent = agent
        self._tick_agent = tick
        self._times = times
        self._handlers = {}
        self._scheduled_tick = None
        self._wake_timer = None
        self._wake_due = None
        self._deferrals = 0

    def register(self, kind, carry_out):
        """Pass each outgoing message of the class `kind` to `carry_out`."""
        self._handlers[kind] = carry_out

    def register_front_ends(self, front_ends):
        """Register each front end for the message classes in its `kinds`."""
        for front_end in front_ends:
            for kind in front_end.kinds:
                self.register(kind, front_end.carry_out)

    def post(self, message):
        """Add a message to the inbox of the systems and schedule a tick."""
        self._agent.inbox.post(message)
        self.wake()

    def wake(self):
        """Run a tick as soon as the loop is free, if none is scheduled."""
        if self._scheduled_tick is None:
            self._scheduled_tick = self._loop.call_soon(self._tick)

    def _tick(self):
        times = self._times
        if times.may_have_unread_input and self._deferrals < MAX_TICK_DEFERRALS:
            self._deferrals += 1
            self._scheduled_tick = self._loop.call_soon(self._tick)
            return
        self._deferrals = 0
        self._scheduled_tick = None
        times.mark(looptimes.INPUT_PART)
        for kind, number in self._agent.inbox.counts():
            times.count(kind, number)
        self._tick_agent(self._agent, self._clock.now(), times.mark)
        for kind, carry_out in self._handlers.items():
            posted = self._agent.outbox.take(kind)
            if not posted:
                continue
            for message in posted:
                carry_out(message)
            times.count(kind, len(posted))
            times.mark(kind.__name__)
        self._schedule_wake()

    def _schedule_wake(self):
        """Replace the timer by one for the wake-up time of this tick.

        A timer that has not fired stays if the wake-up time is the same.
        """
        due = self._agent.next_wake
        if self._wake_timer is not None:
            if due == self._wake_due:
                return
            self._wake_timer.cancel()
            self._wake_timer = None
        if due is not None:
            delay_ms = max(0, due - self._clock.now())
            self._wake_timer = self._loop.call_later(
                delay_ms / clock.MS_PER_S,
                self._wake_by_timer,
            )
            self._wake_due = due

    def _wake_by_timer(self):
        self._wake_timer = None
        self.wake()
