"""A few worlds joined by a seeded network, a store and backend servers.

A fake at the interfaces: it carries out outbox messages, nothing else.
Times are real ms; each agent's clock has its own rate and offset.
"""

import heapq
import itertools
import random

import attrs

from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.slots import docmsg
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import ownership
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import ticks
from laburnumlatch.slots import world as world_module
from tests import worlds

DOMAINS = ('grandi', 'breidholt', 'hafnarfj')
GRANT_DELAY_MS = 40


@attrs.define
class Agent:
    """One host: its world, its clock and its backend server's grants."""

    world: world_module.World
    rate: float
    offset: float
    up: bool = True
    paused: bool = False
    due: float = 0
    waiting: list = attrs.Factory(list)
    grants: dict = attrs.Factory(dict)

    def local(self, real):
        """Return the agent's clock at real time `real`."""
        return int(real * self.rate + self.offset)


class Cluster:
    """Runs worlds against each other and checks the oracle all the time."""

    def __init__(self, seed, count=6, loss=0, **service):
        self.rng = random.Random(seed)
        self.real = 0
        self.loss = loss
        self.delay = (1, 4)
        self.duplicate = 0
        self.cut = set()
        self.store = {}
        self.sequence = 0
        self.store_down = False
        self.lose_answers = 0
        self.tokens = {}
        self.sent = {}
        self.writes = 0
        self.events = []
        self.order = itertools.count()
        self.agents = {}
        self.service = worlds.service(**service)
        self._put(
            configuration.store_key(self.service.name),
            wire.pack(_configuration(self.service)),
            0,
        )
        for number in range(count):
            self.start(f'h{number}', DOMAINS[number % 3])

    def start(self, host_id, domain=None):
        """Start or restart an agent with an empty memory."""
        old = self.agents.get(host_id)
        own = attrs.evolve(
            worlds.agent_settings(host_id, domain or old.world.settings.domain),
            datagram_address=host_id,
        )
        rate = old.rate if old else self.rng.choice((0.98, 1, 1.02))
        offset = self.rng.randrange(10**6)
        if old and old.up:
            # The backend server and the clock of the host go on running.
            offset = old.offset
        agent = Agent(None, rate, offset)
        agent.grants = old.grants if old else {}
        agent.world = world_module.create(
            own,
            self.rng.getrandbits(32),
            self.rng.getrandbits(32),
            agent.local(self.real),
        )
        neighbours = [one for one in self.agents.values() if one.up]
        self.agents[host_id] = agent
        if neighbours:
            self._offer(agent, self.rng.choice(neighbours))
        agent.waiting.append(
            servermsg.ServerAnnounced(
                host_id, self.service.name, f'{host_id}:1', 2, 130
            ),
        )
        agent.due = self.real

    def kill(self, host_id):
        """Lose a host with its backend server."""
        self.agents[host_id].up = False
        self.agents[host_id].grants.clear()

    def post(self, host_id, message):
        """Hand a message to an agent's systems."""
        self.agents[host_id].waiting.append(message)
        self.agents[host_id].due = self.real

    def run(self, duration):
        """Let `duration` real ms pass."""
        end = self.real + duration
        while self._step(end):
            self.check()
        self.real = end

    def run_until(self, condition, limit):
        """Run until `condition()`; return the ms it took, else fail."""
        begin = self.real
        while not condition():
            self.run(10)
            assert self.real - begin <= limit, 'took too long'
        return self.real - begin

    def pause(self, host_id, duration):
        """Stop an agent for a while, as if its process were frozen."""
        agent = self.agents[host_id]
        agent.paused = True
        self._later(duration, self._resume, agent)

    def cut_off(self, names, others, both_ways=True):
        """Drop datagrams from `names` to `others`."""
        self.cut.update(itertools.product(names, others))
        if both_ways:
            self.cut.update(itertools.product(others, names))

    def servers_of(self, slot):
        """Return the hosts that can serve a slot at this moment."""
        found = {}
        for host_id, agent in self.agents.items():
            now = agent.local(self.real)
            token = None
            if agent.up and not agent.paused:
                token = ownership.token(
                    agent.world, self.service.name, slot, now
                )
            granted, end = agent.grants.get(slot, (0, 0))
            if token is not None:
                found[host_id] = token
            elif end > now:
                found[host_id] = granted
        return found

    def served(self):
        """Return {slot: host} of what is served by token."""
        return {
            slot: host_id
            for slot in range(self.service.slot_count)
            for host_id, agent in self.agents.items()
            if agent.up
            and not agent.paused
            and ownership.token(
                agent.world,
                self.service.name,
                slot,
                agent.local(self.real),
            )
        }

    def all_served(self):
        """Tell whether each slot is served."""
        return len(self.served()) == self.service.slot_count

    def check(self):
        """Oracle: one server per slot, and tokens that never go down."""
        for slot in range(self.service.slot_count):
            found = self.servers_of(slot)
            assert len(found) <= 1, (self.real, slot, found)
            for token in found.values():
                assert token >= self.tokens.get(slot, 0), (slot, found)
                self.tokens[slot] = token

    def _step(self, end):
        due, host_id = min(
            (
                (agent.due, host_id)
                for host_id, agent in self.agents.items()
                if agent.up and not agent.paused
            ),
            default=(end, None),
        )
        if self.events and self.events[0][0] <= min(due, end):
            event = heapq.heappop(self.events)
            self.real = event[0]
            event[2](*event[3])
            return True
        if host_id is None or due >= end:
            return False
        self.real = max(self.real, due)
        self._tick(host_id, self.agents[host_id])
        return True

    def _tick(self, host_id, agent):
        for message in agent.waiting:
            agent.world.inbox.post(message)
        agent.waiting.clear()
        ticks.tick(agent.world, agent.local(self.real))
        agent.world.inbox.clear()
        wake = agent.world.next_wake
        agent.due = float('inf')
        if wake is not None:
            real = (wake + 1 - agent.offset) / agent.rate
            agent.due = max(self.real + 1, real)
        outbox = agent.world.outbox
        for datagram in outbox.take(leasemsg.SendDatagram):
            self._send(host_id, datagram)
        for kind in (storemsg.StoreScan, storemsg.StorePut):
            for request in outbox.take(kind):
                self._later(
                    self.rng.uniform(2, 10), self._store, agent, request
                )
        for gift in outbox.take(servermsg.GiveGrants):
            delay = self.rng.uniform(0, GRANT_DELAY_MS)
            self._later(delay, self._grant, agent, gift)

    def _later(self, delay, act, *arguments):
        entry = (self.real + delay, next(self.order), act, arguments)
        heapq.heappush(self.events, entry)

    def _send(self, sender, datagram):
        tally = self.sent.setdefault(sender, [0, 0])
        tally[0] += 1
        tally[1] += 28 + len(
            wire.Codec(leasemsg.KINDS).encode(datagram.message)
        )
        for _ in range(1 + (self.rng.random() < self.duplicate)):
            if self.rng.random() >= self.loss:
                self._later(
                    self.rng.uniform(*self.delay),
                    self._deliver,
                    sender,
                    datagram,
                )

    def _deliver(self, sender, datagram):
        agent = self.agents.get(datagram.address)
        if agent and agent.up and (sender, datagram.address) not in self.cut:
            self._hand(agent, datagram.message)

    def _hand(self, agent, message):
        agent.waiting.append(message)
        agent.due = min(agent.due, self.real)

    def _store(self, agent, request):
        if self.store_down:
            answer = storemsg.StoreFailed(request.ticket, 'down')
        elif isinstance(request, storemsg.StoreScan):
            answer = storemsg.StoreScanned(
                request.ticket,
                tuple(
                    storemsg.StoreRow(key, version, body)
                    for key, (version, body) in self.store.items()
                    if version > request.after
                ),
            )
        elif self._put(request.key, request.body, request.expected_version):
            answer = storemsg.StoreWritten(request.ticket, self.sequence)
            if self.lose_answers:
                self.lose_answers -= 1
                answer = storemsg.StoreFailed(request.ticket, 'lost')
        else:
            answer = storemsg.StoreRefused(request.ticket)
        self._later(self.rng.uniform(2, 10), self._hand, agent, answer)

    def _put(self, key, body, expected):
        if self.store.get(key, (0, b''))[0] != expected:
            return False
        self.sequence += 1
        self.writes += 1
        self.store[key] = (self.sequence, body)
        return True

    def _grant(self, agent, gift):
        if not agent.up:
            return
        for grant in gift.grants:
            if grant.token >= agent.grants.get(grant.slot, (0, 0))[0]:
                agent.grants[grant.slot] = (
                    grant.token,
                    grant.expires_ms,
                )
        answer = servermsg.GrantsAnswered(
            gift.server_id,
            True,
            tuple(given.slot for given in gift.grants),
        )
        self._later(self.rng.uniform(0, 5), self._hand, agent, answer)

    def _offer(self, agent, neighbour):
        documents = tuple(neighbour.world.documents)
        agent.waiting.append(docmsg.DocumentsOffered(documents, 'peer'))

    def _resume(self, agent):
        agent.paused = False
        agent.due = self.real


def _configuration(service):
    entry = configuration.Entry(
        service.team, service.name, 1, 'digest', 'file:1:1', service
    )
    return configuration.Stated(service.name, (entry,), 1)
