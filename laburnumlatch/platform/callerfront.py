"""HTTP server for the callers on this host."""

import asyncio
import http
import itertools
import socket
import types

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import draining
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.platform import callerconnection
from laburnumlatch.platform import callerguard
from laburnumlatch.platform import responsebytes
from laburnumlatch.platform import wire

BACKLOG = 1024
# Connections that are accepted in one pass of the loop, before it is known
# whether there are too many.
ACCEPTED_AT_ONCE = 32
# What the kernel takes of a connection that is not read. It is enough for
# 64 Mbit/s over a round trip of 16 ms.
RECEIVE_BUFFER_BYTES = 131_072
# Time between two checks for callers who take too long.
CHECK_INTERVAL_S = 0.5
KEY_COUNT = 65_536
# Larger numbers in header fields count as this one, 30 years in ms. Python
# converts no more than 4,300 digits, and a float or a message between agents
# takes far fewer.
MAX_NUMBER = 1_000_000_000_000

_log = logs.logger('callers')

_STATUSES = types.MappingProxyType({
    messages.Verdict.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    messages.Verdict.NO_ROUTE: http.HTTPStatus.NOT_FOUND,
    messages.Verdict.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    messages.Verdict.UNKNOWN: http.HTTPStatus.BAD_GATEWAY,
    messages.Verdict.TIMED_OUT: http.HTTPStatus.GATEWAY_TIMEOUT,
})


