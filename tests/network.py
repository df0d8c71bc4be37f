"""Three agents without sockets, with callers, wires and backend servers.

Everything that one process tells another waits in `wires` until it is
delivered or broken, so each order of events and each loss can be played.
"""

import collections

import attrs

from laburnumlatch.experiments import workworlds
from laburnumlatch.slots import counting
from laburnumlatch.slots import planrows
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import ticks
from tests import worlds

HOSTS = ('bokun-1', 'bokun-2', 'bokun-3')
ANSWER = requestmsg.Answer(200, (), b'booked')
TOLD = (requestmsg.Relay, requestmsg.Refuse, requestmsg.Replay)
PHASES = requestmsg.Phase


@attrs.define(eq=False)
class Wire:
    """A message on its way; `back` is (agent, number, exchange)."""

    kind: str
    back: tuple
    message: object = None


@attrs.define
class Attempt:
    """One request of a caller and the outcome that it was told."""

    request_id: str
    count: int
    outcome: requestmsg.Outcome | None = None
    left: bool = False


class Network:
    """The processes, what is on the way, and what callers were told."""

    def __init__(self):
        self.now = worlds.START
        self.epoch = 7
        self.owner = HOSTS[0]
        self.worlds = {name: self._world(name) for name in HOSTS}
        self.wires = []
        self.runs = collections.Counter()
        self.attempts = {}
        self.epochs = {}
        self.operations = {}
        self._peers = {}
        self._ingress = {}
        self._last = 0
        for name in HOSTS:
            self.learn(name)

    def call(self, name, request_id, operation):
        """Let a caller send the next attempt of `request_id` to an agent."""
        world = self.worlds[name]
        earlier = [
            attempt
            for attempt in self.attempts.values()
            if attempt.request_id == request_id
        ]
        if not earlier:
            self.epochs[request_id] = world.plans.get('bokun').slots[0].epoch
        self.operations[request_id] = operation
        number = self._number()
        self.attempts[number] = Attempt(request_id, len(earlier) + 1)
        self._ingress[number] = name
        arrived = requestmsg.RequestArrived(
            number,
            request_id,
            'bokun',
            operation,
            'key',
            attempt=len(earlier) + 1,
            epoch=self.epochs[request_id],
        )
        self.tick(name, arrived)

    def leave(self, number):
        """Close a caller's connection."""
        attempt = self.attempts[number]
        if attempt.outcome is None:
            attempt.left = True
            self.tick(self._ingress[number], requestmsg.CallerLeft(number))

    def deliver(self, wire):
        """Bring one message to its end."""
        self.wires.remove(wire)
        getattr(self, f'_deliver_{wire.kind}')(wire)

    def break_wire(self, wire, phase):
        """Break the exchange; a request that was sent may arrive later."""
        is_request = wire.kind in {'forward', 'run'}
        if not is_request or phase == PHASES.UNSENT:
            self.wires.remove(wire)
        if wire.kind in {'ended', 'cut'}:
            phase = PHASES.ANSWERING
        elif not is_request:
            phase = PHASES.SENT
        if wire.kind != 'left':
            self._break(wire.back, phase)

    def refuse_run(self, wire, reason):
        """Let a backend server refuse the work."""
        if wire.kind == 'run':
            self.wires.remove(wire)
            outcome = requestmsg.Outcome.NOT_RUN
            name, *numbers = wire.back
            self.tick(name, requestmsg.AnswerBegan(*numbers, outcome, reason))

    def move(self, name):
        """Give the slots to another host; others learn of it later."""
        self.epoch += 1
        old = self.owner
        self.owner = name
        self.learn(old)
        self.learn(name)

    def learn(self, name):
        """Bring the current plan to an agent."""
        chain = planrows.SlotPlan(
            planrows.Incarnation(self.owner, 1), (), self.epoch, 1
        )
        plan = planrows.Plan('bokun', self.epoch, (chain,) * 8)
        workworlds.install(self.worlds[name], plan)
        self.tick(name)

    def restart(self, name):
        """Lose an agent and its records; its connections close."""
        self.worlds[name] = self._world(name)
        self.wires = [
            wire
            for wire in self.wires
            if wire.kind != 'forward' or wire.message.host_id != name
        ]
        for number, (peer, back) in tuple(self._peers.items()):
            if peer == name:
                self._break(back, PHASES.SENT)
            elif back[0] == name:
                self.tick(peer, requestmsg.CallerLeft(number))
        for number, attempt in self.attempts.items():
            if attempt.outcome is None and self._ingress[number] == name:
                attempt.left = True
        if self.owner == name:
            self.epoch += 1
        self.learn(name)

    def advance(self, duration_ms):
        """Let time pass."""
        self.now += duration_ms
        for name in HOSTS:
            self.tick(name)

    def tick(self, name, *messages):
        """Run an agent until nothing is due, and carry out its messages."""
        world = self.worlds[name]
        for message in messages:
            world.inbox.post(message)
        self._run(name, world)
        while world.next_wake is not None and world.next_wake <= self.now:
            self._run(name, world)

    def _run(self, name, world):
        # The plan is given and the lease does not end: leases and takeover
        # have tests of their own.
        world.begin_tick(self.now)
        for system in _SYSTEMS:
            system.run(world, self.now)
        for probe in world.outbox.take(servermsg.Probe):
            world.inbox.post(servermsg.Probed(probe.server_id, is_up=True))
        self._carry_out(name, world)

    def _world(self, name):
        return worlds.with_plan(HOSTS, name)

    def _number(self):
        self._last += 1
        return self._last

    def _deliver_forward(self, wire):
        sent = wire.message
        name = sent.host_id or sent.address.split(':')[0]
        number = self._number()
        self._peers[number] = (name, wire.back)
        arrived = requestmsg.RequestArrived(
            number,
            sent.request_id,
            'bokun',
            self.operations[sent.request_id],
            'key',
            sent.attempt,
            sent.epoch,
            sent.time_left_ms,
            forwarded_from=wire.back[0],
            forward_exchange=sent.exchange,
            is_repeat=sent.is_repeat,
        )
        self.tick(name, arrived)

    def _deliver_run(self, wire):
        self.runs[wire.message.request_id] += 1
        self.wires.append(Wire('done', wire.back))

    def _deliver_done(self, wire):
        name, number, exchange = wire.back
        began = requestmsg.AnswerBegan(
            number, exchange, requestmsg.Outcome.ANSWERED
        )
        self.tick(name, began)
        self.wires.append(Wire('ended', wire.back))

    def _deliver_ended(self, wire):
        name, number, exchange = wire.back
        for reply in self.wires:
            if reply.kind == 'reply' and reply.back == wire.back:
                self.deliver(reply)
                break
        request = self.worlds[name].requests.get(number)
        is_current = request is not None and request.exchange == exchange
        self.tick(name, requestmsg.AnswerEnded(number, exchange, ANSWER))
        if is_current and number in self._peers:
            self.wires.append(Wire('ended', self._peers[number][1]))

    def _deliver_left(self, wire):
        self.tick(wire.back[0], requestmsg.CallerLeft(wire.back[1]))

    def _deliver_cut(self, wire):
        self._break(wire.back, PHASES.ANSWERING)

    def _break(self, back, phase):
        name, *numbers = back
        self.tick(name, requestmsg.ExchangeBroke(*numbers, phase))

    def _deliver_reply(self, wire):
        told = wire.message
        if isinstance(told, requestmsg.Refuse):
            name, *numbers = wire.back
            refused = requestmsg.AnswerBegan(
                *numbers,
                told.outcome,
                told.reason,
                told.retry_after_ms,
                told.epoch,
                told.owner,
            )
            self.tick(name, refused)
            return
        began = requestmsg.AnswerBegan(
            *wire.back[1:],
            requestmsg.Outcome.ANSWERED,
            epoch=told.epoch,
            owner=told.owner,
        )
        self.tick(wire.back[0], began)
        if isinstance(told, requestmsg.Replay):
            self.wires.append(Wire('ended', wire.back))

    def _carry_out(self, name, world):
        for message in world.outbox.take(requestmsg.Cancel):
            self._cancel((name, message.number, message.exchange))
        for kind, label in _REQUESTS:
            for sent in world.outbox.take(kind):
                back = (name, sent.number, sent.exchange)
                self.wires.append(Wire(label, back, sent))
        for kind in TOLD:
            for told in world.outbox.take(kind):
                self._tell(told)
        for cut in world.outbox.take(requestmsg.CutOff):
            _, back = self._peers.get(cut.number, (None, None))
            if back is not None:
                self.wires.append(Wire('cut', back))
        world.outbox.clear()

    def _cancel(self, back):
        for number, (peer, sender) in self._peers.items():
            if sender == back:
                self.wires.append(Wire('left', (peer, number, 0)))

    def _tell(self, message):
        _, back = self._peers.get(message.number, (None, None))
        if back is not None:
            self.wires.append(Wire('reply', back, message))
            return
        attempt = self.attempts[message.number]
        assert attempt.outcome is None, 'two outcomes'
        attempt.outcome = getattr(
            message, 'outcome', requestmsg.Outcome.ANSWERED
        )
        if message.epoch:
            self.epochs[attempt.request_id] = message.epoch


_SYSTEMS = ticks.ORDER[ticks.ORDER.index(counting) :]
_REQUESTS = ((requestmsg.Forward, 'forward'), (requestmsg.Send, 'run'))
