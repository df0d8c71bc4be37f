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
# The expiry system cancels an exchange before this.
TIMEOUT_MARGIN_MS = 1000
GRANT_TIMEOUT_MS = 600
# A release is answered when running work has ended.
RELEASE_TIMEOUT_MS = 6000
MAX_CLIENTS = 96
FAILED = 599
OTHER_REQUEST = 'the answer belongs to another request'
NO_ID = 'the refusal may belong to an earlier request'
# All answers that are being taken in, as a part of the process's memory:
# several may come without end at a time.
ANSWERS_RATE = 0.3
STATUS_OK = 200
# Statuses of one kind share their hundreds.
SUCCESS_UNIT = 100
STATUS_NOT_ASKED = 400
STATUS_MISDIRECTED = 421
# Fields that libcurl adds by itself unless they are set to nothing.
_ADDED_BY_CLIENT = ('Accept', 'User-Agent', 'Content-Type')

_log = logs.logger('backend')


class BackendClient(frontends.FrontEnd):
    """Talks to the one backend server beside this agent."""

    kinds = (
        messages.Send,
        messages.CancelSend,
        backendmsg.GiveGrant,
        backendmsg.TakeBack,
    )

    def __init__(self, post, memory_bytes):
        """Open nothing until there is something to send.

        `memory_bytes` is what this process may use in all.
        """
        super().__init__(post)
        self._client = checkingclient.CheckingClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            most_bytes=int(memory_bytes * ANSWERS_RATE),
        )
        self._exchanges = {}
        self._tasks = tasks.Tasks()
        self._is_closed = False

    async def start(self):
        """Open nothing: connections are made when they are needed."""

    async def stop(self):
        """Close all connections."""
        self._is_closed = True
        self._tasks.cancel()
        self._client.close()

    def carry_out(self, message):
        """Send a request, a grant or a release, or stop a request.

        Once stopped, nothing is sent any more: the process ends.
        """
        if self._is_closed:
            _log.warning('message-after-stop', kind=type(message).__name__)
            return
        if isinstance(message, messages.Send):
            exchange = _Exchange(self._client, message, self._ended)
            self._exchanges[message.number, message.exchange] = exchange
            exchange.start()
        elif isinstance(message, messages.CancelSend):
            key = (message.number, message.exchange)
            exchange = self._exchanges.pop(key, None)
            if exchange is not None:
                exchange.cancel()
        elif isinstance(message, backendmsg.GiveGrant):
            unknown = backendmsg.GrantAnswered(message.ticket, None)
            self._run(self._grant(message), unknown)
        else:
            unknown = backendmsg.TakenBack(message.ticket, False, '')
            self._run(self._release(message), unknown)

    def _ended(self, event):
        self._exchanges.pop((event.number, event.exchange), None)
        self._post(event)

    def _run(self, work, unknown):
        """Make a call; report `unknown` if it ends without an answer."""
        self._tasks.start(work, lambda _error: self._post(unknown))

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
        if response.code == FAILED:
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
        is_answered = response.code == STATUS_OK
        handover = ''
        if is_answered:
            handover = response.headers.get(wire.HANDOVER, '')
        self._post(backendmsg.TakenBack(message.ticket, is_answered, handover))

    async def _call(self, address, path, body, timeout_ms):
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
            prepare_curl_callback=_use_own_connection,
        )
        done = asyncio.get_running_loop().create_future()
        self._client.fetch_impl(request, done.set_result)
        response = await done
        if response.code == FAILED:
            _log.warning(
                'backend-call-failed', call=path, detail=response.error
            )
        return response


