"""Front end towards backend servers and other agents, over HTTP."""

from laburnumlatch.core import curlclient
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.slots import headers
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import transfer

MAX_TRANSFERS = 1000
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
MAX_DIGITS = 9
MS_PER_S = 1000

_log = logs.logger('upstream')


class ForwardTransfer(transfer.Transfer):
    """A request on its way to the agent of the owner."""

    def __init__(self, client, call, message, post, host_id):
        """Name this host, `host_id`, as the one that forwards."""
        super().__init__(client, call, message, post)
        self._host_id = host_id

    def url(self):
        """Return the same path at the other agent."""
        return f'http://{self._message.address}{self._call.path}'

    def own_headers(self):
        """Return what the owner must know to decide about the request."""
        message = self._message
        yield headers.REQUEST_ID, message.request_id
        yield headers.REQUEST_ATTEMPT, message.attempt
        if message.epoch is not None:
            yield headers.REQUEST_EPOCH, message.epoch
        yield headers.DEADLINE_MS, message.time_left_ms
        yield headers.FORWARDED_FROM, self._host_id
        yield headers.FORWARD_EXCHANGE, message.exchange
        if message.is_repeat:
            yield headers.FORWARD_REPEAT, 'true'

    def began(self, answer_headers):
        """Read the outcome that the owner states; without one, unknown."""
        return requestmsg.AnswerBegan(
            self._message.number,
            self._message.exchange,
            _parsed(requestmsg.Outcome, answer_headers, headers.OUTCOME)
            or requestmsg.Outcome.UNKNOWN,
            _parsed(requestmsg.Reason, answer_headers, headers.OUTCOME_REASON),
            _number(answer_headers, headers.RETRY_AFTER_MS),
            _number(answer_headers, headers.REQUEST_EPOCH),
            answer_headers.get(headers.OWNER.lower(), ''),
            self._call.body.replayable,
        )


class SendTransfer(transfer.Transfer):
    """A request on its way to the local backend server."""

    def url(self):
        """Return the operation and key at the backend server."""
        message = self._message
        return f'http://{message.address}/{message.operation}/{message.key}'

    def own_headers(self):
        """Return the fence token and the time left."""
        message = self._message
        yield headers.REQUEST_ID, message.request_id
        yield headers.DEADLINE_MS, message.time_left_ms
        yield headers.SLOT, message.slot
        yield headers.FENCE_TOKEN, message.token

    def began(self, answer_headers):
        """Tell an answer from a refusal of the work or of the token."""
        outcome = requestmsg.Outcome.NOT_RUN
        reason = self._refusal(answer_headers)
        if reason is None:
            outcome = requestmsg.Outcome.ANSWERED
        retry_after_ms = 0
        if reason == requestmsg.Reason.SHED:
            retry_after_s = _number(answer_headers, headers.RETRY_AFTER)
            retry_after_ms = retry_after_s * MS_PER_S
        return requestmsg.AnswerBegan(
            self._message.number,
            self._message.exchange,
            outcome,
            reason,
            retry_after_ms,
            replayable=self._call.body.replayable,
        )

    def _refusal(self, fields):
        status = self.stream.status
        is_shed = headers.RETRY_AFTER.lower() in fields
        if status == STATUS_UNAVAILABLE and is_shed:
            return requestmsg.Reason.SHED
        is_fenced = fields.get(headers.FENCE_REFUSED.lower()) == 'true'
        if status == STATUS_CONFLICT and is_fenced:
            return requestmsg.Reason.NOT_OWNER
        return None


class Upstream(frontends.FrontEnd):
    """Runs transfers by request number; one at a time for each request."""

    # Cancellations come first: the next exchange of a call follows its last.
    kinds = (
        requestmsg.Cancel,
        requestmsg.Drain,
        requestmsg.Forward,
        requestmsg.Send,
    )

    def __init__(self, post, open_calls, host_id):
        """Take bodies from `open_calls`, the `calls.Calls` of this agent."""
        super().__init__(post)
        self._calls = open_calls
        self._host_id = host_id
        self._client = curlclient.StreamingCurlClient(
            force_instance=True,
            max_clients=MAX_TRANSFERS,
        )
        self._transfers = {}

    async def start(self):
        """Open nothing: connections are made when they are needed."""

    async def stop(self):
        """Close all connections."""
        self._client.close()

    def carry_out(self, message):
        """Start, cancel or drain one exchange."""
        if isinstance(message, (requestmsg.Cancel, requestmsg.Drain)):
            self._change(message)
            return
        call = self._calls.get(message.number)
        if call is None:
            return
        if not call.body.replayable:
            # No part of a body may be passed on as the whole.
            self._report(
                requestmsg.ExchangeBroke(
                    message.number,
                    message.exchange,
                    requestmsg.Phase.UNSENT,
                    'the body cannot be sent again',
                    replayable=False,
                )
            )
            return
        if call.was_sent:
            call.body.rewind()
        call.was_sent = True
        self._transfers[message.number] = self._begin(call, message)

    def _begin(self, call, message):
        if isinstance(message, requestmsg.Forward):
            started = ForwardTransfer(
                self._client,
                call,
                message,
                self._report,
                self._host_id,
            )
        else:
            started = SendTransfer(self._client, call, message, self._report)
        started.start()
        return started

    def _report(self, message):
        if isinstance(message, requestmsg.ExchangeBroke):
            _log.warning(
                'exchange-broke',
                exchange=message.exchange,
                call=message.number,
                phase=message.phase,
                detail=message.detail,
            )
        if not isinstance(message, requestmsg.AnswerBegan):
            self._transfers.pop(message.number, None)
        self._post(message)

    def _change(self, message):
        current = self._transfers.get(message.number)
        if current is None or current.stream.exchange != message.exchange:
            return
        if isinstance(message, requestmsg.Drain):
            current.drain()
        else:
            self._transfers.pop(message.number)
            current.cancel()


def _parsed(kind, fields, name):
    try:
        return kind(fields.get(name.lower()))
    except ValueError:
        return None


def _number(fields, name):
    text = fields.get(name.lower(), '')
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        return 0
    return int(text)
