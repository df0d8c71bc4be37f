"""Front end to the local backend server: requests, grants and releases."""

import asyncio
import json

import pycurl
from tornado import httpclient
from tornado import httputil

from laburnumlatch.core import clock
from laburnumlatch.core import curlclient
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import tasks
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.platform import checkingclient
from laburnumlatch.platform import durations
from laburnumlatch.platform import wire

CONNECT_TIMEOUT_MS = 500
# The expiry system cancels a request at its deadline; this margin makes sure
# that it does so before the HTTP client times out.
TIMEOUT_MARGIN_MS = 1000
GRANT_TIMEOUT_MS = 600
# The backend server responds to a release only once its running work has
# ended.
RELEASE_TIMEOUT_MS = 6000
MAX_CLIENTS = 96
# tornado's status code where there is no response.
STATUS_NO_RESPONSE = 599
WRONG_REQUEST_ID = 'the response has the ID of another request'
MISSING_REQUEST_ID = 'a refusal without an ID may be of an earlier request'
# Share of the process's memory for all responses that are being received;
# several endless ones may arrive at the same time.
MAX_RESPONSES_SHARE = 0.3
STATUS_OK = 200
# Status codes of one class have the same hundreds.
STATUS_CLASS_SIZE = 100
STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
# Header fields that libcurl adds unless they are set to an empty value.
_ADDED_BY_CLIENT = ('Accept', 'User-Agent', 'Content-Type')

_log = logs.logger('backend')


class BackendClient(frontends.FrontEnd):
    """HTTP client of the one backend server on this host."""

    kinds = (
        messages.Send,
        messages.CancelSend,
        backendmsg.GiveGrant,
        backendmsg.TakeBack,
    )

    def __init__(self, post, memory_bytes):
        """Create the client; connections are opened on demand.

        `memory_bytes` is the memory limit of the whole process.
        """
        super().__init__(post)
        self._client = checkingclient.CheckingClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_buffered_bytes=int(memory_bytes * MAX_RESPONSES_SHARE),
        )
        self._exchanges = {}
        self._tasks = tasks.Tasks()
        self._is_closed = False

    async def start(self):
        """Do nothing: connections are opened on demand."""

    async def stop(self):
        """Close all connections."""
        self._is_closed = True
        self._tasks.cancel()
        self._client.close()

    def carry_out(self, message):
        """Send a request, a grant or a release, or cancel a request.

        After `stop` the message is dropped and logged: the process is about
        to end.
        """
        if self._is_closed:
            _log.warning('message-after-stop', kind=type(message).__name__)
            return
        if isinstance(message, messages.Send):
            exchange = _Exchange(self._client, message, self._finish_exchange)
            self._exchanges[message.number, message.exchange] = exchange
            exchange.start()
        elif isinstance(message, messages.CancelSend):
            key = (message.number, message.exchange)
            exchange = self._exchanges.pop(key, None)
            if exchange is not None:
                exchange.cancel()
        elif isinstance(message, backendmsg.GiveGrant):
            no_response = backendmsg.GrantAnswered(message.ticket, None)
            self._start_call(self._grant(message), no_response)
        else:
            no_response = backendmsg.TakenBack(message.ticket, False, '')
            self._start_call(self._release(message), no_response)

    def _finish_exchange(self, event):
        self._exchanges.pop((event.number, event.exchange), None)
        self._post(event)

    def _start_call(self, call, no_response):
        """Run a call as a task; post `no_response` if the task fails."""
        self._tasks.start(call, lambda _error: self._post(no_response))

    async def _grant(self, message):
        body = {
            'from': message.start,
            'to': message.end,
            'fence': message.fence,
            'hold_time': durations.render(message.hold_ms),
        }
        if message.handover:
            body['handover'] = message.handover
        response = await self._call(
            message.address, '/grant', body, GRANT_TIMEOUT_MS
        )
        is_accepted = response.code == STATUS_OK
        if response.code == STATUS_NO_RESPONSE:
            is_accepted = None
        self._post(backendmsg.GrantAnswered(message.ticket, is_accepted))

    async def _release(self, message):
        body = {
            'from': message.start,
            'to': message.end,
            'fence': message.fence,
        }
        response = await self._call(
            message.address, '/release', body, RELEASE_TIMEOUT_MS
        )
        is_released = response.code == STATUS_OK
        handover = ''
        if is_released:
            handover = response.headers.get(wire.HANDOVER, '')
        self._post(backendmsg.TakenBack(message.ticket, is_released, handover))

    async def _call(self, address, path, body, timeout_ms):
        """Send a grant or release; return tornado's response."""
        request = httpclient.HTTPRequest(
            f'http://{address}{path}',
            method='POST',
            headers=httputil.HTTPHeaders({'Content-Type': 'application/json'}),
            body=json.dumps(body),
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S,
            request_timeout=timeout_ms / clock.MS_PER_S,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            prepare_curl_callback=_use_fresh_connection,
        )
        future = asyncio.get_running_loop().create_future()
        self._client.fetch_impl(request, future.set_result)
        response = await future
        if response.code == STATUS_NO_RESPONSE:
            _log.warning(
                'backend-call-failed', call=path, detail=response.error
            )
        return response