class _Exchange:
    """One request to the backend server."""

    def __init__(self, client, message, ended):
        self._client = client
        self._message = message
        self._post_end = ended
        self._curl = None
        self._is_done = False
        self._problem_found = ''

    def start(self):
        """Begin to send."""
        message = self._message
        head = message.head
        timeout_ms = message.time_left_ms + TIMEOUT_MARGIN_MS
        request = httpclient.HTTPRequest(
            f'http://{message.address}{head.target}',
            method=head.method,
            headers=self._fields(),
            body=message.body or self._empty_body(),
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S,
            request_timeout=timeout_ms / clock.MS_PER_S,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            prepare_curl_callback=self._prepare,
            header_callback=self._is_own,
        )
        self._client.fetch_impl(request, self._finished)

    def cancel(self):
        """Stop without a report and close the connection."""
        if not self._is_done:
            self._is_done = True
            self._client.cancel(self._curl)

    def _empty_body(self):
        return b'' if self._message.head.method in {'POST', 'PUT'} else None

    def _fields(self):
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
            raise httpclient.HTTPError(FAILED, 'canceled before its start')
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        if self._message.fresh_connection:
            _use_own_connection(curl)
        else:
            _use_kept_connection(curl)

    def _is_own(self, fields):
        """Tell whether the fields of an answer are those of this request."""
        told_id = fields.get(wire.REQUEST_ID)
        if told_id not in {None, self._message.head.request_id}:
            self._problem_found = OTHER_REQUEST
        return not self._problem_found

    def _finished(self, response):
        if self._is_done:
            return
        self._is_done = True
        self._post_end(self._event(response))

    def _event(self, response):
        if _has_failed(response):
            phase = messages.Phase.SENT
            if not self._curl or not self._curl.getinfo(pycurl.REQUEST_SIZE):
                phase = messages.Phase.UNSENT
            return self._failure(
                phase,
                messages.Reason.BROKEN,
                self._problem_found or str(response.error),
            )
        fields = response.headers
        if self._may_be_earlier(response):
            return self._failure(
                messages.Phase.SENT, messages.Reason.BROKEN, NO_ID
            )
        if wire.NOT_RUN in fields and response.code != STATUS_NOT_ASKED:
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
        problem = self._problem(response)
        if problem:
            return self._failure(
                messages.Phase.SENT, messages.Reason.BROKEN, problem
            )
        return messages.ExchangeEnded(
            self._message.number,
            self._message.exchange,
            messages.Answer(
                response.code,
                wire.answer_fields(fields.get_all()),
                response.body or b'',
            ),
        )

    def _may_be_earlier(self, response):
        """Tell whether a refusal may be that of an earlier request, repeated.

        On a connection that was used before only its ID tells them apart.
        """
        is_refusal = (
            wire.NOT_RUN in response.headers
            or response.code == STATUS_MISDIRECTED
        )
        is_new = self._curl.getinfo(pycurl.NUM_CONNECTS) > 0
        has_id = wire.REQUEST_ID in response.headers
        return is_refusal and not has_id and not is_new

    def _problem(self, response):
        """Return why the answer cannot be this request's, or nothing."""
        fields = response.headers
        is_success = response.code // SUCCESS_UNIT * SUCCESS_UNIT == STATUS_OK
        is_proven = wire.SEAL in fields and wire.REQUEST_ID in fields
        if is_success and not is_proven:
            return 'a success without its proof'
        if is_success and 'Content-Encoding' in fields:
            return 'an encoded body'
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
    # A status that is no success also comes as an error, of the base class;
    # libcurl's failures and those of the set-up are of other classes.
    return type(response.error) not in {type(None), httpclient.HTTPClientError}


def _use_own_connection(curl):
    """Let a transfer have a connection of its own, closed after its answer.

    libcurl by itself repeats a request on a reused connection that closes
    before the answer, so work that must not repeat gets a new one. Answers to
    grants and releases bear no ID, and an earlier answer may come once more
    on a connection that was used before.
    """
    curlclient.watch_connection(curl)
    # Handles are used again with their options, so both are always set.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _use_kept_connection(curl):
    """Let a transfer use a connection that earlier ones left open."""
    curlclient.watch_connection(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)
