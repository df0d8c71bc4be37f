"""Front end to other agents: requests and answers over kept connections."""

import asyncio

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import wire
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import transit

CONNECT_TIMEOUT_MS = 500
# A connection on which answers are due is asked for a sign after the first
# time without a byte, and given up after the second.
PING_MS = 250
SILENT_MS = 800
CHECK_MS = 100
BACKLOG = 512

_log = logs.logger('peers')


class PeerLink(frontends.FrontEnd):
    """Asks other agents and answers them."""

    kinds = (
        messages.SendForward,
        messages.CancelForward,
        messages.ReplyAnswer,
        messages.ReplyRefusal,
        messages.SendPlan,
    )

    def __init__(self, post, address, host_id, numbers, time_source):
        """Listen at `address`; `numbers` counts the requests of the agent."""
        super().__init__(post)
        self._address = address
        self._clock = time_source
        self._numbers = numbers
        self._host_id = host_id
        self._server = None
        self._dialed = {}
        self._asked = {}
        self._told_plans = {}
        self._checks = None

    async def start(self):
        """Listen; raise OSError if the address cannot be had."""
        loop = asyncio.get_running_loop()
        ip_text, port = addresses.split_address(self._address)
        self._server = await loop.create_server(
            lambda: _Inbound(self),
            ip_text,
            port,
            backlog=BACKLOG,
        )
        self._check_later()

    async def stop(self):
        """Close all connections."""
        self._checks.cancel()
        self._server.close()
        for outbound in tuple(self._dialed.values()):
            outbound.close()

    def carry_out(self, message):
        """Send a request, a cancellation or a reply."""
        if isinstance(message, messages.SendForward):
            outbound = self._outbound(message.host_id, message.address)
            outbound.ask(message.forward)
        elif isinstance(message, messages.SendPlan):
            outbound = self._outbound(message.host_id, message.address)
            outbound.tell(self._plan_frame(message))
        elif isinstance(message, messages.CancelForward):
            outbound = self._dialed.get(message.host_id)
            if outbound is not None:
                outbound.cancel(message.number, message.exchange)
        else:
            self._reply(message)

    def now(self):
        """Return the time in ms."""
        return self._clock.now()

    def post(self, message):
        """Hand a message to the systems."""
        self._post(message)

    def hello(self):
        """Return the first frame of a connection."""
        return peermsg.Hello(self._host_id, self.now())

    def asked(self, inbound, message):
        """Take in a request of another agent, a `peermsg.Ask`."""
        number = next(self._numbers)
        forward = message.forward
        self._asked[number] = (inbound, forward.number, forward.exchange)
        inbound.open[forward.number, forward.exchange] = number
        read = self.now()
        waited_ms = inbound.transit.waited_ms(message.made, read)
        self._post(
            messages.ForwardArrived(
                number, inbound.host_id, forward, read, waited_ms
            )
        )

    def canceled(self, number):
        """Forget a request that nobody waits for."""
        if self._asked.pop(number, None) is not None:
            self._post(messages.ForwardCanceled(number))

    def lost(self, host_id, outbound):
        """Forget a connection that has ended."""
        if self._dialed.get(host_id) is outbound:
            self._dialed.pop(host_id)

    def _plan_frame(self, message):
        """Return the frame of a plan, made once for all hosts."""
        told = self._told_plans.get(message.plan.service)
        if told is None or told.row_version != message.row_version:
            packed = wire.pack_compressed(message.plan)
            told = peermsg.Plan(packed, message.row_version)
            self._told_plans[message.plan.service] = told
        return told

    def _outbound(self, host_id, address):
        outbound = self._dialed.get(host_id)
        if outbound is None or outbound.address != address:
            outbound = _Outbound(self, host_id, address)
            self._dialed[host_id] = outbound
            outbound.dial()
        return outbound

    def _reply(self, message):
        inbound, number, exchange = self._asked.pop(
            message.number, (None, 0, 0)
        )
        if inbound is None or inbound.transport.is_closing():
            _log.info('reply-dropped', number=message.number)
            return
        inbound.open.pop((number, exchange), None)
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

    def _check_later(self):
        self._checks = asyncio.get_running_loop().call_later(
            CHECK_MS / clock.MS_PER_S, self._check
        )

    def _check(self):
        for outbound in tuple(self._dialed.values()):
            outbound.check()
        self._check_later()