class _Exchange:
    """One request to the backend server and its response."""

    def __init__(self, client, message, on_end):
        self._client = client
        self._message = message
        self._on_end = on_end
        self._curl = None
        self._is_done = False
        self._header_error = ''

    def start(self):
        """Send the request."""
        message = self._message
        head = message.head
        timeout_ms = message.time_left_ms + TIMEOUT_MARGIN_MS
        request = httpclient.HTTPRequest(
            f'http://{message.address}{head.target}',
            method=head.method,
            headers=self._request_fields(),
            body=message.body or self._empty_body(),
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S,
            request_timeout=timeout_ms / clock.MS_PER_S,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            prepare_curl_callback=self._prepare,
            header_callback=self._check_request_id,
        )
        self._client.fetch_impl(request, self._finish)

    def cancel(self):
        """Abort the transfer and close its connection; report nothing."""
        if not self._is_done:
            self._is_done = True
            self._client.cancel(self._curl)

    def _empty_body(self):
        return b'' if self._message.head.method in {'POST', 'PUT'} else None

    def _request_fields(self):
        message = self._message
        head = message.head
        fields = httputil.HTTPHeaders()
        for name, text in head.fields:
            fields.add(name, text)
        for name in _ADDED_BY_CLIENT:
            if name not in fields:
                fields[name] = ''
        fields['Host'] = head.host
        if head.request_id:
            fields[wire.REQUEST_ID] = head.request_id
        if head.key is not None:
            fields[wire.KEY] = str(head.key)
        fields[wire.CALLER_SERVICE] = head.caller_service
        fields[wire.EXPECTED_SERVER] = message.server_id
        fields[wire.TIME_LEFT_MS] = str(message.time_left_ms)
        return fields

    def _prepare(self, curl):
        if self._is_done:
            raise httpclient.HTTPError(
                STATUS_NO_RESPONSE, 'canceled before it was sent'
            )
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        if self._message.fresh_connection:
            _use_fresh_connection(curl)
        else:
            _allow_connection_reuse(curl)

    def _check_request_id(self, fields):
        """Return False, to abort, if the ID is that of another request."""
        response_id = fields.get(wire.REQUEST_ID)
        if response_id not in {None, self._message.head.request_id}:
            self._header_error = WRONG_REQUEST_ID
        return not self._header_error

    def _finish(self, response):
        if self._is_done:
            return
        self._is_done = True
        self._on_end(self._build_event(response))

    def _build_event(self, response):
        if _has_failed(response):
            phase = messages.Phase.SENT
            if not self._curl or not self._curl.getinfo(pycurl.REQUEST_SIZE):
                phase = messages.Phase.UNSENT
            return self._failure(
                phase,
                messages.Reason.BROKEN,
                self._header_error or str(response.error),
            )
        fields = response.headers
        if self._may_refuse_earlier_request(response):
            return self._failure(
                messages.Phase.SENT, messages.Reason.BROKEN, MISSING_REQUEST_ID
            )
        if wire.NOT_RUN in fields and response.code != STATUS_BAD_REQUEST:
            reason = messages.Reason.SHED
            if response.code == STATUS_MISDIRECTED:
                reason = messages.Reason.NOT_OWNER
            return self._failure(
                messages.Phase.REFUSED, reason, f'status {response.code}'
            )
        if response.code == STATUS_MISDIRECTED:
            return self._failure(
                messages.Phase.REFUSED, messages.Reason.NOT_OWNER, 'status 421'
            )
        problem = self._success_problem(response)
        if problem:
            return self._failure(
                messages.Phase.SENT, messages.Reason.BROKEN, problem
            )
        return messages.ExchangeEnded(
            self._message.number,
            self._message.exchange,
            messages.Answer(
                response.code,
                wire.response_fields(fields.get_all()),
                response.body or b'',
            ),
        )

    def _may_refuse_earlier_request(self, response):
        """Return whether a refusal may be of an earlier request.

        A backend server may send an earlier response once more on a reused
        connection, where only the request ID tells them apart.
        """
        is_refusal = (
            wire.NOT_RUN in response.headers
            or response.code == STATUS_MISDIRECTED
        )
        is_new = self._curl.getinfo(pycurl.NUM_CONNECTS) > 0
        has_id = wire.REQUEST_ID in response.headers
        return is_refusal and not has_id and not is_new

    def _success_problem(self, response):
        """Return why a success response is not acceptable, '' if it is."""
        fields = response.headers
        is_success = (
            response.code // STATUS_CLASS_SIZE * STATUS_CLASS_SIZE == STATUS_OK
        )
        is_proven = wire.SEAL in fields and wire.REQUEST_ID in fields
        if is_success and not is_proven:
            return 'a success response without its seal or request ID'
        if is_success and 'Content-Encoding' in fields:
            return 'a success response with an encoded body'
        return ''

    def _failure(self, phase, reason, detail):
        return messages.ExchangeFailed(
            number=self._message.number,
            exchange=self._message.exchange,
            phase=phase,
            reason=reason,
            detail=detail,
        )


def _has_failed(response):
    """Return whether there is no complete response.

    tornado also sets an error of the base class, `HTTPClientError`, for a
    response with an error status. Errors of libcurl and of the preparation
    of a transfer have other classes.
    """
    return type(response.error) not in {type(None), httpclient.HTTPClientError}


def _use_fresh_connection(curl):
    """Make a transfer open a connection that is closed after its response.

    libcurl silently retries a request if a reused connection closes before
    the response, so requests that must not run twice get a new connection.
    Grants and releases need one as well: their responses have no request ID,
    and a backend server may send an earlier response once more on a reused
    connection.
    """
    curlclient.enable_keepalive(curl)
    # Curl handles are reused with their options, so both are always set.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _allow_connection_reuse(curl):
    """Let a transfer reuse an open connection and leave it open."""
    curlclient.enable_keepalive(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)
