"""The loop that joins front ends and systems: ticks when there is input."""

import asyncio

from laburnumlatch.core import clock
from laburnumlatch.core import looptimes

# A tick waits for so many more polls of the sockets, so that it sees the ends
# of requests that were read late.
MAX_POLLS = 3


class Engine:
    """Runs ticks when a message has arrived or a due time is reached."""

    def __init__(self, agent, tick, time_source, times):
        """Call `tick(agent, now, note)`; `time_source` is a `clock.Clock`.

        `times`, a `looptimes.LoopTimes`, learns what each part spends.
        """
        self._loop = asyncio.get_running_loop()
        self._clock = time_source
        self._agent = agent
        self._tick_agent = tick
        self._times = times
        self._takers = {}
        self._soon = None
        self._later = None
        self._polls = 0

    def register(self, kind, carry_out):
        """Give each outgoing message of the class `kind` to `carry_out`."""
        self._takers[kind] = carry_out

    def register_front_ends(self, front_ends):
        """Give the messages of their kinds to these front ends."""
        for front_end in front_ends:
            for kind in front_end.kinds:
                self.register(kind, front_end.carry_out)

    def post(self, message):
        """Hand a message to the systems and ask for a tick."""
        self._agent.inbox.post(message)
        self.wake()

    def wake(self):
        """Ask for a tick as soon as the loop is free."""
        if self._soon is None:
            self._soon = self._loop.call_soon(self._tick)

    def _tick(self):
        times = self._times
        if times.may_have_more and self._polls < MAX_POLLS:
            self._polls += 1
            self._soon = self._loop.call_soon(self._tick)
            return
        self._polls = 0
        self._soon = None
        times.note(looptimes.INPUT)
        for kind, number in self._agent.inbox.counts():
            times.count(kind, number)
        self._tick_agent(self._agent, self._clock.now(), times.note)
        for kind, carry_out in self._takers.items():
            posted = self._agent.outbox.take(kind)
            if not posted:
                continue
            for message in posted:
                carry_out(message)
            times.count(kind, len(posted))
            times.note(kind.__name__)
        self._schedule()

    def _schedule(self):
        if self._later is not None:
            self._later.cancel()
            self._later = None
        due = self._agent.next_wake
        if due is not None:
            delay_ms = max(0, due - self._clock.now())
            self._later = self._loop.call_later(
                delay_ms / clock.MS_PER_S,
                self.wake,
            )
