"""Scheduler that connects front ends and systems and runs the ticks."""

import asyncio
from collections import abc

import attrs

from laburnumlatch.core import clock
from laburnumlatch.core import faultmsg
from laburnumlatch.core import logs
from laburnumlatch.core import looptimes
from laburnumlatch.core import tracebacks

# After a long pass of the loop, a tick is deferred by up to this many further
# polls of the sockets. So it also sees a caller's close that was waiting behind
# its request, and starts no work for a caller who has left.
MAX_TICK_DEFERRALS = 3

_log = logs.logger('engine')


@attrs.define(frozen=True)
class Handler:
    """What is called with each outgoing message of a class.

    If `carry_out` raises, `give_up` ends what the message was for, and returns
    the ID of the request that it belonged to, or an empty string.
    """

    carry_out: abc.Callable
    give_up: abc.Callable


class Engine:
    """Runs a tick when a message has arrived or a wake-up time is reached.

    An outgoing message that cannot be carried out costs only itself. A tick
    that raises may have left a request half started, so that the next one would
    start it again: it is the last one of the process.
    """

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
        self._on_failure = None
        self._has_failed = False
        self._scheduled_tick = None
        self._wake_timer = None
        self._wake_due = None
        self._deferrals = 0

    def register(self, kind, handler):
        """Pass each outgoing message of the class `kind` to a `Handler`."""
        self._handlers[kind] = handler

    def register_front_ends(self, front_ends):
        """Register each front end for the message classes in its `kinds`."""
        for front_end in front_ends:
            handler = Handler(front_end.carry_out, front_end.give_up)
            for kind in front_end.kinds:
                self.register(kind, handler)

    def report_errors(self, on_failure):
        """Log and count what a callback of the loop raises.

        When a tick has raised, `on_failure` is called with its
        `errors.SystemFailedError`.
        """
        self._on_failure = on_failure
        self._loop.set_exception_handler(self._on_callback_failed)

    def post(self, message):
        """Add a message to the inbox of the systems and schedule a tick."""
        self._agent.inbox.post(message)
        self.wake()

    def wake(self):
        """Run a tick as soon as the loop is free, if none is scheduled."""
        if self._scheduled_tick is None and not self._has_failed:
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
        try:
            self._tick_agent(self._agent, self._clock.now(), times.mark)
        except Exception as error:
            self._fail(error)
            return
        for kind, handler in self._handlers.items():
            posted = self._agent.outbox.take(kind)
            if not posted:
                continue
            for message in posted:
                self._carry_out(handler, message)
            times.count(kind, len(posted))
            times.mark(kind.__name__)
        self._schedule_wake()

    def _carry_out(self, handler, message):
        try:
            handler.carry_out(message)
        except Exception as error:
            self._give_up(handler, message, error)

    def _give_up(self, handler, message, error):
        """Give a message up, so that the others are carried out."""
        kind = type(message).__name__
        request_id = ''
        try:
            request_id = handler.give_up(message)
        except Exception as second_error:
            _log.error(
                'give-up-failed', kind=kind, **tracebacks.describe(second_error)
            )
        _log.error(
            'message-failed',
            kind=kind,
            request=request_id,
            **tracebacks.describe(error),
        )
        self.post(faultmsg.MessageFailed(kind))

    def _on_callback_failed(self, _loop, context):
        """Report an error that no front end has caught.

        If it was raised by input, asyncio has closed that connection.
        """
        error = context.get('exception')
        described = {} if error is None else tracebacks.describe(error)
        _log.error('callback-failed', what=context['message'], **described)
        self.post(faultmsg.CallbackFailed())

    def _fail(self, error):
        """Run no further tick, and report why."""
        system = getattr(error, 'system', '')
        cause = error.__cause__ or error
        numbers = getattr(error, 'request_numbers', None) or ()
        _log.error(
            'tick-failed',
            system=system,
            requests=','.join(map(str, sorted(numbers))),
            **tracebacks.describe(cause),
        )
        self._has_failed = True
        if self._on_failure is not None:
            self._on_failure(error)

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
