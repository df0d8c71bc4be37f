"""Front end to other agents, over persistent TCP connections.

Each agent sends its requests on connections that it opens, and responds on
those that the other agents open.
"""

import asyncio

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import draining
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import tasks
from laburnumlatch.core import wire
from laburnumlatch.mesh import inbound
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outbound
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import receivedrequests

CHECK_INTERVAL_MS = 100
LISTEN_BACKLOG = 512

_log = logs.logger('peers')


class PeerLink(frontends.FrontEnd):
    """Sends requests, plans and responses to other agents."""

    kinds = (
        messages.SendForward,
        messages.CancelForward,
        messages.ReplyAnswer,
        messages.ReplyRefusal,
        planmsg.SendPlan,
        planmsg.SendPlanChange,
    )

    def __init__(self, post, address, host_id, numbers, time_source, memory):
        """Set up a link that will listen at `address`.

        `numbers` yields the numbers of requests of this agent, `time_source`
        is a `clock.Clock`, and `memory` the `bodymemory.BodyMemory` of the
        process.
        """
        super().__init__(post)
        self.memory = memory
        self.tasks = tasks.Tasks()
        self._address = address
        self._clock = time_source
        self.received = receivedrequests.ReceivedRequests(
            post, numbers, time_source, memory
        )
        self._host_id = host_id
        self._server = None
        # Outbound connections by host.
        self._connections = {}
        self.inbound_connections = set()
        # The newest frame of each service and class of frame.
        self._plan_frames = {}
        self._check_timer = None
        self._handlers = {
            messages.SendForward: self._send_request,
            messages.CancelForward: self._send_cancel,
            messages.ReplyAnswer: self._send_response,
            messages.ReplyRefusal: self._send_response,
            planmsg.SendPlan: self._send_packed,
            planmsg.SendPlanChange: self._send_packed,
        }

    async def start(self):
        """Listen; raise OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        ip_text, port = addresses.split_address(self._address)
        self._server = await loop.create_server(
            lambda: inbound.InboundConnection(self),
            ip_text,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self._schedule_check()

    async def drain(self, ends_at):
        """Wait until other agents have taken the responses to them."""
        drain = draining.Drain(self._read_unsent, self._clock)
        await drain.wait(ends_at)

    async def stop(self):
        """Stop listening and close all outbound connections."""
        self._check_timer.cancel()
        self._server.close()
        for connection in tuple(self._connections.values()):
            connection.close()

    def carry_out(self, message):
        """Send a request, a cancellation, a response or a plan."""
        self._handlers[type(message)](message)

    def give_up(self, message):
        """End the request of a message that could not be sent.

        One that was to be sent may have been; a response that was is broken
        off with its connection.
        """
        if isinstance(message, messages.SendForward):
            forward = message.forward
            self._post(
                messages.ExchangeFailed(
                    forward.number,
                    forward.exchange,
                    messages.Phase.SENT,
                    messages.Reason.BROKEN,
                    detail='the request could not be sent',
                )
            )
            return forward.head.request_id
        if isinstance(message, (messages.ReplyAnswer, messages.ReplyRefusal)):
            received = self.received.take(message.number)
            if received is not None:
                # Its frames are one deflate stream, which may have a gap now.
                received.connection.transport.abort()
        return ''

    def report_failure(self, error):
        """Tell other agents which requests may have ended this process.

        `error` is an `errors.SystemFailedError`. The other requests end with
        their connections, and may be retried.
        """
        for number in self.received.numbers():
            if error.is_suspect(number):
                self._send_response(
                    messages.ReplyRefusal(
                        number,
                        messages.Verdict.UNKNOWN,
                        messages.Reason.AGENT_FAILED,
                        retry_after_ms=0,
                        wait_ms=0,
                    )
                )

    def now(self):
        """Return the current time in ms of the agent's clock."""
        return self._clock.now()

    def post(self, message):
        """Pass a message to the systems."""
        self._post(message)

    def hello(self):
        """Return a new greeting, the first frame on a connection."""
        return peermsg.Hello(self._host_id, self.now(), reads_parts=True)

    def remove_connection(self, host_id, connection):
        """Remove an outbound connection that has ended."""
        if self._connections.get(host_id) is connection:
            self._connections.pop(host_id)

    def _send_request(self, message):
        connection = self._connection_to(message.host_id, message.address)
        connection.send_request(message.forward)

    def _send_cancel(self, message):
        connection = self._connections.get(message.host_id)
        if connection is not None:
            connection.cancel_request(message.number, message.exchange)

    def _send_packed(self, message):
        """Send a plan or a change; its frame is packed once for all hosts."""
        if isinstance(message, planmsg.SendPlan):
            kind, content = peermsg.Plan, message.plan
        else:
            kind, content = peermsg.PlanChange, message.change
        key = (content.service, kind)
        frame = self._plan_frames.get(key)
        if frame is None or frame.row_version != message.row_version:
            frame = kind(wire.pack_compressed(content), message.row_version)
            self._plan_frames[key] = frame
        connection = self._connection_to(message.host_id, message.address)
        connection.send_latest(key, frame)

    def _connection_to(self, host_id, address):
        """Return the connection to a host; replace an unusable one."""
        current = self._connections.get(host_id)
        if current is not None and current.is_usable(address):
            return current
        if current is not None:
            current.close()
        connection = outbound.OutboundConnection(self, host_id, address)
        self._connections[host_id] = connection
        connection.connect()
        return connection

    def _send_response(self, message):
        received = self.received.find(message.number)
        if received is None or received.connection.transport.is_closing():
            self.received.take(message.number)
            _log.info('reply-dropped', number=message.number)
            return
        key = (received.number, received.exchange)
        if isinstance(message, messages.ReplyAnswer):
            received.connection.send_answer(key, message)
        else:
            received.connection.send(
                peermsg.Refused(
                    *key,
                    message.verdict,
                    message.reason,
                    message.retry_after_ms,
                    message.wait_ms,
                    message.waits,
                    cold_ms=message.cold_ms,
                )
            )
        received.connection.open_requests.pop(key, None)
        self.received.take(message.number)

    def _read_unsent(self):
        """Return the bytes of responses that have not left, by connection."""
        return {
            connection: connection.unsent_bytes
            for connection in self.inbound_connections
            if connection.unsent_bytes
        }

    def _schedule_check(self):
        self._check_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_MS / clock.MS_PER_S, self._check
        )

    def _check(self):
        self._schedule_check()
        for connection in tuple(self._connections.values()):
            connection.check_silence()
