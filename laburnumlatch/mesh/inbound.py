"""Connection on which another agent sends requests to this one."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import wire
from laburnumlatch.mesh import bodyparts
from laburnumlatch.mesh import deflating
from laburnumlatch.mesh import framedelay
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges

# When a request may come again whose body had no room here.
NO_MEMORY_RETRY_AFTER_MS = 500

_log = logs.logger('peers')


@attrs.define(frozen=True)
class _AnnouncedRequest:
    """An `Ask` whose body is still to come, and how long it was delayed."""

    ask: peermsg.Ask
    received_at: int
    waited_ms: int


class InboundConnection(frames.FrameProtocol):
    """Connection on which another agent sends requests to this one.

    `open_requests` maps number and exchange at the sender to the number of
    the request in this agent.
    """

    def __init__(self, link):
        """Report events to `link`, a `PeerLink`."""
        super().__init__(link.memory)
        self.host_id = ''
        self.open_requests = {}
        self.delay = framedelay.FrameDelay()
        self._link = link
        self._handlers = {
            peermsg.Hello: self._handle_hello,
            peermsg.Ask: self._handle_request,
            peermsg.BodyPart: self._handle_part,
            peermsg.Cancel: self._handle_cancel,
            peermsg.Ping: self._handle_ping,
            peermsg.Plan: self._handle_plan,
            peermsg.PlanChange: self._handle_plan_change,
        }

    def message_received(self, message):
        """Handle a message by its class."""
        self._handlers[type(message)](message)

    def connection_made(self, transport):
        """Join the connections of the link; called by asyncio."""
        super().connection_made(transport)
        self._link.inbound_connections.add(self)

    def connection_lost(self, error):
        """Cancel the requests whose responses cannot be sent any more."""
        self._link.inbound_connections.discard(self)
        self.incoming.clear()
        self.outgoing.clear()
        numbers = tuple(self.open_requests.values())
        self.open_requests.clear()
        for number in numbers:
            self._link.received.cancel(number)

    def send_answer(self, key, reply):
        """Send the response of a `messages.ReplyAnswer`."""
        answered = peermsg.Answered(
            *key,
            reply.answer,
            reply.wait_ms,
            reply.work_ms,
            reply.held_ms,
            waits=reply.waits,
            cold_ms=reply.cold_ms,
        )
        body = reply.answer.body
        if self.peer_reads_parts and len(body) > bodyparts.PART_BYTES:
            answered = attrs.evolve(
                answered,
                answer=attrs.evolve(reply.answer, body=b''),
                body_bytes=len(body),
            )
            self.send_with_body(answered, key, body)
        else:
            self.send(answered, is_stored=deflating.is_worth_storing(body))

    def _handle_hello(self, message):
        self.host_id = message.host_id
        self.peer_reads_parts = message.reads_parts
        self.delay.excess_ms(message.created_at, self._link.now())
        # The other side sends no request until it knows that this one reads.
        self.send(self._link.hello())

    def _handle_request(self, message):
        """Accept a request that is whole, or expect its body."""
        received_at = self._link.now()
        waited_ms = self.delay.excess_ms(message.created_at, received_at)
        if message.body_bytes:
            self._expect_body(
                _AnnouncedRequest(message, received_at, waited_ms)
            )
        else:
            self._link.received.accept(self, message.forward, waited_ms)

    def _expect_body(self, announced):
        """Collect the body of a request, if there is room for it.

        Otherwise the request is refused, and the parts of it are ignored.
        """
        message = announced.ask
        key = (message.forward.number, message.forward.exchange)
        if self._link.memory.fits_request(message.body_bytes):
            self.incoming.begin(key, announced, message.body_bytes)
            return
        _log.notice(
            messages.Verdict.NOT_RUN,
            request=message.forward.head.request_id,
            reason=messages.Reason.NO_MEMORY,
            body_bytes=message.body_bytes,
            held_bytes=self._link.memory.held_bytes,
        )
        self.send(
            peermsg.Refused(
                *key,
                messages.Verdict.NOT_RUN,
                messages.Reason.NO_MEMORY,
                NO_MEMORY_RETRY_AFTER_MS,
                wait_ms=0,
            )
        )

    def _handle_part(self, message):
        whole = self.incoming.add(
            (message.number, message.exchange), message.part
        )
        if whole is None:
            return
        announced, body = whole
        took_ms = self._link.now() - announced.received_at
        self._link.received.accept(
            self,
            attrs.evolve(announced.ask.forward, body=body),
            announced.waited_ms + took_ms,
        )

    def _handle_cancel(self, message):
        key = (message.number, message.exchange)
        self.incoming.drop(key)
        self.outgoing.drop(key)
        number = self.open_requests.pop(key, None)
        if number is not None:
            self._link.received.cancel(number)

    def _handle_ping(self, _message):
        self.send(peermsg.Pong())

    def _handle_plan(self, message):
        plan = ranges.validate(wire.unpack(message.packed, ranges.Plan))
        self._link.post(planmsg.PlanTold(plan, message.row_version))

    def _handle_plan_change(self, message):
        change = wire.unpack(message.packed, planchanges.Change)
        self._link.post(planmsg.PlanChangeTold(change, message.row_version))
