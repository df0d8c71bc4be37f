"""Simulates a deployment: agents, store and backend servers on one fake clock.

Messages arrive after a fixed delay. Hosts can be partitioned, stopped, lost
and restarted. Every grant, and every request that a backend server starts, is
checked against the rule that a key has one owner at a time.
"""

import heapq
import itertools
import random

import attrs

from laburnumlatch.core import errors
from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetgrants
from laburnumlatch.experiments import fleetplans
from laburnumlatch.experiments import fleetstore
from laburnumlatch.experiments import fleetwork
from laburnumlatch.mesh import agentstate
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import processmsg
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import settings
from laburnumlatch.mesh import ticks

START_MS = 1_000_000
SEED_BITS = 32
# Time from the `Stopped` message of an agent to the end of its process.
EXIT_DELAY_MS = 20
# By then all hosts know each other and all keys are held.
SETTLE_MS = 6000


class Fleet:
    """The hosts of a simulated deployment and the messages between them.

    It is created from `hosts`, triples (host_id, service, domain), `policies`,
    fields of `AgentState` for all agents, and `host_settings`, dicts of fields
    of `settings.Settings` by host ID.

    Each KB of a request body occupies the link of the receiving host for
    `link_ms_per_kb`. Messages to the agents of `paused` hosts are queued.
    The next `plans_to_lose` messages with plans or plan changes are lost. New
    lives of backend servers are dated `wall_offset_ms` ahead of the clock.
    If `restart_ms` is set, an agent whose tick raises ends, and is started
    again after that time; `failures` lists (host ID, name of the system).

    `violations` lists breaches of the one-owner rule, `early_grants` keys that
    were granted while another server still worked on them, `low_fences` grants
    with a fence that is not above those of other owners of the keys, and
    `interrupted_requests` the IDs of requests that were running when their
    agent ended after a planned stop.
    """

    def __init__(
        self,
        hosts,
        seed=1,
        configuration=fleetconfig.CONFIGURATION,
        policies=None,
        host_settings=None,
    ):
        """Create the hosts and start their agents."""
        self.now = START_MS
        self.rng = random.Random(seed)
        self.store = fleetstore.Store()
        self.configuration = configuration
        self.agents = {}
        self.backends = {}
        self.partitioned_hosts = set()
        self.paused = set()
        self.stopped_at = {}
        self.plans_to_lose = 0
        self.wall_offset_ms = 0
        self.restart_ms = None
        self.sent_plans = []
        self.link_ms_per_kb = 0
        self.outcomes = {}
        self.arrived_at = {}
        self.ended_at = {}
        self.policies = policies or {}
        self.host_settings = host_settings or {}
        self.domains = {}
        self._create_parts()
        self._events = []
        self._sequence = itertools.count()
        self.request_numbers = itertools.count(1)
        for host_id, service, domain in hosts:
            self.domains[host_id] = domain
            self._add_host(host_id, service)

    @property
    def time_of_day(self):
        """Unix time in ms, which may jump."""
        return self.now + self.wall_offset_ms

    def start(self, host_id):
        """Start or restart the agent of a host with empty state."""
        backend = self.backends[host_id]
        agent_settings = settings.Settings(
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
        agent_settings = attrs.evolve(
            agent_settings, **self.host_settings.get(host_id, {})
        )
        agent = agentstate.create(
            agent_settings, self.rng.getrandbits(SEED_BITS), self.now
        )
        self.agents[host_id] = attrs.evolve(agent, **self.policies)

    def stop(self, host_id):
        """Kill the agent of a host without a planned stop."""
        self.agents.pop(host_id, None)
        self._request_transport.fail_forwards_to(host_id)

    def schedule(self, delay_ms, action, *arguments):
        """Call `action(*arguments)` after a delay."""
        heapq.heappush(
            self._events,
            (self.now + delay_ms, next(self._sequence), action, arguments),
        )

    def run(self, duration_ms):
        """Advance the clock, deliver due events and run the agents' ticks."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += fleetconfig.STEP_MS
            while self._events and self._events[0][0] <= self.now:
                _due_at, _sequence, action, arguments = heapq.heappop(
                    self._events
                )
                action(*arguments)
            for host_id in tuple(self.agents):
                self._tick(host_id)

    def post(self, host_id, message):
        """Put a message in the inbox of a host's agent, if it is running."""
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
        connection=0,
    ):
        """Send a request from the host's own service; return its number.

        Requests with the same `connection` were sent on one connection.
        """
        number = next(self.request_numbers)
        service = fleetconfig.OTHER_SERVICE
        if path != fleetconfig.OTHER_PATH:
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
        self.send(host_id, number, head, time_left_ms, body, connection)
        return number

    def send(self, host_id, number, head, time_left_ms, body=b'', connection=0):
        """Deliver a caller's request to the agent of a host."""
        self.outcomes[number] = None
        self.arrived_at[number] = self.now
        self.post(
            host_id,
            messages.RequestArrived(
                number, head, body, time_left_ms, connection=connection
            ),
        )

    def owned_key_count(self):
        """Return the number of keys in the grants of all backend servers."""
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

    def owner_beside_planner(self):
        """Return a host that owns keys and does not hold the planner role."""
        planners = self.planner_hosts()
        return min(
            host_id
            for host_id, backend in self.backends.items()
            if backend.service == fleetconfig.SERVICE
            and host_id not in planners
        )

    def is_partitioned(self, first, second):
        """Tell whether two hosts cannot exchange messages."""
        return (
            first in self.partitioned_hosts or second in self.partitioned_hosts
        )

    def _create_parts(self):
        """Create the transports, and empty records of what goes wrong."""
        self._request_transport = fleetwork.RequestTransport(self)
        self.grants = fleetgrants.GrantTransport(self)
        self._plan_transport = fleetplans.PlanTransport(self)
        self._store_transport = fleetstore.StoreTransport(self)
        self.violations = []
        self.early_grants = []
        self.low_fences = []
        self.fenced_ranges = set()
        self.interrupted_requests = []
        self.failures = []

    def _add_host(self, host_id, service):
        self.backends[host_id] = fleetbackend.Backend(self, host_id, service)
        self.start(host_id)
        self.schedule(
            self.rng.randrange(fleetconfig.ANNOUNCEMENT_INTERVAL_MS),
            self._announce_periodically,
            host_id,
        )

    def _announce_periodically(self, host_id):
        backend = self.backends[host_id]
        if backend.is_reachable:
            self.post(host_id, backend.announce())
        self.schedule(
            fleetconfig.ANNOUNCEMENT_INTERVAL_MS,
            self._announce_periodically,
            host_id,
        )

    def _tick(self, host_id):
        if host_id in self.paused:
            return
        agent = self.agents[host_id]
        is_wake_due = (
            agent.next_wake is not None and agent.next_wake <= self.now
        )
        if agent.next_wake is None or is_wake_due or len(agent.inbox):
            try:
                ticks.tick(agent, self.now)
            except errors.SystemFailedError as error:
                self._end_failed_agent(host_id, error)
                return
            self._process_outbox(host_id, agent)

    def _end_failed_agent(self, host_id, error):
        """End an agent whose tick has raised, and start it again later."""
        if self.restart_ms is None:
            raise error
        self.failures.append((host_id, error.system))
        self._request_transport.fail_forwards_to(host_id, error.is_suspect)
        self.stop(host_id)
        self.schedule(self.restart_ms, self.start, host_id)

    def _process_outbox(self, host_id, agent):
        outbox = agent.outbox
        self._store_transport.process_outbox(host_id, outbox)
        for datagram in outbox.take(leasemsg.SendDatagram):
            if not self.is_partitioned(host_id, datagram.address):
                self.schedule(
                    fleetconfig.NETWORK_DELAY_MS,
                    self.post,
                    datagram.address,
                    datagram.message,
                )
        self.grants.process_outbox(host_id, outbox)
        self._plan_transport.process_outbox(host_id, outbox)
        self._request_transport.process_outbox(host_id, outbox)
        if outbox.take(processmsg.Stopped) and host_id not in self.stopped_at:
            self.stopped_at[host_id] = self.now
            self.schedule(EXIT_DELAY_MS, self._end_agent, host_id, agent)
        outbox.clear()

    def _end_agent(self, host_id, agent):
        """End the process of a stopped agent, unless it was restarted."""
        if self.agents.get(host_id) is agent:
            self.interrupted_requests.extend(
                request.request_id
                for request in agent.requests
                if request.state == rows.RequestState.RUNNING
            )
            self.stop(host_id)


def deployment(
    divided=4,
    others=2,
    seed=1,
    configuration=fleetconfig.CONFIGURATION,
    **policies,
):
    """Return a running deployment of two services in three failure domains.

    `divided` hosts serve the service that is divided by key, `others` the
    other one. `policies` are fields of `AgentState` that replace the default
    policies.
    """
    hosts = [
        (f'b{number}', fleetconfig.SERVICE, f'd{number % 3}')
        for number in range(divided)
    ]
    hosts += [
        (f'm{number}', fleetconfig.OTHER_SERVICE, f'd{number % 3}')
        for number in range(others)
    ]
    fleet = Fleet(hosts, seed, configuration, policies)
    fleet.run(SETTLE_MS)
    return fleet


def ask_to_stop(fleet, host_id):
    """Begin a planned stop of the agent on a host."""
    fleet.post(host_id, processmsg.Stopping())
