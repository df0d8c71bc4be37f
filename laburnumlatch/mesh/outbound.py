"""A connection on which this agent asks another one."""

import asyncio

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg

# For the connection and the first frame of the other agent.
CONNECT_TIMEOUT_MS = 500
# A connection on which answers are due is pinged after the first time without
# a byte; after the second nothing more is sent on it, and after the third it
# is given up.
PING_AFTER_MS = 250
HOLD_AFTER_MS = 350
ABORT_AFTER_MS = 800
# A row of the store may name an address that there cannot be.
_DIAL_ERRORS = (OSError, TimeoutError, errors.InvalidInputError)

_log = logs.logger('peers')


class Outbound(frames.FrameProtocol):
    """Sends requests to one agent as long as that one reads.

    What is handed to an agent that does not read may run much later, when
    nobody waits for it, and cannot be called back. So requests wait here
    until the other agent has spoken, and again while it is silent; if it
    stays so, they have not run.
    """

    def __init__(self, link, host_id, address):
        """Report to `link`, a `peerlink.PeerLink`."""
        super().__init__()
        self._address = address
        self._link = link
        self._host_id = host_id
        self._waiting = []
        self._latest = {}
        self._open = {}
        # Since when a response has been due and nothing has come, or None.
        self._silent_since = None
        self._is_pinged = False
        self._greeted = asyncio.Event()
        self._dialing = None

    def is_usable(self, address):
        """Tell whether this is a connection to `address` that may go on."""
        is_closing = self.transport is not None and self.transport.is_closing()
        return address == self._address and not is_closing

    def dial(self):
        """Begin to connect."""
        self._dialing = self._link.tasks.start(
            self._connect(), lambda error: self._report_lost(repr(error))
        )

    def close(self):
        """Close without waiting for answers."""
        if self.transport is None:
            self._dialing.cancel()
            self._report_lost('closed before it was connected')
        else:
            self.transport.abort()

    def ask(self, forward):
        """Send a request now, or when the other agent reads."""
        asked = peermsg.Ask(forward, self._link.now())
        if self._may_send():
            self._send_ask(asked)
        else:
            self._waiting.append(asked)

    def send_latest(self, subject, frame):
        """Send a frame that has no answer now, or when the other agent reads.

        Of the frames of a `subject` that wait only the last is sent.
        """
        if self._may_send():
            self.send(frame)
        else:
            self._latest[subject] = frame

    def cancel(self, number, exchange):
        """Say that nobody waits for this answer."""
        self._waiting = [
            asked
            for asked in self._waiting
            if _key_of(asked) != (number, exchange)
        ]
        if self._open.pop((number, exchange), None) is not None:
            self.send(peermsg.Cancel(number, exchange))

    def check(self):
        """Ping a silent connection, and give up one that stays silent."""
        if self._silent_since is None:
            return
        silent_ms = self._link.now() - self._silent_since
        if silent_ms >= ABORT_AFTER_MS:
            _log.warning(
                'peer-silent',
                host=self._host_id,
                sent=len(self._open),
                unsent=len(self._waiting),
            )
            self.transport.abort()
        elif silent_ms >= PING_AFTER_MS and not self._is_pinged:
            self._is_pinged = True
            self.send(peermsg.Ping())

    def connection_made(self, transport):
        """Say who asks; the other agent answers when it reads."""
        super().connection_made(transport)
        self.send(self._link.hello())

    def connection_lost(self, error):
        """Report the requests whose answers will not come."""
        self._greeted.set()
        self._silent_since = None
        self._report_lost(str(error))

    def data_received(self, chunk):
        """Note that the other agent reads, and send what has waited."""
        self._greeted.set()
        self._is_pinged = False
        super().data_received(chunk)
        self._silent_since = self._link.now() if self._open else None
        self._send_waiting()

    def message_received(self, message):
        """Report an answer or a refusal."""
        if isinstance(message, (peermsg.Answered, peermsg.Refused)):
            key = (message.number, message.exchange)
            if self._open.pop(key, None) is not None:
                self._link.post(_event_of(message))

    async def _connect(self):
        try:
            await asyncio.wait_for(
                self._greet(), CONNECT_TIMEOUT_MS / clock.MS_PER_S
            )
        except _DIAL_ERRORS as error:
            _log.warning(
                'peer-unreachable', host=self._host_id, detail=repr(error)
            )
            if self.transport is None:
                self._report_lost(repr(error))
            else:
                self.transport.abort()

    async def _greet(self):
        ip_text, port = addresses.split_address(self._address)
        await asyncio.get_running_loop().create_connection(
            lambda: self, ip_text, port
        )
        await self._greeted.wait()

    def _may_send(self):
        if not self._greeted.is_set() or self.transport.is_closing():
            return False
        if self._silent_since is None:
            return True
        return self._link.now() < self._silent_since + HOLD_AFTER_MS

    def _send_ask(self, asked):
        if self._silent_since is None:
            self._silent_since = self._link.now()
        self._open[_key_of(asked)] = asked
        self.send(asked)

    def _send_waiting(self):
        if self.transport.is_closing():
            return
        for frame in self._latest.values():
            self.send(frame)
        self._latest.clear()
        waiting = self._waiting
        self._waiting = []
        for asked in waiting:
            self._send_ask(asked)

    def _report_lost(self, detail):
        self._link.lost(self._host_id, self)
        # Frames without an answer are repeated by who sends them.
        self._latest.clear()
        for asked in self._open.values():
            self._fail(asked, messages.Phase.SENT, detail)
        self._open.clear()
        for unsent in self._waiting:
            self._fail(unsent, messages.Phase.UNSENT, detail)
        self._waiting.clear()

    def _fail(self, asked, phase, detail):
        number, exchange = _key_of(asked)
        self._link.post(
            messages.ExchangeFailed(
                number=number,
                exchange=exchange,
                phase=phase,
                reason=messages.Reason.UNREACHABLE,
                detail=detail,
            )
        )


def _key_of(asked):
    return asked.forward.number, asked.forward.exchange


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
