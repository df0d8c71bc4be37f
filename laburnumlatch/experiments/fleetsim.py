"""A deployment in memory: agents, a store and backend servers on one clock.

Messages take a fixed delay; parts can be cut, stopped, lost and started again.
Every grant and every start of work is checked against the one-owner rule.
"""

import heapq
import itertools
import random

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetstore
from laburnumlatch.experiments import fleetwork
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import settings
from laburnumlatch.mesh import ticks

START_MS = 1_000_000
SEED_BITS = 32
# A grant without an answer is given up after this time.
KEPT_MS = 400
# A process ends this long after it has said that it stops.
STOP_MS = 20
# All hosts are known and all keys held by then.
SETTLE_MS = 6000


class Fleet:
    """The hosts and what is under way between them.

    A KB of a body takes `link_ms_per_kb` on the link of the host it goes to.
    What reaches the agents of `paused` hosts waits for them.
    """

    def __init__(
        self,
        hosts,
        seed=1,
        configuration=fleetconfig.CONFIGURATION,
        policies=None,
        host_settings=None,
    ):
        """`hosts`: (host_id, service, domain); `host_settings`: settings by host."""
        self.now = START_MS
        self.rng = random.Random(seed)
        self.store = fleetstore.Store()
        self.configuration = configuration
        self.agents = {}
        self.backends = {}
        self.partitioned_hosts = set()
        self.paused = set()
        self.violations = []
        self.early_grants = []
        self.stopped_at = {}
        self.interrupted_requests = []
        self.plans_to_lose = 0
        self.sent_plans = []
        self.link_ms_per_kb = 0
        self.outcomes = {}
        self.arrived_at = {}
        self.ended_at = {}
        self.policies = policies or {}
        self.host_settings = host_settings or {}
        self.domains = {}
        self._work = fleetwork.Work(self)
        self._store_link = fleetstore.Link(self)
        self._events = []
        self._order = itertools.count()
        self.request_numbers = itertools.count(1)
        for host_id, service, domain in hosts:
            self.domains[host_id] = domain
            self._add(host_id, service)

    def start(self, host_id):
        """Start the agent of a host anew."""
        backend = self.backends[host_id]
        own = settings.Settings(
            host_id=host_id,
            domain=self.domains[host_id],
            region='north',
            service=backend.service,
            backend_address=f'{host_id}:80',
            caller_address=f'{host_id}:1',
            ready_address=f'{host_id}:2',
            control_address=f'{host_id}:3',
            peer_address=host_id,
            store_address='store:1',
            memory_bytes=10**8,
        )
        own = attrs.evolve(own, **self.host_settings.get(host_id, {}))
        agent = agentstate.create(
            own, self.rng.getrandbits(SEED_BITS), self.now
        )
        self.agents[host_id] = attrs.evolve(agent, **self.policies)

    def stop(self, host_id):
        """End the agent of a host at once."""
        self.agents.pop(host_id, None)
        self._work.break_off(host_id)

    def schedule(self, delay_ms, act, *arguments):
        """Do something at a later time."""
        heapq.heappush(
            self._events,
            (self.now + delay_ms, next(self._order), act, arguments),
        )

    def run(self, duration_ms):
        """Let time pass."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += fleetconfig.STEP_MS
            while self._events and self._events[0][0] <= self.now:
                _due, _order, act, arguments = heapq.heappop(self._events)
                act(*arguments)
            for host_id in tuple(self.agents):
                self._tick(host_id)

    def post(self, host_id, message):
        """Hand a message to the agent of a host, if it runs."""
        agent = self.agents.get(host_id)
        if agent is not None:
            agent.inbox.post(message)

    def call(
        self,
        host_id,
        path,
        key=None,
        time_left_ms=fleetconfig.LOOK_TIMEOUT_MS,
        request_id='',
        body=b'',
    ):
        """Send a caller's request; return its number."""
        number = next(self.request_numbers)
        service = fleetconfig.OTHER_SERVICE
        if path != '/':
            service = fleetconfig.SERVICE
        head = messages.Head(
            method='GET',
            target=f'{path}x',
            host=f'{service}.example',
            fields=(),
            request_id=request_id or f'r{number}',
            key=key,
            caller_service=self.backends[host_id].service,
        )
        self.send(host_id, number, head, time_left_ms, body)
        return number

    def send(self, host_id, number, head, time_left_ms, body=b''):
        """Let a request arrive at the agent of a host."""
        self.outcomes[number] = None
        self.arrived_at[number] = self.now
        self.post(
            host_id,
            messages.RequestArrived(number, head, body, time_left_ms),
        )

    def owned_key_count(self):
        """Return how many keys some backend server holds."""
        return sum(
            end - start + 1
            for backend in self.backends.values()
            for start, end, _fence in backend.held_ranges()
        )

    def planner_hosts(self):
        """Return the hosts whose agents hold the planner role."""
        return [
            host_id
            for host_id, agent in self.agents.items()
            if agent.role.is_held
        ]

    def is_partitioned(self, first, second):
        """Tell whether two hosts cannot reach each other."""
        return (
            first in self.partitioned_hosts or second in self.partitioned_hosts
        )

    def _add(self, host_id, service):
        self.backends[host_id] = fleetbackend.Backend(self, host_id, service)
        self.start(host_id)
        self.schedule(
            self.rng.randrange(fleetconfig.ANNOUNCEMENT_INTERVAL_MS),
            self._beat,
            host_id,
        )

    def _beat(self, host_id):
        backend = self.backends[host_id]
        if backend.is_up:
            self.post(host_id, backend.announce())
        self.schedule(fleetconfig.ANNOUNCEMENT_INTERVAL_MS, self._beat, host_id)

    def _tick(self, host_id):
        if host_id in self.paused:
            return
        agent = self.agents[host_id]
        is_due = agent.next_wake is not None and agent.next_wake <= self.now
        if agent.next_wake is None or is_due or len(agent.inbox):
            ticks.tick(agent, self.now)
            self._carry_out(host_id, agent)

    def _carry_out(self, host_id, agent):
        outbox = agent.outbox
        self._store_link.carry_out(host_id, outbox)
        for sent in outbox.take(leasemsg.SendDatagram):
            if not self.is_partitioned(host_id, sent.address):
                self.schedule(
                    fleetconfig.NETWORK_DELAY_MS,
                    self.post,
                    sent.address,
                    sent.message,
                )
        for give in outbox.take(backendmsg.GiveGrant):
            self._grant(host_id, give)
        for take in outbox.take(backendmsg.TakeBack):
            self.schedule(1, self._release, host_id, take)
        self._send_plans(host_id, outbox)
        self._work.carry_out(host_id, outbox)
        if outbox.take(messages.Stopped) and host_id not in self.stopped_at:
            self.stopped_at[host_id] = self.now
            self.schedule(STOP_MS, self._end, host_id, agent)
        outbox.clear()

    def _end(self, host_id, agent):
        """End an agent that has stopped, unless it was started again."""
        if self.agents.get(host_id) is agent:
            self.interrupted_requests.extend(
                request.request_id
                for request in agent.requests
                if request.state == rows.RequestState.RUNNING
            )
            self.stop(host_id)

    def _send_plans(self, host_id, outbox):
        sent = [
            (told, planmsg.PlanTold(told.plan, told.row_version))
            for told in outbox.take(planmsg.SendPlan)
        ]
        sent += [
            (told, planmsg.PlanChangeTold(told.change, told.row_version))
            for told in outbox.take(planmsg.SendPlanChange)
        ]
        for told, arriving in sent:
            self.sent_plans.append(told)
            if self.plans_to_lose:
                self.plans_to_lose -= 1
            elif not self.is_partitioned(host_id, told.host_id):
                self.schedule(
                    fleetconfig.NETWORK_DELAY_MS,
                    self.post,
                    told.host_id,
                    arriving,
                )

    def _grant(self, host_id, give):
        backend = self.backends[host_id]
        is_accepted = None
        if backend.is_up:
            is_accepted = backend.grant(give)
            if backend.loses_grant_answers:
                is_accepted = None
        delay_ms = KEPT_MS if is_accepted is None else 1
        self.schedule(
            delay_ms,
            self.post,
            host_id,
            backendmsg.GrantAnswered(give.ticket, is_accepted),
        )

    def _release(self, host_id, take):
        backend = self.backends[host_id]
        if backend.is_up:
            backend.release(take)
        running = [
            end
            for key, end in backend.running.values()
            if key is not None and take.start <= key <= take.end
        ]
        delay_ms = max([0, *(end - self.now for end in running)])
        told = backendmsg.TakenBack(take.ticket, backend.is_up, 'token')
        self.schedule(delay_ms + 1, self.post, host_id, told)


def deployment(divided=4, others=2, seed=1, **policies):
    """Return a started deployment of two services in three domains.

    `policies` are fields of `AgentState` that replace the usual policies.
    """
    hosts = [
        (f'b{number}', fleetconfig.SERVICE, f'd{number % 3}')
        for number in range(divided)
    ]
    hosts += [
        (f'm{number}', fleetconfig.OTHER_SERVICE, f'd{number % 3}')
        for number in range(others)
    ]
    fleet = Fleet(hosts, seed, policies=policies)
    fleet.run(SETTLE_MS)
    return fleet
