"""Connection on which this agent sends requests to another agent."""

import asyncio

import attrs

from laburnumlatch.core import addresses
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.mesh import bodyparts
from laburnumlatch.mesh import deflating
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import peersilence
from laburnumlatch.mesh import statuses

# Covers the TCP connection and the first frame from the other agent.
CONNECT_TIMEOUT_MS = 500
# `InvalidInputError`: the row of a host may contain an invalid address.
_CONNECT_ERRORS = (OSError, TimeoutError, errors.InvalidInputError)

_log = logs.logger('peers')


class OutboundConnection(frames.FrameProtocol):
    """Sends requests to one agent while that agent reads its input.

    An agent that has stopped reading may run a request much later, after its
    caller has left, and the request cannot be recalled. So requests are queued
    here until the other agent has sent its first frame, and again while it is
    silent. If the connection fails, queued requests have certainly not run.
    """

    def __init__(self, link, host_id, address):
        """Prepare a connection; report events to `link`, a `PeerLink`.

        The bodies of requests count in memory where they were received.
        """
        super().__init__(link.memory, counts_outgoing=False)
        self._address = address
        self._link = link
        self._host_id = host_id
        self._unsent_requests = []
        # Queued frames that need no response, by subject.
        self._unsent_frames = {}
        # Requests that wait for a response, by number and exchange.
        self._sent_requests = {}
        self._silence = peersilence.PeerSilence()
        # Set by the first data from the other agent, or the connection's end.
        self._first_contact = asyncio.Event()
        self._connect_task = None

    def is_usable(self, address):
        """Return whether this leads to `address` and is not closing."""
        is_closing = self.transport is not None and self.transport.is_closing()
        return address == self._address and not is_closing

    def connect(self):
        """Start to connect in the background."""
        self._connect_task = self._link.tasks.start(
            self._connect_in_time(),
            lambda error: self._report_closed(repr(error)),
        )

    def close(self):
        """Close without waiting for outstanding responses."""
        if self.transport is None:
            self._connect_task.cancel()
            self._report_closed('closed before the connection was established')
        else:
            self.transport.abort()

    def send_request(self, forward):
        """Send a request, or queue it until the other agent reads."""
        request = peermsg.Ask(forward, self._link.now())
        if self._can_send():
            self._send_now(request)
        else:
            self._unsent_requests.append(request)

    def send_latest(self, subject, frame):
        """Send a frame that needs no response, or queue it.

        Of several queued frames with the same `subject` only the last is
        sent.
        """
        if self._can_send():
            self.send(frame)
        else:
            self._unsent_frames[subject] = frame

    def cancel_request(self, number, exchange):
        """Cancel a request whose response is no longer needed."""
        self._unsent_requests = [
            request
            for request in self._unsent_requests
            if _request_key(request) != (number, exchange)
        ]
        key = (number, exchange)
        self.outgoing.drop(key)
        self.incoming.drop(key)
        if self._sent_requests.pop(key, None) is not None:
            self.send(peermsg.Cancel(number, exchange))

    def check_silence(self):
        """Ping a silent connection; abort it if it stays silent."""
        if self.transport is None:
            return
        step = self._silence.check(
            self._link.now(),
            self.taken_bytes,
            has_backlog=bool(self.unsent_bytes),
        )
        if step == peersilence.Step.ABORT:
            _log.warning(
                'peer-silent',
                host=self._host_id,
                sent=len(self._sent_requests),
                unsent=len(self._unsent_requests),
            )
            self.transport.abort()
        elif step == peersilence.Step.PING:
            self.send(peermsg.Ping())

    def connection_made(self, transport):
        """Send the greeting; the other agent responds once it reads."""
        super().connection_made(transport)
        self.send(self._link.hello())

    def connection_lost(self, error):
        """Report the requests that will get no response."""
        self._first_contact.set()
        self._silence.end(self._link.now(), is_response_due=False)
        self._report_closed(str(error))

    def data_received(self, chunk):
        """Handle received frames, then send what is queued."""
        self._first_contact.set()
        super().data_received(chunk)
        self._silence.end(
            self._link.now(), is_response_due=bool(self._sent_requests)
        )
        self._send_queued()

    def message_received(self, message):
        """Report the response to a request once it is whole."""
        if isinstance(message, peermsg.Hello):
            self.peer_reads_parts = message.reads_parts
        elif isinstance(message, peermsg.BodyPart):
            key = (message.number, message.exchange)
            whole = self.incoming.add(key, message.part)
            if whole is not None:
                self._finish(key, _with_body(*whole))
        elif isinstance(message, (peermsg.Answered, peermsg.Refused)):
            self._handle_response(message)

    def _handle_response(self, message):
        key = (message.number, message.exchange)
        # A refusal may come before the whole body of the request was sent.
        self.outgoing.drop(key)
        if key not in self._sent_requests:
            return
        if isinstance(message, peermsg.Refused) or not message.body_bytes:
            self._finish(key, message)
        elif self._link.memory.fits(message.body_bytes):
            self.incoming.begin(key, message, message.body_bytes)
        else:
            self._link.post(
                _failure(
                    self._sent_requests.pop(key),
                    messages.Phase.SENT,
                    f'response of {message.body_bytes} bytes',
                    messages.Reason.NO_MEMORY,
                )
            )

    def _finish(self, key, message):
        """Report a whole response, unless the request was canceled."""
        if self._sent_requests.pop(key, None) is not None:
            self._link.post(_to_event(message))

    async def _connect_in_time(self):
        try:
            await asyncio.wait_for(
                self._handshake(), CONNECT_TIMEOUT_MS / clock.MS_PER_S
            )
        except _CONNECT_ERRORS as error:
            _log.warning(
                'peer-unreachable', host=self._host_id, detail=repr(error)
            )
            if self.transport is None:
                self._report_closed(repr(error))
            else:
                self.transport.abort()

    async def _handshake(self):
        """Connect and wait for the first data from the other agent."""
        ip_text, port = addresses.split_address(self._address)
        await asyncio.get_running_loop().create_connection(
            lambda: self, ip_text, port
        )
        await self._first_contact.wait()

    def _can_send(self):
        if not self._first_contact.is_set() or self.transport.is_closing():
            return False
        return self._silence.allows_requests(self._link.now())

    def _send_now(self, request):
        self._silence.begin(self._link.now())
        key = _request_key(request)
        self._sent_requests[key] = request
        forward = request.forward
        if self.peer_reads_parts and len(forward.body) > bodyparts.PART_BYTES:
            announced = attrs.evolve(
                request,
                forward=attrs.evolve(forward, body=b''),
                body_bytes=len(forward.body),
            )
            self.send_with_body(announced, key, forward.body)
        else:
            self.send(
                request, is_stored=deflating.is_worth_storing(forward.body)
            )

    def _send_queued(self):
        if self.transport.is_closing():
            return
        for frame in self._unsent_frames.values():
            self.send(frame)
        self._unsent_frames.clear()
        unsent = self._unsent_requests
        self._unsent_requests = []
        for request in unsent:
            self._send_now(request)

    def _report_closed(self, detail):
        """Report the end of the connection and of all its requests."""
        self._link.remove_connection(self._host_id, self)
        # Frames that need no response are sent again by their senders.
        self._unsent_frames.clear()
        for key, request in self._sent_requests.items():
            # The other agent passes on only requests that it has got whole.
            is_whole = key not in self.outgoing
            phase = messages.Phase.SENT if is_whole else messages.Phase.UNSENT
            self._link.post(_failure(request, phase, detail))
        self._sent_requests.clear()
        self.outgoing.clear()
        self.incoming.clear()
        for request in self._unsent_requests:
            self._link.post(_failure(request, messages.Phase.UNSENT, detail))
        self._unsent_requests.clear()


