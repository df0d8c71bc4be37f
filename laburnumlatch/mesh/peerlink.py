"""Front end to other agents, over persistent TCP connections.

Each agent sends its requests on connections that it opens, and responds on
those that the other agents open.
"""

import asyncio

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import tasks
from laburnumlatch.core import wire
from laburnumlatch.mesh import framedelay
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import outbound
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges

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

    def __init__(self, post, address, host_id, numbers, time_source):
        """Set up a link that will listen at `address`.

        `numbers` yields the numbers of requests of this agent, and
        `time_source` is a `clock.Clock`.
        """
        super().__init__(post)
        self.tasks = tasks.Tasks()
        self._address = address
        self._clock = time_source
        self._numbers = numbers
        self._host_id = host_id
        self._server = None
        # Outbound connections by host.
        self._connections = {}
        # By the number of a received request in this agent: its connection,
        # and its number and exchange at the sender.
        self._received_requests = {}
        # The newest frame of each service and class of frame.
        self._plan_frames = {}
        self._check_timer = None
        self._handlers = {
            messages.SendForward: self._send_request,
            messages.CancelForward: self._send_cancel,
            messages.ReplyAnswer: self._send_response,
            messages.ReplyRefusal: self._send_response,
            planmsg.SendPlan: self._send_plan,
            planmsg.SendPlanChange: self._send_change,
        }

    async def start(self):
        """Listen; raise OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        ip_text, port = addresses.split_address(self._address)
        self._server = await loop.create_server(
            lambda: _InboundConnection(self),
            ip_text,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self._schedule_check()

    async def stop(self):
        """Stop listening and close all outbound connections."""
        self._check_timer.cancel()
        self._server.close()
        for connection in tuple(self._connections.values()):
            connection.close()

    def carry_out(self, message):
        """Send a request, a cancellation, a response or a plan."""
        self._handlers[type(message)](message)

    def now(self):
        """Return the current time in ms of the agent's clock."""
        return self._clock.now()

    def post(self, message):
        """Pass a message to the systems."""
        self._post(message)

    def hello(self):
        """Return a new greeting, the first frame on a connection."""
        return peermsg.Hello(self._host_id, self.now())

    def accept_request(self, inbound, message):
        """Pass on a request of another agent, a `peermsg.Ask`."""
        number = next(self._numbers)
        forward = message.forward
        self._received_requests[number] = (
            inbound,
            forward.number,
            forward.exchange,
        )
        inbound.open_requests[forward.number, forward.exchange] = number
        received_at = self.now()
        waited_ms = inbound.delay.excess_ms(message.created_at, received_at)
        self._post(
            messages.ForwardArrived(
                number, inbound.host_id, forward, received_at, waited_ms
            )
        )

    def cancel_request(self, number):
        """Cancel a received request whose response is no longer needed."""
        if self._received_requests.pop(number, None) is not None:
            self._post(messages.ForwardCanceled(number))

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

    def _send_plan(self, message):
        self._send_packed(message, message.plan, peermsg.Plan)

    def _send_change(self, message):
        self._send_packed(message, message.change, peermsg.PlanChange)

    def _send_packed(self, message, content, kind):
        """Send a plan or a change; its frame is packed once for all hosts."""
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
        inbound, number, exchange = self._received_requests.pop(
            message.number, (None, 0, 0)
        )
        if inbound is None or inbound.transport.is_closing():
            _log.info('reply-dropped', number=message.number)
            return
        inbound.open_requests.pop((number, exchange), None)
        if isinstance(message, messages.ReplyAnswer):
            inbound.send(
                peermsg.Answered(
                    number,
                    exchange,
                    message.answer,
                    message.wait_ms,
                    message.work_ms,
                    message.held_ms,
                )
            )
            return
        inbound.send(
            peermsg.Refused(
                number,
                exchange,
                message.verdict,
                message.reason,
                message.retry_after_ms,
                message.wait_ms,
            )
        )

    def _schedule_check(self):
        self._check_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_MS / clock.MS_PER_S, self._check
        )

    def _check(self):
        for connection in tuple(self._connections.values()):
            connection.check_silence()
        self._schedule_check()


class _InboundConnection(frames.FrameProtocol):
    """Connection on which another agent sends requests to this one.

    `open_requests` maps number and exchange at the sender to the number of
    the request in this agent.
    """

    def __init__(self, link):
        super().__init__()
        self.host_id = ''
        self.open_requests = {}
        self.delay = framedelay.FrameDelay()
        self._link = link
        self._handlers = {
            peermsg.Hello: self._handle_hello,
            peermsg.Ask: self._handle_request,
            peermsg.Cancel: self._handle_cancel,
            peermsg.Ping: self._handle_ping,
            peermsg.Plan: self._handle_plan,
            peermsg.PlanChange: self._handle_plan_change,
        }

    def message_received(self, message):
        """Handle a message by its class."""
        self._handlers[type(message)](message)

    def connection_lost(self, error):
        """Cancel the requests whose responses cannot be sent any more."""
        numbers = tuple(self.open_requests.values())
        self.open_requests.clear()
        for number in numbers:
            self._link.cancel_request(number)

    def _handle_hello(self, message):
        self.host_id = message.host_id
        self.delay.excess_ms(message.created_at, self._link.now())
        # The other side sends no request until it knows that this one reads.
        self.send(self._link.hello())

    def _handle_request(self, message):
        self._link.accept_request(self, message)

    def _handle_cancel(self, message):
        number = self.open_requests.pop(
            (message.number, message.exchange), None
        )
        if number is not None:
            self._link.cancel_request(number)

    def _handle_ping(self, _message):
        self.send(peermsg.Pong())

    def _handle_plan(self, message):
        plan = ranges.validate(wire.unpack(message.packed, ranges.Plan))
        self._link.post(planmsg.PlanTold(plan, message.row_version))

    def _handle_plan_change(self, message):
        change = wire.unpack(message.packed, planchanges.Change)
        self._link.post(planmsg.PlanChangeTold(change, message.row_version))
