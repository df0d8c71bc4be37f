"""HTTP servers for readiness, metrics and the backend server's calls."""

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
from laburnumlatch.platform import announcements

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
MAX_BODY_BYTES = 65_536
BACKLOG = 256

_log = logs.logger('control')


class ReadyHandler(web.RequestHandler):
    """`GET /ready`: whether callers on this host may send new requests."""

    def initialize(self, agent):
        """Set the `AgentState` to report on."""
        self._agent = agent

    def get(self):
        """Respond with 200 or 503, without a body."""
        is_ready = self._agent.is_ready
        self.set_status(STATUS_OK if is_ready else STATUS_UNAVAILABLE)


class MetricsHandler(web.RequestHandler):
    """`GET /metrics`: counters and latencies in Prometheus's text format."""

    def initialize(self, agent, count_left_out):
        """Set the `AgentState` to report on.

        `count_left_out` returns the number of log lines left out so far.
        """
        self._agent = agent
        self._count_left_out = count_left_out

    def get(self):
        """Write all metrics."""
        from laburnumlatch.mesh import exposition

        self.set_header('Content-Type', exposition.CONTENT_TYPE)
        self.finish(exposition.as_text(self._agent, self._count_left_out))


class StatusHandler(web.RequestHandler):
    """`GET /status` and `GET /explain/SERVICE/KEY`: the agent's view."""

    def initialize(self, agent):
        """Set the `AgentState` to report on."""
        self._agent = agent

    def get(self, *service_and_key):
        """Write the agent's state, or the owner of a key, as JSON."""
        from laburnumlatch.operators import report
        from laburnumlatch.operators import state

        agent_state = state.from_agent(self._agent)
        try:
            explanation = (
                report.explain(agent_state, *service_and_key)
                if service_and_key
                else None
            )
        except errors.InvalidInputError as error:
            self.set_status(STATUS_BAD_REQUEST)
            self.finish({'error': str(error)})
            return
        self.finish(explanation or report.status(agent_state))


class RpcHandler(web.RequestHandler):
    """`POST /rpc`: announcements and deregistration of the backend server."""

    def initialize(self, front):
        """Set the `ControlFront` that receives decoded calls."""
        self._front = front

    async def post(self):
        """Decode the call; respond when the systems have decided on it."""
        call = self.get_query_argument('call', '')
        server_id = self.get_query_argument('of', '')
        try:
            build_message = announcements.decode(
                call, server_id, self.request.body, self._front.time_of_day()
            )
        except errors.InvalidInputError as error:
            _log.warning(
                'announcement-unreadable',
                call=call,
                server=server_id,
                detail=error,
            )
            self.set_status(STATUS_BAD_REQUEST)
            return
        is_accepted = await self._front.announce(build_message)
        if not is_accepted:
            self.set_status(STATUS_BAD_REQUEST)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({}))


class ControlFront(frontends.FrontEnd):
    """Serves readiness, backend server calls and metrics, each on its port.

    Status and explanations share the address of the metrics.
    """

    kinds = (backendmsg.AnnouncementAnswered,)

    def __init__(self, post, agent, count_left_out):
        """Create the servers; `start` opens their sockets.

        `agent` is the `AgentState` to report on; `count_left_out` returns
        the number of log lines left out so far.
        """
        super().__init__(post)
        self._agent = agent
        self._count_left_out = count_left_out
        self._wall_clock = clock.SteadyWallClock()
        self._pending_calls = {}
        self._last_number = 0
        self._servers = []

    async def start(self):
        """Listen; raise OSError if an address cannot be bound."""
        settings = self._agent.settings
        arguments = {'agent': self._agent}
        self._listen(
            settings.ready_address, [(r'/ready', ReadyHandler, arguments)]
        )
        self._listen(
            settings.control_address, [(r'/rpc', RpcHandler, {'front': self})]
        )
        if settings.metrics_address:
            metrics_arguments = {
                **arguments,
                'count_left_out': self._count_left_out,
            }
            handlers = [
                (r'/metrics', MetricsHandler, metrics_arguments),
                (r'/status', StatusHandler, arguments),
                (r'/explain/([^/]+)/([^/]+)', StatusHandler, arguments),
            ]
            self._listen(settings.metrics_address, handlers)

    async def stop(self):
        """Close all connections."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def time_of_day(self):
        """Return Unix time in ms, the unit of the `born` field of a call."""
        return self._wall_clock.now()

    async def announce(self, build_message):
        """Post a backend server's call; return whether it is accepted.

        `build_message` returns the message for the number of the call.
        """
        self._last_number += 1
        self._pending_calls[self._last_number] = (
            asyncio.get_running_loop().create_future()
        )
        self._post(build_message(self._last_number))
        return await self._pending_calls[self._last_number]

    def carry_out(self, message):
        """Complete the call that an `AnnouncementAnswered` belongs to."""
        future = self._pending_calls.pop(message.call_number, None)
        if future is not None and not future.done():
            future.set_result(message.is_accepted)

    def _listen(self, address, handlers):
        ip_text, port = addresses.split_address(address)
        server = httpserver.HTTPServer(
            web.Application(handlers, log_function=_skip_request_log),
            max_body_size=MAX_BODY_BYTES,
        )
        server.add_sockets(
            netutil.bind_sockets(port, ip_text, backlog=BACKLOG),
        )
        self._servers.append(server)


def _skip_request_log(_handler):
    """Suppress tornado's line for each request; systems log decisions."""
