"""Front end to other agents: requests and answers over kept connections."""

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
        planmsg.SendPlan,
        planmsg.SendPlanChange,
    )

    def __init__(self, post, address, host_id, numbers, time_source):
        """Listen at `address`; `numbers` counts the requests of the agent."""
        super().__init__(post)
        self.tasks = tasks.Tasks()
        self._address = address
        self._clock = time_source
        self._numbers = numbers
        self._host_id = host_id
        self._server = None
        self._dialed = {}
        self._asked = {}
        self._told_plans = {}
        self._checks = None
        self._senders = {
            messages.SendForward: self._ask,
            messages.CancelForward: self._cancel,
            messages.ReplyAnswer: self._reply,
            messages.ReplyRefusal: self._reply,
            planmsg.SendPlan: self._tell_plan,
            planmsg.SendPlanChange: self._tell_change,
        }

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
        for dialed in tuple(self._dialed.values()):
            dialed.close()

    def carry_out(self, message):
        """Send a request, a cancellation, a reply or a plan."""
        self._senders[type(message)](message)

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
        waited_ms = inbound.delay.waited_ms(message.made, read)
        self._post(
            messages.ForwardArrived(
                number, inbound.host_id, forward, read, waited_ms
            )
        )

    def canceled(self, number):
        """Forget a request that nobody waits for."""
        if self._asked.pop(number, None) is not None:
            self._post(messages.ForwardCanceled(number))

    def lost(self, host_id, dialed):
        """Forget a connection that has ended."""
        if self._dialed.get(host_id) is dialed:
            self._dialed.pop(host_id)

    def _ask(self, message):
        dialed = self._outbound(message.host_id, message.address)
        dialed.ask(message.forward)

    def _cancel(self, message):
        dialed = self._dialed.get(message.host_id)
        if dialed is not None:
            dialed.cancel(message.number, message.exchange)

    def _tell_plan(self, message):
        self._tell(message, message.plan, peermsg.Plan)

    def _tell_change(self, message):
        self._tell(message, message.change, peermsg.PlanChange)

    def _tell(self, message, told, kind):
        """Send a plan or a change in a frame that is made once for all."""
        key = (told.service, kind)
        frame = self._told_plans.get(key)
        if frame is None or frame.row_version != message.row_version:
            frame = kind(wire.pack_compressed(told), message.row_version)
            self._told_plans[key] = frame
        dialed = self._outbound(message.host_id, message.address)
        dialed.send_latest(key, frame)

    def _outbound(self, host_id, address):
        known = self._dialed.get(host_id)
        if known is not None and known.is_usable(address):
            return known
        if known is not None:
            known.close()
        dialed = outbound.Outbound(self, host_id, address)
        self._dialed[host_id] = dialed
        dialed.dial()
        return dialed

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
        for dialed in tuple(self._dialed.values()):
            dialed.check()
        self._check_later()


class _Inbound(frames.FrameProtocol):
    """A connection on which another agent asks this one."""

    def __init__(self, link):
        super().__init__()
        self.host_id = ''
        self.open = {}
        self.delay = framedelay.FrameDelay()
        self._link = link
        self._takers = {
            peermsg.Hello: self._hello,
            peermsg.Ask: self._ask,
            peermsg.Cancel: self._cancel,
            peermsg.Ping: self._ping,
            peermsg.Plan: self._plan,
            peermsg.PlanChange: self._plan_change,
        }

    def received(self, message):
        """Act on a frame by its kind."""
        self._takers[type(message)](message)

    def connection_lost(self, error):
        """Cancel the requests whose answers cannot be passed back."""
        numbers = tuple(self.open.values())
        self.open.clear()
        for number in numbers:
            self._link.canceled(number)

    def _hello(self, message):
        self.host_id = message.host_id
        self.delay.waited_ms(message.made, self._link.now())
        # The other side sends nothing before it knows that this one reads.
        self.send(self._link.hello())

    def _ask(self, message):
        self._link.asked(self, message)

    def _cancel(self, message):
        number = self.open.pop((message.number, message.exchange), None)
        if number is not None:
            self._link.canceled(number)

    def _ping(self, _message):
        self.send(peermsg.Pong())

    def _plan(self, message):
        plan = ranges.validate(wire.unpack(message.packed, ranges.Plan))
        self._link.post(planmsg.PlanTold(plan, message.row_version))

    def _plan_change(self, message):
        change = wire.unpack(message.packed, planchanges.Change)
        self._link.post(planmsg.PlanChangeTold(change, message.row_version))
