"""Front end to the local backend server: requests, grants and releases."""

import functools
import json

import attrs

from laburnumlatch.core import clock
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.platform import durations
from laburnumlatch.platform import fields as fields_module
from laburnumlatch.platform import loadheader
from laburnumlatch.platform import servercall
from laburnumlatch.platform import serverconnection
from laburnumlatch.platform import serverpool
from laburnumlatch.platform import wire

# The expiry system cancels a request at its deadline; this margin makes sure
# that it does so before the HTTP client times out.
TIMEOUT_MARGIN_MS = 1000
GRANT_PATH = '/grant'
RELEASE_PATH = '/release'
# The backend server responds to a release only once its running work has
# ended.
RELEASE_TIMEOUT_MS = 6000
# How long a kept connection may have rested before a safe request, which may
# be sent again if the server has closed it, and before any other one, whose
# outcome is then unknown.
SAFE_REST_MS = 60_000
ONCE_REST_MS = 100
WRONG_REQUEST_ID = serverconnection.WRONG_REQUEST_ID
MISSING_REQUEST_ID = 'a response without an ID may be of an earlier request'
UNREAD_BODIES = 'the server has not read the bodies before it'
STATUS_OK = 200
# Status codes of one class have the same hundreds.
STATUS_CLASS_SIZE = 100
STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
# Methods whose requests announce the length of an empty body.
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))

_log = logs.logger('backend')


class BackendClient(frontends.FrontEnd):
    """HTTP client of the one backend server on this host."""

    kinds = (
        messages.Send,
        messages.CancelSend,
        backendmsg.GiveGrant,
        backendmsg.TakeBack,
    )

    def __init__(self, post, memory):
        """Create the client; connections are opened on demand.

        `memory` is the `bodymemory.BodyMemory` of the process.
        """
        super().__init__(post)
        time_source = clock.MonotonicClock()
        self._pool = serverpool.ServerPool(memory, time_source)
        self._memory = memory
        self._loads = loadheader.LoadReader(time_source)
        self._calls = {}
        self._is_closed = False

    async def start(self):
        """Do nothing: connections are opened on demand."""

    async def stop(self):
        """Close all connections."""
        self._is_closed = True
        self._pool.close()

    def carry_out(self, message):
        """Send a request, a grant or a release, or cancel a request.

        After `stop` the message is dropped and logged: the process is about
        to end.
        """
        if self._is_closed:
            _log.warning('message-after-stop', kind=type(message).__name__)
            return
        if isinstance(message, messages.Send):
            self._send(message)
        elif isinstance(message, messages.CancelSend):
            key = (message.number, message.exchange)
            call = self._calls.pop(key, None)
            if call is not None:
                self._pool.cancel(call)
        elif isinstance(message, backendmsg.GiveGrant):
            self._grant(message)
        else:
            self._release(message)

    def give_up(self, message):
        """Report that the call may have reached the server."""
        if isinstance(message, backendmsg.GiveGrant):
            self._post(backendmsg.GrantAnswered(message.ticket, None))
            return ''
        if isinstance(message, backendmsg.TakeBack):
            self._post(backendmsg.TakenBack(message.ticket, is_answered=False))
            return ''
        call = self._calls.pop((message.number, message.exchange), None)
        if call is not None:
            self._pool.cancel(call)
        if isinstance(message, messages.CancelSend):
            return ''
        self._post(_broken(message, 'the request could not be sent'))
        return message.head.request_id

    def _send(self, message):
        if message.body and not self._has_room(len(message.body)):
            self._post(
                _failure(
                    message,
                    messages.Phase.UNSENT,
                    messages.Reason.NO_MEMORY,
                    UNREAD_BODIES,
                )
            )
            return
        call = servercall.ServerCall(
            message.address,
            message.head.method,
            _encode_head(message),
            message.body,
            message.time_left_ms + TIMEOUT_MARGIN_MS,
            functools.partial(self._finish_send, message),
            request_id=message.head.request_id,
            max_rest_ms=_max_rest_ms(message),
        )
        self._calls[message.number, message.exchange] = call
        self._pool.start(call)

    def _has_room(self, size):
        """Return whether a body fits beside those that are still unread."""
        unread_bytes = sum(call.unread_bytes for call in self._calls.values())
        return self._memory.fits_unread(unread_bytes, size)

    def _finish_send(self, message, outcome):
        self._calls.pop((message.number, message.exchange), None)
        event = _build_event(message, outcome)
        if isinstance(event, messages.ExchangeEnded):
            event = attrs.evolve(event, server_load=self._loads.read(outcome))
        self._post(event)

    def _grant(self, message):
        body = {
            'from': message.start,
            'to': message.end,
            'fence': message.fence,
            'hold_time': durations.render(message.hold_ms),
        }
        if message.handover:
            body['handover'] = message.handover
        call = _build_call(
            message,
            GRANT_PATH,
            body,
            backendmsg.GRANT_TIMEOUT_MS,
            self._finish_grant,
        )
        call.keeps_after_success = True
        if message.is_renewal:
            call.max_rest_ms = SAFE_REST_MS
            call.may_connect = message.may_connect
        self._pool.start(call)

    def _finish_grant(self, message, outcome):
        _log_failure(GRANT_PATH, outcome)
        is_accepted = None
        is_unsent = False
        if isinstance(outcome, servercall.ServerResponse):
            is_accepted = outcome.status == STATUS_OK
        else:
            is_unsent = not outcome.is_sent
        self._post(
            backendmsg.GrantAnswered(message.ticket, is_accepted, is_unsent)
        )

    def _release(self, message):
        body = {
            'from': message.start,
            'to': message.end,
            'fence': message.fence,
        }
        call = _build_call(
            message,
            RELEASE_PATH,
            body,
            RELEASE_TIMEOUT_MS,
            self._finish_release,
        )
        call.keeps_connection = False
        self._pool.start(call)

    def _finish_release(self, message, outcome):
        _log_failure(RELEASE_PATH, outcome)
        is_response = isinstance(outcome, servercall.ServerResponse)
        is_released = is_response and outcome.status == STATUS_OK
        handover = outcome.get(wire.HANDOVER, '') if is_released else ''
        self._post(backendmsg.TakenBack(message.ticket, is_released, handover))


