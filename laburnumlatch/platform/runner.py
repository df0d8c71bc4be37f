"""Builds an agent from the platform's settings and runs it."""

import asyncio
import functools
import itertools
import secrets
import signal

from laburnumlatch.core import bodymemory
from laburnumlatch.core import clock
from laburnumlatch.core import datagrams
from laburnumlatch.core import engine
from laburnumlatch.core import logs
from laburnumlatch.core import looptimes
from laburnumlatch.core import storelink
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import peerlink
from laburnumlatch.mesh import processmsg
from laburnumlatch.mesh import ticks
from laburnumlatch.platform import backendclient
from laburnumlatch.platform import bootfile
from laburnumlatch.platform import callerfront
from laburnumlatch.platform import configlink
from laburnumlatch.platform import controlfront
from laburnumlatch.platform import settingswatch
from laburnumlatch.platform import tablestore

SEED_BITS = 48
TIME_CHECK_INTERVAL_S = 2
LOGGED_JUMP_MS = 200

_log = logs.logger('agent')


class Runner:
    """One agent: its state, its front ends and the engine that connects them.

    Settings are reloaded at SIGHUP and when the modification time of their
    file changes.
    """

    def __init__(self, settings, path, log_handler, loop_times):
        """Build the agent inside a running loop.

        `path` is the file from which `settings` were read; `loop_times` is
        the `looptimes.LoopTimes` of the running loop.
        """
        time_source = clock.BoottimeClock()
        self._agent = agentstate.create(
            settings, secrets.randbits(SEED_BITS), time_source.now()
        )
        self._engine = engine.Engine(
            self._agent, ticks.tick, time_source, loop_times
        )
        self._front_ends = self._build_front_ends(time_source, log_handler)
        self._engine.register_front_ends(self._front_ends)
        self._steady_wall_clock = clock.SteadyWallClock()
        self._wall_offset_ms = 0
        # Set to when the process must have ended, once all requests have.
        self._stopped = asyncio.get_running_loop().create_future()
        self._settings_watch = settingswatch.SettingsWatch(
            path, self._engine.post
        )
        self._engine.register(
            processmsg.Stopped, engine.Handler(self._on_stopped, _belongs_to)
        )
        self._engine.report_errors(self._on_failure)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Raises `errors.SystemFailedError` if a tick has failed. What is open is
        then cut off: whether a request has run may not be known any more.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._settings_watch.reload)
        for front_end in self._front_ends:
            await front_end.start()
        settings = self._agent.settings
        _log.info('started', host=settings.host_id, service=settings.service)
        self._engine.wake()
        self._settings_watch.start()
        self._check_time_of_day()
        ends_at = await self._stopped
        await asyncio.gather(
            *(draining.drain(ends_at) for draining in self._front_ends)
        )
        _log.info('stopped', host=settings.host_id)
        for front_end in self._front_ends:
            await front_end.stop()

    def _build_front_ends(self, time_source, log_handler):
        """Return the front ends, each of which posts to the engine."""
        settings = self._agent.settings
        numbers = itertools.count(1)
        post = self._engine.post
        memory = bodymemory.BodyMemory(settings.memory_bytes)
        store = tablestore.TableStore(settings.store_address)
        self._callers = callerfront.CallerFront(
            post, settings, numbers, time_source, memory
        )
        self._peers = peerlink.PeerLink(
            post,
            settings.peer_address,
            settings.host_id,
            numbers,
            time_source,
            memory,
        )
        return [
            self._callers,
            controlfront.ControlFront(
                post, self._agent, lambda: log_handler.left_out
            ),
            datagrams.Datagrams(post, settings.peer_address, leasemsg),
            self._peers,
            backendclient.BackendClient(post, memory),
            configlink.ConfigLink(post, store),
            storelink.StoreLink(post, store),
        ]

    def _stop(self):
        self._callers.begin_stop()
        self._engine.post(processmsg.Stopping())

    def _check_time_of_day(self):
        """Log a jump of the time of day, which nothing else here follows."""
        offset_ms = clock.WallClock().now() - self._steady_wall_clock.now()
        if abs(offset_ms - self._wall_offset_ms) >= LOGGED_JUMP_MS:
            _log.notice(
                'time-of-day-jumped', by_ms=offset_ms - self._wall_offset_ms
            )
            self._wall_offset_ms = offset_ms
        asyncio.get_running_loop().call_later(
            TIME_CHECK_INTERVAL_S, self._check_time_of_day
        )

    def _on_failure(self, error):
        try:
            self._peers.report_failure(error)
        finally:
            if not self._stopped.done():
                self._stopped.set_exception(error)

    def _on_stopped(self, message):
        if not self._stopped.done():
            self._stopped.set_result(message.ends_at)


def run(path):
    """Run an agent with the settings file at `path` until a stop signal.

    Raises `errors.InvalidInputError` if the settings file cannot be used.
    """
    settings = bootfile.load(path)
    handler = logs.set_up(settings.log_level)
    loop_times = looptimes.LoopTimes(clock.MonotonicClock())
    loop_factory = functools.partial(_create_loop, loop_times)
    try:
        with asyncio.Runner(loop_factory=loop_factory) as loop_runner:
            loop_runner.run(_serve(settings, path, handler, loop_times))
    finally:
        handler.close()


def _belongs_to(_message):
    """Return the ID of the request that `Stopped` belongs to: to none."""
    return ''


def _create_loop(loop_times):
    return asyncio.SelectorEventLoop(looptimes.TimedSelector(loop_times))


async def _serve(settings, path, log_handler, loop_times):
    await Runner(settings, path, log_handler, loop_times).run()
