"""Front ends for the platform's status question and the backend server."""

import asyncio
import json

from tornado import httpserver
from tornado import netutil
from tornado import web

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import exposition
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from laburnumlatch.platform import announcements

STATUS_OK = 200
STATUS_BAD = 400
STATUS_NOT_READY = 503
MAX_BODY_BYTES = 65_536
BACKLOG = 256

_log = logs.logger('control')


class ReadyHandler(web.RequestHandler):
    """`GET /ready`: whether callers on this host may send new work."""

    def initialize(self, agent):
        """Ask `agent`."""
        self._agent = agent

    def get(self):
        """Answer 200 or 503."""
        is_ready = self._agent.is_ready
        self.set_status(STATUS_OK if is_ready else STATUS_NOT_READY)


class MetricsHandler(web.RequestHandler):
    """`GET /metrics`: counters and latencies as text."""

    def initialize(self, agent, count_left_out):
        """Ask `agent`; `count_left_out` counts log lines left out."""
        self._agent = agent
        self._count_left_out = count_left_out

    def get(self):
        """Write what has been counted."""
        self.set_header('Content-Type', exposition.CONTENT_TYPE)
        self.finish(exposition.as_text(self._agent, self._count_left_out))


class StatusHandler(web.RequestHandler):
    """`GET /status` and `GET /explain/SERVICE/KEY`: what this agent knows."""

    def initialize(self, agent):
        """Ask `agent`."""
        self._agent = agent

    def get(self, *asked):
        """Write the state, or the owner of a key."""
        known = state.of_agent(self._agent)
        try:
            shown = report.explain(known, *asked) if asked else None
        except errors.InvalidInputError as error:
            self.set_status(STATUS_BAD)
            self.finish({'error': str(error)})
            return
        self.finish(shown or report.status(known))


class RpcHandler(web.RequestHandler):
    """Calls of the backend server: announcements and deregistration."""

    def initialize(self, front):
        """Hand what is decoded to `front`."""
        self._front = front

    async def post(self):
        """Decode the call, and answer when the systems have decided."""
        call = self.get_query_argument('call', '')
        server_id = self.get_query_argument('of', '')
        try:
            told = announcements.decode(
                call, server_id, self.request.body, self._front.time_of_day()
            )
        except errors.InvalidInputError as error:
            _log.warning(
                'announcement-unreadable',
                call=call,
                server=server_id,
                detail=error,
            )
            self.set_status(STATUS_BAD)
            return
        is_accepted = await self._front.ask(told)
        if not is_accepted:
            self.set_status(STATUS_BAD)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({}))


class ControlFront(frontends.FrontEnd):
    """The addresses for status questions, announcements and metrics."""

    kinds = (backendmsg.AnnouncementAnswered,)

    def __init__(self, post, agent, count_left_out):
        """Answer from `agent`; `count_left_out` counts log lines left out."""
        super().__init__(post)
        self._agent = agent
        self._count_left_out = count_left_out
        self._wall_clock = clock.WallClock()
        self._asked = {}
        self._last = 0
        self._servers = []

    async def start(self):
        """Listen; raise OSError if an address cannot be had."""
        own = self._agent.settings
        ask = {'agent': self._agent}
        self._listen(own.ready_address, [(r'/ready', ReadyHandler, ask)])
        self._listen(
            own.control_address, [(r'/rpc', RpcHandler, {'front': self})]
        )
        if own.metrics_address:
            ask_all = {**ask, 'count_left_out': self._count_left_out}
            handlers = [
                (r'/metrics', MetricsHandler, ask_all),
                (r'/status', StatusHandler, ask),
                (r'/explain/([^/]+)/([^/]+)', StatusHandler, ask),
            ]
            self._listen(own.metrics_address, handlers)

    async def stop(self):
        """Close all connections."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def time_of_day(self):
        """Return the time in Unix ms, in which servers tell their starts."""
        return self._wall_clock.now()

    async def ask(self, told):
        """Return whether the systems accept an announcement."""
        self._last += 1
        self._asked[self._last] = asyncio.get_running_loop().create_future()
        self._post(told(self._last))
        return await self._asked[self._last]

    def carry_out(self, message):
        """Answer an announcement."""
        asked = self._asked.pop(message.call_number, None)
        if asked is not None and not asked.done():
            asked.set_result(message.is_accepted)

    def _listen(self, address, handlers):
        ip_text, port = addresses.split_address(address)
        server = httpserver.HTTPServer(
            web.Application(handlers, log_function=_log_nothing),
            max_body_size=MAX_BODY_BYTES,
        )
        server.add_sockets(
            netutil.bind_sockets(port, ip_text, backlog=BACKLOG),
        )
        self._servers.append(server)


def _log_nothing(_handler):
    """Leave logging to the systems."""
