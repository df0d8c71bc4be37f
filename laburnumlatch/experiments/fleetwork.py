"""Simulated transport of requests, and their execution by backend servers."""

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.mesh import messages

# A forward to an unreachable host fails after this time.
CONNECT_TIMEOUT_MS = 500
BYTES_PER_KB = 1000


@attrs.define(frozen=True)
class _OpenForward:
    """A forward without a reply; `number` and `exchange` are the sender's."""

    sender: str
    host_id: str
    number: int
    exchange: int


class RequestTransport:
    """Carries requests between agents and runs them on backend servers."""

    def __init__(self, fleet):
        """Create the transport for the agents of a `fleetsim.Fleet`."""
        self._fleet = fleet
        self._forwards = {}
        self._link_free_at = {}

    def process_outbox(self, host_id, outbox):
        """Process the messages about requests in an agent's outbox."""
        for sent in outbox.take(messages.SendForward):
            delay_ms = self._network_delay_ms(sent.host_id, sent.forward.body)
            self._fleet.schedule(delay_ms, self._deliver_forward, host_id, sent)
        for cancel in outbox.take(messages.CancelForward):
            self._cancel_forward(host_id, cancel)
        for send in outbox.take(messages.Send):
            self._start_request(host_id, send)
        for delivered in outbox.take(messages.Deliver):
            self._record_outcome(delivered)
        for refused in outbox.take(messages.Refuse):
            self._record_outcome(refused)
        for answered in outbox.take(messages.ReplyAnswer):
            self._reply(
                answered.number,
                messages.ExchangeEnded,
                answer=answered.answer,
                wait_ms=answered.wait_ms,
                work_ms=answered.work_ms,
                held_ms=answered.held_ms,
                waits=answered.waits,
                cold_ms=answered.cold_ms,
            )
        for refusal in outbox.take(messages.ReplyRefusal):
            self._reply(
                refusal.number,
                messages.ExchangeFailed,
                phase=messages.Phase.REFUSED,
                reason=refusal.reason,
                verdict=refusal.verdict,
                retry_after_ms=refusal.retry_after_ms,
                wait_ms=refusal.wait_ms,
                waits=refusal.waits,
                cold_ms=refusal.cold_ms,
            )

    def fail_forwards_to(self, host_id, is_suspect=None):
        """Fail all open forwards to an agent whose process has ended.

        The numbers of requests for which `is_suspect` is true have ended it.
        """
        for number, forward in tuple(self._forwards.items()):
            if forward.host_id != host_id:
                continue
            if is_suspect is not None and is_suspect(number):
                self._reply(
                    number,
                    messages.ExchangeFailed,
                    phase=messages.Phase.REFUSED,
                    reason=messages.Reason.AGENT_FAILED,
                    verdict=messages.Verdict.UNKNOWN,
                )
            else:
                self._reply(
                    number,
                    messages.ExchangeFailed,
                    phase=messages.Phase.SENT,
                    reason=messages.Reason.BROKEN,
                )

    def _cancel_forward(self, host_id, cancel):
        for number, forward in tuple(self._forwards.items()):
            key = (forward.sender, forward.number, forward.exchange)
            if key == (host_id, cancel.number, cancel.exchange):
                self._forwards.pop(number)
                self._fleet.schedule(
                    fleetconfig.NETWORK_DELAY_MS,
                    self._fleet.post,
                    forward.host_id,
                    messages.ForwardCanceled(number),
                )

    def _network_delay_ms(self, host_id, body):
        """Return the delay until a body has arrived over the link of a host."""
        start = max(self._fleet.now, self._link_free_at.get(host_id, 0))
        body_ms = int(len(body) * self._fleet.link_ms_per_kb / BYTES_PER_KB)
        self._link_free_at[host_id] = start + body_ms
        return start + body_ms - self._fleet.now + fleetconfig.NETWORK_DELAY_MS

    def _record_outcome(self, outcome):
        self._fleet.outcomes[outcome.number] = outcome
        self._fleet.ended_at[outcome.number] = self._fleet.now

    def _deliver_forward(self, host_id, sent):
        forward = sent.forward
        if sent.host_id not in self._fleet.agents or self._fleet.is_partitioned(
            host_id, sent.host_id
        ):
            failed = messages.ExchangeFailed(
                number=forward.number,
                exchange=forward.exchange,
                phase=messages.Phase.UNSENT,
                reason=messages.Reason.UNREACHABLE,
            )
            self._fleet.schedule(
                CONNECT_TIMEOUT_MS, self._fleet.post, host_id, failed
            )
            return
        number = next(self._fleet.request_numbers)
        self._forwards[number] = _OpenForward(
            host_id, sent.host_id, forward.number, forward.exchange
        )
        self._fleet.post(
            sent.host_id, messages.ForwardArrived(number, host_id, forward)
        )

    def _reply(self, number, message_class, **fields):
        forward = self._forwards.pop(number, None)
        if forward is not None:
            reply = message_class(
                number=forward.number, exchange=forward.exchange, **fields
            )
            self._fleet.schedule(
                fleetconfig.NETWORK_DELAY_MS,
                self._fleet.post,
                forward.sender,
                reply,
            )

    def _start_request(self, host_id, send):
        backend = self._fleet.backends[host_id]
        key = send.head.key
        if not backend.is_reachable:
            self._fail(
                host_id, send, messages.Phase.UNSENT, messages.Reason.BROKEN
            )
            return
        services = self._fleet.configuration.services
        if services[backend.service].is_divided and not backend.holds(key):
            self._record_unowned_work(host_id, backend, key)
            self._fail(
                host_id, send, messages.Phase.REFUSED, messages.Reason.NOT_OWNER
            )
            return
        if self._meets_fault(host_id, backend, send):
            return
        work_ms = int(backend.draw_work_ms(send.head) * backend.slowness)
        end = self._fleet.now + work_ms
        backend.running[send.number] = (key, end)
        backend.started.append((self._fleet.now, send.head.request_id))
        backend.crash_if_overloaded()
        action = (
            self._make_nested_calls if backend.makes_calls() else self._finish
        )
        self._fleet.schedule(work_ms, action, host_id, backend.life, send)

    def _meets_fault(self, host_id, backend, send):
        """Return whether a fault of the server keeps a request from running."""
        if backend.sheds:
            backend.sheds -= 1
            self._fail(
                host_id, send, messages.Phase.REFUSED, messages.Reason.SHED
            )
            return True
        if send.fresh_connection:
            return False
        if backend.stale_connections:
            backend.stale_connections -= 1
            self._fail(
                host_id,
                send,
                messages.Phase.SENT,
                messages.Reason.BROKEN,
                is_stale=True,
            )
            return True
        if backend.silent_connections:
            backend.silent_connections -= 1
            return True
        return False

    def _fail(self, host_id, send, phase, reason, is_stale=False):
        failed = messages.ExchangeFailed(
            number=send.number,
            exchange=send.exchange,
            phase=phase,
            reason=reason,
            is_stale=is_stale,
        )
        self._fleet.schedule(1, self._fleet.post, host_id, failed)

    def _record_unowned_work(self, host_id, backend, key):
        # The agent learns of a new life from its first announcement. Only
        # until then may it send requests for keys that the life does not hold.
        announced_after_ms = (
            fleetconfig.ANNOUNCEMENT_INTERVAL_MS + fleetconfig.NETWORK_DELAY_MS
        )
        if self._fleet.now > backend.life.born + announced_after_ms:
            self._fleet.violations.append((
                self._fleet.now,
                host_id,
                'not held',
                key,
            ))

    def _make_nested_calls(self, host_id, life, send, finished_calls=0):
        """Make the nested calls of a request one after another."""
        backend = self._fleet.backends[host_id]
        if finished_calls == backend.nested_calls:
            self._finish(host_id, life, send)
            return
        number = self._fleet.call(
            host_id,
            backend.calling.path,
            key=self._nested_key(backend.calling.path),
            time_left_ms=backend.calling.timeout_ms,
            request_id=f'{send.head.request_id}.{finished_calls}',
        )
        self._await_nested_call(host_id, life, send, finished_calls, number)

    def _nested_key(self, path):
        if path == fleetconfig.OTHER_PATH:
            return None
        return self._fleet.rng.randrange(fleetconfig.KEY_COUNT)

    def _await_nested_call(self, host_id, life, send, finished_calls, number):
        outcome = self._fleet.outcomes[number]
        if outcome is None:
            poll = (
                self._await_nested_call,
                host_id,
                life,
                send,
                finished_calls,
                number,
            )
            self._fleet.schedule(fleetconfig.STEP_MS, *poll)
        elif isinstance(outcome, messages.Deliver):
            self._make_nested_calls(host_id, life, send, finished_calls + 1)
        else:
            self._finish(host_id, life, send, fleetbackend.STATUS_ERROR)

    def _finish(self, host_id, life, send, status=None):
        backend = self._fleet.backends[host_id]
        if not backend.is_up:
            return
        is_lost = backend.is_cut or backend.lost_answers
        if backend.life != life or is_lost:
            backend.lost_answers = max(0, backend.lost_answers - 1)
            backend.running.pop(send.number, None)
            self._fail(
                host_id, send, messages.Phase.SENT, messages.Reason.BROKEN
            )
            return
        backend.running.pop(send.number, None)
        self._fleet.post(
            host_id,
            messages.ExchangeEnded(
                send.number,
                send.exchange,
                messages.Answer(status or backend.status, (), host_id.encode()),
                server_load=backend.load_report(),
            ),
        )