def _build_call(message, path, body, timeout_ms, on_end):
    """Return the call of a grant or release.

    Their responses have no request ID, and a backend server may send an
    earlier response once more on a kept connection. So they share none with
    requests, and only a renewal goes to a kept one, behind accepted grants:
    there a late copy looks like the acceptance that it most likely gets.
    """
    encoded = json.dumps(body).encode()
    head = fields_module.encode_head(
        f'POST {path} HTTP/1.1',
        (
            ('Host', message.address),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(encoded))),
        ),
    )
    return servercall.ServerCall(
        message.address,
        'POST',
        head,
        encoded,
        timeout_ms,
        functools.partial(on_end, message),
        group=path,
    )


def _log_failure(path, outcome):
    if isinstance(outcome, servercall.CallFailure):
        _log.warning('backend-call-failed', call=path, detail=outcome.detail)


def _max_rest_ms(message):
    if message.fresh_connection:
        return 0
    return SAFE_REST_MS if message.is_safe else ONCE_REST_MS


def _encode_head(message):
    """Return the bytes of the head of a request for the backend server."""
    head = message.head
    pairs = [('Host', head.host), *head.fields]
    if head.request_id:
        pairs.append((wire.REQUEST_ID, head.request_id))
    if head.key is not None:
        pairs.append((wire.KEY, str(head.key)))
    pairs += [
        (wire.CALLER_SERVICE, head.caller_service),
        (wire.EXPECTED_SERVER, message.server_id),
        (wire.TIME_LEFT_MS, str(message.time_left_ms)),
    ]
    if message.body or head.method in _METHODS_WITH_BODY:
        pairs.append(('Content-Length', str(len(message.body))))
    return fields_module.encode_head(
        f'{head.method} {head.target} HTTP/1.1', pairs
    )


def _build_event(message, outcome):
    """Return the event that reports the outcome of a request."""
    if isinstance(outcome, servercall.CallFailure):
        phase = (
            messages.Phase.SENT if outcome.is_sent else messages.Phase.UNSENT
        )
        return attrs.evolve(
            _failure(message, phase, messages.Reason.BROKEN, outcome.detail),
            is_stale=outcome.is_stale,
        )
    if _may_be_of_earlier_request(outcome):
        return _broken(message, MISSING_REQUEST_ID)
    refusal = _refusal_reason(outcome)
    if refusal is not None:
        return _failure(
            message,
            messages.Phase.REFUSED,
            refusal,
            f'status {outcome.status}',
        )
    problem = _success_problem(outcome)
    if problem:
        return _broken(message, problem)
    return messages.ExchangeEnded(
        message.number,
        message.exchange,
        messages.Answer(
            outcome.status, wire.response_fields(outcome.fields), outcome.body
        ),
    )


def _refusal_reason(response):
    """Return why the server did not run the request; None if it may have."""
    if response.status == STATUS_MISDIRECTED:
        return messages.Reason.NOT_OWNER
    is_not_run = response.get(wire.NOT_RUN) is not None
    if is_not_run and response.status != STATUS_BAD_REQUEST:
        return messages.Reason.SHED
    return None


def _may_be_of_earlier_request(response):
    """Return whether a response may be of an earlier request.

    A backend server may send an earlier response once more on a kept
    connection, where only the request ID tells them apart.
    """
    return not response.is_first and response.get(wire.REQUEST_ID) is None


def _success_problem(response):
    """Return why a success response is not acceptable, '' if it is."""
    is_success = (
        response.status // STATUS_CLASS_SIZE * STATUS_CLASS_SIZE == STATUS_OK
    )
    proofs = (response.get(wire.SEAL), response.get(wire.REQUEST_ID))
    if is_success and None in proofs:
        return 'a success response without its seal or request ID'
    if is_success and response.get('Content-Encoding') is not None:
        return 'a success response with an encoded body'
    return ''


def _broken(message, detail):
    """Return a failure of a request that may have run."""
    return _failure(
        message, messages.Phase.SENT, messages.Reason.BROKEN, detail
    )


def _failure(message, phase, reason, detail):
    return messages.ExchangeFailed(
        number=message.number,
        exchange=message.exchange,
        phase=phase,
        reason=reason,
        detail=detail,
    )