class _Outbound(frames.FrameProtocol):
    """A connection on which this agent asks another one."""

    def __init__(self, link, host_id, address):
        super().__init__()
        self.address = address
        self._link = link
        self._host_id = host_id
        self._waiting = []
        self._untold = []
        self._open = {}
        self._heard = 0
        self._pinged = 0
        self._dialing = None

    def dial(self):
        """Begin to connect."""
        self._dialing = asyncio.ensure_future(self._connect())

    def close(self):
        """Close without waiting for answers."""
        if self._dialing is not None:
            self._dialing.cancel()
        if self.transport is not None:
            self.transport.abort()

    def ask(self, forward):
        """Send a request now, or when the connection is there."""
        if self.transport is None:
            self._waiting.append(forward)
            return
        if not self._open:
            self._heard = self._link.now()
        self._open[forward.number, forward.exchange] = forward
        self.send(peermsg.Ask(forward, self._link.now()))

    def tell(self, frame):
        """Send a frame that has no answer now, or when connected."""
        if self.transport is None:
            self._untold.append(frame)
        else:
            self.send(frame)

    def cancel(self, number, exchange):
        """Say that nobody waits for this answer."""
        self._waiting = [
            forward
            for forward in self._waiting
            if (forward.number, forward.exchange) != (number, exchange)
        ]
        if self._open.pop((number, exchange), None) is not None:
            self.send(peermsg.Cancel(number, exchange))

    def check(self):
        """Ping a silent connection, and give up one that stays silent."""
        if self.transport is None or not self._open:
            return
        silent_ms = self._link.now() - max(self._heard, 0)
        if silent_ms >= SILENT_MS:
            _log.warning('peer-silent', host=self._host_id)
            self.transport.abort()
        elif silent_ms >= PING_MS and self._pinged < self._heard + PING_MS:
            self._pinged = self._link.now()
            self.send(peermsg.Ping())

    def connection_made(self, transport):
        """Send what has waited for the connection."""
        super().connection_made(transport)
        self._heard = self._link.now()
        self.send(self._link.hello())
        for frame in self._untold:
            self.send(frame)
        self._untold.clear()
        waiting = self._waiting
        self._waiting = []
        for forward in waiting:
            self.ask(forward)

    def connection_lost(self, error):
        """Report the requests whose answers will not come."""
        self._link.lost(self._host_id, self)
        failed = self._open
        self._open = {}
        for forward in failed.values():
            self._fail(forward, messages.Phase.SENT, str(error))

    def data_received(self, chunk):
        """Note that the connection is alive."""
        self._heard = self._link.now()
        super().data_received(chunk)

    def received(self, message):
        """Report an answer or a refusal."""
        if isinstance(message, (peermsg.Answered, peermsg.Refused)):
            key = (message.number, message.exchange)
            if self._open.pop(key, None) is not None:
                self._link.post(_event_of(message))

    async def _connect(self):
        ip_text, port = addresses.split_address(self.address)
        connecting = asyncio.get_running_loop().create_connection(
            lambda: self, ip_text, port
        )
        try:
            await asyncio.wait_for(
                connecting, CONNECT_TIMEOUT_MS / clock.MS_PER_S
            )
        except (OSError, TimeoutError) as error:
            _log.warning(
                'peer-unreachable', host=self._host_id, detail=repr(error)
            )
            self._link.lost(self._host_id, self)
            # Frames without an answer are repeated by who sends them.
            self._untold.clear()
            waiting = self._waiting
            self._waiting = []
            for forward in waiting:
                self._fail(forward, messages.Phase.UNSENT, repr(error))

    def _fail(self, forward, phase, detail):
        self._link.post(
            messages.ExchangeFailed(
                number=forward.number,
                exchange=forward.exchange,
                phase=phase,
                reason=messages.Reason.UNREACHABLE,
                detail=detail,
            )
        )


class _Inbound(frames.FrameProtocol):
    """A connection on which another agent asks this one."""

    def __init__(self, link):
        super().__init__()
        self.host_id = ''
        self.open = {}
        self.transit = transit.Transit()
        self._link = link
        self._takers = {
            peermsg.Hello: self._hello,
            peermsg.Ask: self._ask,
            peermsg.Cancel: self._cancel,
            peermsg.Ping: self._ping,
            peermsg.Plan: self._plan,
        }

    def received(self, message):
        """Take in a request, a cancellation, a ping or a plan."""
        self._takers[type(message)](message)

    def connection_lost(self, error):
        """Cancel the requests whose answers cannot be passed back."""
        numbers = tuple(self.open.values())
        self.open.clear()
        for number in numbers:
            self._link.canceled(number)

    def _hello(self, message):
        self.host_id = message.host_id
        self.transit.waited_ms(message.made, self._link.now())

    def _ask(self, message):
        self._link.asked(self, message)

    def _cancel(self, message):
        number = self.open.pop((message.number, message.exchange), None)
        if number is not None:
            self._link.canceled(number)

    def _ping(self, _message):
        self.send(peermsg.Pong())

    def _plan(self, message):
        plan = wire.unpack(message.packed, ranges.Plan)
        self._link.post(messages.PlanTold(plan, message.row_version))


def _event_of(message):
    if isinstance(message, peermsg.Answered):
        return messages.ExchangeEnded(
            message.number,
            message.exchange,
            message.answer,
            message.wait_ms,
            message.work_ms,
            message.held_ms,
        )
    return messages.ExchangeFailed(
        number=message.number,
        exchange=message.exchange,
        phase=messages.Phase.REFUSED,
        reason=message.reason,
        verdict=message.verdict,
        retry_after_ms=message.retry_after_ms,
        wait_ms=message.wait_ms,
    )
