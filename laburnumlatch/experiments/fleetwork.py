"""Requests of the deployment in memory: forwards, runs and answers."""

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.mesh import messages

# The time that a call of a running request may take.
NESTED_MS = 600
# A host that cannot be reached is noticed after this time.
CONNECT_TIMEOUT_MS = 500
BYTES_PER_KB = 1000


@attrs.define(frozen=True)
class _Open:
    """A forward without a reply: `number` and `exchange` of its sender."""

    sender: str
    host_id: str
    number: int
    exchange: int


class Work:
    """What is under way between agents, and at backend servers."""

    def __init__(self, fleet):
        """Take the `fleetsim.Fleet` whose requests these are."""
        self._fleet = fleet
        self._forwards = {}
        self._link_free = {}

    def carry_out(self, host_id, outbox):
        """Carry out what the agent of a host says about requests."""
        for sent in outbox.take(messages.SendForward):
            delay_ms = self._transit_ms(sent.host_id, sent.forward.body)
            self._fleet.schedule(delay_ms, self._forward, host_id, sent)
        for canceled in outbox.take(messages.CancelForward):
            self._cancel(host_id, canceled)
        for send in outbox.take(messages.Send):
            self._run(host_id, send)
        for delivered in outbox.take(messages.Deliver):
            self._end(delivered)
        for refused in outbox.take(messages.Refuse):
            self._end(refused)
        for answered in outbox.take(messages.ReplyAnswer):
            self._reply(
                answered.number,
                messages.ExchangeEnded,
                answer=answered.answer,
                wait_ms=answered.wait_ms,
                work_ms=answered.work_ms,
                held_ms=answered.held_ms,
            )
        for told in outbox.take(messages.ReplyRefusal):
            self._reply(
                told.number,
                messages.ExchangeFailed,
                phase=messages.Phase.REFUSED,
                reason=told.reason,
                verdict=told.verdict,
                retry_after_ms=told.retry_after_ms,
                wait_ms=told.wait_ms,
            )

    def break_off(self, host_id):
        """Let all forwards to an agent that has ended fail at their senders."""
        for number, asked in tuple(self._forwards.items()):
            if asked.host_id == host_id:
                self._reply(
                    number,
                    messages.ExchangeFailed,
                    phase=messages.Phase.SENT,
                    reason=messages.Reason.BROKEN,
                )

    def _cancel(self, host_id, canceled):
        for number, asked in tuple(self._forwards.items()):
            key = (asked.sender, asked.number, asked.exchange)
            if key == (host_id, canceled.number, canceled.exchange):
                self._forwards.pop(number)
                self._fleet.schedule(
                    fleetconfig.NETWORK_DELAY_MS,
                    self._fleet.post,
                    asked.host_id,
                    messages.ForwardCanceled(number),
                )

    def _transit_ms(self, host_id, body):
        """Return when a body has come in over the link of a host."""
        start = max(self._fleet.now, self._link_free.get(host_id, 0))
        body_ms = int(len(body) * self._fleet.link_ms_per_kb / BYTES_PER_KB)
        self._link_free[host_id] = start + body_ms
        return start + body_ms - self._fleet.now + fleetconfig.NETWORK_DELAY_MS

    def _end(self, told):
        self._fleet.outcomes[told.number] = told
        self._fleet.ended_at[told.number] = self._fleet.now

    def _forward(self, host_id, sent):
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
        self._forwards[number] = _Open(
            host_id, sent.host_id, forward.number, forward.exchange
        )
        self._fleet.post(
            sent.host_id, messages.ForwardArrived(number, host_id, forward)
        )

    def _reply(self, number, kind, **fields):
        asked = self._forwards.pop(number, None)
        if asked is not None:
            reply = kind(number=asked.number, exchange=asked.exchange, **fields)
            self._fleet.schedule(
                fleetconfig.NETWORK_DELAY_MS,
                self._fleet.post,
                asked.sender,
                reply,
            )

    def _run(self, host_id, send):
        backend = self._fleet.backends[host_id]
        key = send.head.key
        if not backend.is_up:
            self._fail(
                host_id, send, messages.Phase.UNSENT, messages.Reason.BROKEN
            )
            return
        services = self._fleet.configuration.services
        if services[backend.service].is_divided and not backend.holds(key):
            self._note_not_held(host_id, backend, key)
            self._fail(
                host_id, send, messages.Phase.REFUSED, messages.Reason.NOT_OWNER
            )
            return
        if backend.silent_connections and not send.fresh_connection:
            backend.silent_connections -= 1
            return
        end = self._fleet.now + backend.work_ms
        backend.running[send.number] = (key, end)
        backend.started.append((self._fleet.now, send.head.request_id))
        act = self._call if backend.nested_calls else self._finish
        self._fleet.schedule(backend.work_ms, act, host_id, backend.life, send)

    def _fail(self, host_id, send, phase, reason):
        failed = messages.ExchangeFailed(
            number=send.number,
            exchange=send.exchange,
            phase=phase,
            reason=reason,
        )
        self._fleet.schedule(1, self._fleet.post, host_id, failed)

    def _note_not_held(self, host_id, backend, key):
        # The agent learns of a new life by its first announcement; only until
        # then may it send work for keys that the life does not hold.
        known_ms = (
            fleetconfig.ANNOUNCEMENT_INTERVAL_MS + fleetconfig.NETWORK_DELAY_MS
        )
        if self._fleet.now > backend.life.born + known_ms:
            self._fleet.violations.append((
                self._fleet.now,
                host_id,
                'not held',
                key,
            ))

    def _call(self, host_id, life, send, made=0):
        """Make the calls of a request one after another."""
        backend = self._fleet.backends[host_id]
        if made == backend.nested_calls:
            self._finish(host_id, life, send)
            return
        number = self._fleet.call(
            host_id,
            '/',
            time_left_ms=NESTED_MS,
            request_id=f'{send.head.request_id}.{made}',
        )
        self._follow_call(host_id, life, send, made, number)

    def _follow_call(self, host_id, life, send, made, number):
        outcome = self._fleet.outcomes[number]
        if outcome is None:
            following = (self._follow_call, host_id, life, send, made, number)
            self._fleet.schedule(fleetconfig.STEP_MS, *following)
        elif isinstance(outcome, messages.Deliver):
            self._call(host_id, life, send, made + 1)
        else:
            self._finish(host_id, life, send, fleetbackend.STATUS_ERROR)

    def _finish(self, host_id, life, send, status=None):
        backend = self._fleet.backends[host_id]
        if not backend.is_up:
            return
        if backend.life != life or backend.lost_answers:
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
            ),
        )