def _request_key(request):
    return request.forward.number, request.forward.exchange


def _with_body(answered, body):
    """Return an `Answered` with the body that came in parts."""
    return attrs.evolve(
        answered, answer=attrs.evolve(answered.answer, body=body)
    )


def _failure(request, phase, detail, reason=messages.Reason.UNREACHABLE):
    """Return the event for a request without a response."""
    number, exchange = _request_key(request)
    return messages.ExchangeFailed(
        number=number,
        exchange=exchange,
        phase=phase,
        reason=reason,
        detail=detail,
    )


def _to_event(message):
    """Return the message to the systems for a received response.

    An agent of an earlier build may pass on an invalid response of its server.
    """
    if isinstance(message, peermsg.Answered):
        status = message.answer.status
        if not statuses.is_final(status):
            return messages.ExchangeFailed(
                number=message.number,
                exchange=message.exchange,
                phase=messages.Phase.REFUSED,
                reason=messages.Reason.BROKEN,
                verdict=messages.Verdict.UNKNOWN,
                wait_ms=message.wait_ms,
                detail=f'status {status}',
            )
        return messages.ExchangeEnded(
            message.number,
            message.exchange,
            message.answer,
            message.wait_ms,
            message.work_ms,
            message.held_ms,
            message.waits,
            cold_ms=message.cold_ms,
        )
    return messages.ExchangeFailed(
        number=message.number,
        exchange=message.exchange,
        phase=messages.Phase.REFUSED,
        reason=message.reason,
        verdict=message.verdict,
        retry_after_ms=message.retry_after_ms,
        wait_ms=message.wait_ms,
        waits=message.waits,
        cold_ms=message.cold_ms,
    )