class CallerFront(frontends.FrontEnd):
    """Receives complete requests and writes complete responses."""

    kinds = (messages.Deliver, messages.Refuse, configmsg.LimitsChanged)

    def __init__(self, post, settings, numbers, time_source, memory):
        """Create the server; `start` opens its socket.

        `settings` is a `mesh.settings.Settings`, `numbers` an iterator of
        the numbers given to requests, `memory` the `bodymemory.BodyMemory` of
        the process. There count requests from their head to their response,
        and responses until their last byte is written.
        """
        super().__init__(post)
        self._clock = time_source
        self._settings = settings
        self._numbers = numbers
        self._connection_numbers = itertools.count(1)
        self._open_exchanges = {}
        self._server = None
        self.memory = memory
        self.guard = callerguard.CallerGuard(
            settings, memory, time_source, post
        )
        self._limits = routes.Limits()
        self._check_timer = None
        self._is_stopping = False

    @property
    def limits(self):
        """The `routes.Limits` in force for requests of callers."""
        return self._limits

    @property
    def max_head_bytes(self):
        """The longest head of a request that is read."""
        return self._limits.header_bytes * 2

    @property
    def is_stopping(self):
        """Whether each connection reads only one more request."""
        return self._is_stopping

    @property
    def now(self):
        """The time in ms of the agent's clock."""
        return self._clock.now()

    async def start(self):
        """Listen; raise OSError if the address cannot be bound."""
        ip_text, port = addresses.split_address(self._settings.caller_address)
        loop = asyncio.get_running_loop()
        # asyncio sets TCP_NODELAY only on sockets that name their protocol.
        listener = socket.socket(proto=socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind((ip_text, port))
        self._server = await loop.create_server(
            self._create_connection, sock=listener, backlog=ACCEPTED_AT_ONCE
        )
        # The loop accepts as many at once as it was told to queue.
        listener.listen(BACKLOG)
        self._check_times()

    async def drain(self, ends_at):
        """Wait until callers have taken their responses.

        All requests that were read whole have ended. One that is being read is
        refused: it would be, too, when its body is whole.
        """
        for connection in self.guard.connections:
            connection.reader.refuse_unread()
        drain = draining.Drain(self._read_unsent, self._clock)
        await drain.wait(ends_at)

    async def stop(self):
        """Stop listening and close all connections.

        Responses that have not been taken are cut off.
        """
        self._server.close()
        self._check_timer.cancel()
        unsent = self._read_unsent()
        if self._open_exchanges or unsent:
            _log.error(
                'requests-cut-off',
                requests=len(self._open_exchanges),
                connections=len(unsent),
                unsent_bytes=sum(unsent.values()),
            )
        for connection in self.guard.connections:
            connection.close()

    def begin_stop(self):
        """Let each connection read no further request, and then close.

        It closes behind the response to the last request that it has read. One
        without requests reads the next one first, as that may be in transit.
        """
        self._is_stopping = True
        for connection in self.guard.connections:
            connection.reader.end_behind_open_requests()
            connection.output.hand_over_early()

    def carry_out(self, message):
        """Write a response or a refusal, or put new limits in force."""
        if isinstance(message, configmsg.LimitsChanged):
            self._limits = message.limits
            return
        exchange = self._open_exchanges.get(message.number)
        if exchange is None:
            return
        if isinstance(message, messages.Deliver):
            answer = message.answer
            response = responsebytes.Response(
                answer.status, answer.fields, answer.body
            )
        else:
            response = self.refusal(
                exchange,
                message.verdict,
                message.reason,
                message.retry_after_ms,
            )
        exchange.connection.respond(exchange, response)
        self._open_exchanges.pop(message.number)
        self.guard.relieve()

    def give_up(self, message):
        """Close the connection of a caller who cannot get the response."""
        if isinstance(message, configmsg.LimitsChanged):
            return ''
        exchange = self._open_exchanges.pop(message.number, None)
        if exchange is None:
            return ''
        exchange.connection.close()
        return exchange.head.get(wire.REQUEST_ID, '')

    def refusal(self, exchange, verdict, reason, retry_after_ms=0):
        """Return the response that reports why there is no other one."""
        request_id = exchange.head.get(wire.REQUEST_ID, '')
        fields = [(wire.REQUEST_ID, request_id)]
        if verdict == messages.Verdict.NOT_RUN:
            seconds = retry_after_ms / clock.MS_PER_S
            fields.append((wire.RETRY_AFTER, f'{seconds:.3f}'))
        return responsebytes.Response(
            _STATUSES[verdict], tuple(fields), f'{verdict}: {reason}\n'.encode()
        )

    def post_request(self, exchange, body, read_at):
        """Post a complete request, read at `read_at`, to the systems."""
        head = exchange.head
        exchange.number = next(self._numbers)
        self._open_exchanges[exchange.number] = exchange
        self._post(
            messages.RequestArrived(
                exchange.number,
                self._build_head(head),
                body,
                _parse_time_left_ms(head.get(wire.TIME_LEFT_MS)),
                read_at,
                exchange.connection.number,
            ),
        )

    def post_disconnect(self, number):
        """Post that the caller of an open request has left."""
        if self._open_exchanges.pop(number, None) is not None:
            self._post(messages.CallerLeft(number))

    def _build_head(self, head):
        return messages.Head(
            method=head.method,
            target=head.target,
            host=head.get('Host', ''),
            fields=wire.request_fields(head.fields),
            request_id=head.get(wire.REQUEST_ID, ''),
            key=_parse_key(head.get(wire.KEY)),
            caller_service=self._settings.service,
        )

    def _create_connection(self):
        return callerconnection.CallerConnection(
            self, next(self._connection_numbers)
        )

    def _read_unsent(self):
        """Return the bytes that callers are to take, by connection."""
        return {
            connection.number: connection.unsent_bytes
            for connection in self.guard.connections
            if connection.unsent_bytes is not None
        }

    def _check_times(self):
        """Close connections whose callers take too long; check again later.

        The next check comes also if this one raises.
        """
        self._check_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check_times
        )
        for connection in self.guard.connections:
            self._check_time(connection)
        self.guard.check()

    def _check_time(self, connection):
        """Check a connection; close it if that raises, and go on."""
        try:
            connection.check_time(self._limits)
        except Exception as error:
            connection.close()
            asyncio.get_running_loop().call_exception_handler({
                'message': f'check of connection {connection.number}',
                'exception': error,
            })


def _parse_key(text):
    """Return a key from its header field; None if missing or invalid."""
    number = _parse_number(text)
    return None if number is None or number >= KEY_COUNT else number


def _parse_time_left_ms(text):
    return _parse_number(text)


def _parse_number(text):
    """Return a number written in ASCII digits, None if `text` is not one.

    It is at most `MAX_NUMBER`.
    """
    if text is None or not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip('0') or '0'
    if len(digits) > len(str(MAX_NUMBER)):
        return MAX_NUMBER
    return min(int(digits), MAX_NUMBER)
