"""HTTP servers for readiness, metrics and the backend server's calls."""

import functools
import http
import json
from urllib import parse as urlparse

from tornado import httpserver
from tornado import httputil
from tornado import netutil

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.platform import announcements

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_WRONG_METHOD = 405
STATUS_UNAVAILABLE = 503
READY_PATH = '/ready'
RPC_PATH = '/rpc'
METRICS_PATH = '/metrics'
STATUS_PATH = '/status'
EXPLAIN_PATH = '/explain/'
JSON_TYPE = 'application/json'
MAX_BODY_BYTES = 65_536
BACKLOG = 256

_log = logs.logger('control')


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
        self._listen(settings.ready_address, {READY_PATH: self._ready})
        self._listen(
            settings.control_address, {RPC_PATH: self._call}, method='POST'
        )
        if settings.metrics_address:
            self._listen(
                settings.metrics_address,
                {
                    METRICS_PATH: self._metrics,
                    STATUS_PATH: self._status,
                    EXPLAIN_PATH: self._status,
                },
            )

    async def stop(self):
        """Close all connections."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def carry_out(self, message):
        """Respond to the call that an `AnnouncementAnswered` belongs to."""
        request = self._pending_calls.get(message.call_number)
        if request is None:
            return
        if message.is_accepted:
            _respond(request, STATUS_OK, JSON_TYPE, json.dumps({}).encode())
        else:
            _respond(request, STATUS_BAD_REQUEST)
        self._pending_calls.pop(message.call_number)

    def give_up(self, message):
        """Close the connection: the server announces itself once more."""
        request = self._pending_calls.pop(message.call_number, None)
        if request is not None:
            request.connection.detach().close()
        return ''

    def _ready(self, request):
        """`GET /ready`: whether callers on this host may send new requests."""
        is_ready = self._agent.is_ready
        _respond(request, STATUS_OK if is_ready else STATUS_UNAVAILABLE)

    def _metrics(self, request):
        """`GET /metrics`: counters and latencies in Prometheus's format."""
        from laburnumlatch.mesh import exposition

        body = exposition.as_text(self._agent, self._count_left_out)
        _respond(request, STATUS_OK, exposition.CONTENT_TYPE, body)

    def _status(self, request):
        """`GET /status` and `GET /explain/SERVICE/KEY`: the agent's view."""
        from laburnumlatch.operators import report
        from laburnumlatch.operators import state

        agent_state = state.from_agent(self._agent)
        status = STATUS_OK
        try:
            document = (
                report.status(agent_state)
                if request.path == STATUS_PATH
                else report.explain(agent_state, *_explained(request.path))
            )
        except errors.InvalidInputError as error:
            status = STATUS_BAD_REQUEST
            document = {'error': str(error)}
        _respond(request, status, JSON_TYPE, json.dumps(document).encode())

    def _call(self, request):
        """`POST /rpc`: an announcement or deregistration of the server.

        The response is sent when the systems have decided on the call.
        """
        call = _query_argument(request, 'call')
        server_id = _query_argument(request, 'of')
        try:
            build_message = announcements.decode(
                call, server_id, request.body, self._wall_clock.now()
            )
        except errors.InvalidInputError as error:
            _log.warning(
                'announcement-unreadable',
                call=call,
                server=server_id,
                detail=error,
            )
            _respond(request, STATUS_BAD_REQUEST)
            return
        self._last_number += 1
        self._pending_calls[self._last_number] = request
        self._post(build_message(self._last_number))

    def _listen(self, address, responders, method='GET'):
        ip_text, port = addresses.split_address(address)
        server = httpserver.HTTPServer(
            functools.partial(_dispatch, responders, method),
            max_body_size=MAX_BODY_BYTES,
        )
        server.add_sockets(
            netutil.bind_sockets(port, ip_text, backlog=BACKLOG),
        )
        self._servers.append(server)


def _dispatch(responders, method, request):
    """Pass a request to the function that responds to its path."""
    path = request.path
    is_explanation = path.startswith(EXPLAIN_PATH)
    responder = responders.get(EXPLAIN_PATH if is_explanation else path)
    if responder is None or (is_explanation and _explained(path) is None):
        _respond(request, STATUS_NOT_FOUND)
    elif request.method == method:
        responder(request)
    else:
        _respond(request, STATUS_WRONG_METHOD)


def _explained(path):
    """Return service and key in the path of an explanation, or None."""
    parts = path.removeprefix(EXPLAIN_PATH).split('/')
    if len(parts) == 2 and all(parts):
        return tuple(urlparse.unquote(part) for part in parts)
    return None


def _query_argument(request, name):
    """Return the last argument of that name as text, '' if there is none."""
    values = request.query_arguments.get(name, (b'',))
    return values[-1].decode('utf-8', 'replace').strip()


def _respond(request, status, content_type=None, body=b''):
    """Send a response; the connection is kept for further requests."""
    headers = httputil.HTTPHeaders({'Content-Length': str(len(body))})
    if content_type is not None:
        headers['Content-Type'] = content_type
    start_line = httputil.ResponseStartLine(
        '', status, http.HTTPStatus(status).phrase
    )
    request.connection.write_headers(start_line, headers, body)
    request.connection.finish()
