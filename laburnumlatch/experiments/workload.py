"""Seeded workloads on a deployment in memory, and the three measures."""

import types

import attrs
import logbook

from laburnumlatch.core import errors
from laburnumlatch.experiments import faults
from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import measures
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import waiting
from laburnumlatch.operators import assembly
from laburnumlatch.operators import publish

STEP_MS = 10
# All that was sent has ended by then.
REST_MS = 2500
# Work times of backend servers in turn: they differ several times in speed.
WORK_MS = (60, 90, 140, 80, 200, 70, 110, 100, 160)
# Busy keys lie together; they are others in the second half.
SKEW = 3
SHIFT_AT = 0.5
DOMAINS = 3
# Hosts of each service, as the users run them.
SERVERS = types.MappingProxyType({
    'bokun': 9,
    'moti': 3,
    'dealer-credits': 7,
    'collections': 3,
})
# The part of the run after which a fault strikes, and for how long.
FAULT_AT = 0.4
FAULT_FOR = 0.3


@attrs.define(frozen=True)
class Scenario:
    """What to run: a configuration, load over capacity, and a fault.

    `configuration` is a `routes.Configuration`; `load` 1 is as much work as
    the backend servers can do. `policies` are fields of `AgentState`.
    """

    configuration: object
    seed: int = 1
    load: float = 0.6
    duration_ms: int = 20_000
    fault: str = 'none'
    policies: dict = attrs.Factory(dict)


def scenario(paths, *, is_naive=False, **fields):
    """Return the `Scenario` of operators' files.

    The naive one waits to the deadline and chooses hosts by chance.
    """
    if fields.get('fault', 'none') not in faults.BY_NAME:
        known = ', '.join(faults.BY_NAME)
        raise errors.InvalidInputError(
            f'fault {fields["fault"]!r}: expected one of {known}'
        )
    policies = {}
    if is_naive:
        policies = {
            'wait_policy': waiting.DeadlineWaitPolicy(),
            'host_policy': choosing.RandomPolicy(),
        }
    made = assembly.assemble(publish.collect(paths)).made
    return Scenario(made, policies=policies, **fields)


def measure(chosen, report=None):
    """Run a `Scenario`; return its measures as a dict.

    `report` is called with the share that is done.
    """
    with logbook.NullHandler().applicationbound():
        run = _Run(chosen)
        steps = chosen.duration_ms // STEP_MS
        for step in range(steps):
            run.step(step / steps)
            if report is not None:
                report(step / steps)
        run.fleet.run(REST_MS)
    return run.figures()


class _Run:
    """One run of a scenario."""

    def __init__(self, chosen):
        self._chosen = chosen
        self.fleet = fleetsim.Fleet(
            _hosts(chosen.configuration),
            chosen.seed,
            chosen.configuration,
            chosen.policies,
        )
        for number, backend in enumerate(self.fleet.backends.values()):
            backend.work_ms = WORK_MS[number % len(WORK_MS)]
        self.fleet.run(fleetsim.SETTLE_MS)
        self._sent = {}
        self._due = {}
        self._plans = {}
        self._churn = 0
        self._is_faulty = False

    def step(self, done):
        """Let callers of one step arrive; `done` is the share of the run."""
        self._set_fault(FAULT_AT <= done < FAULT_AT + FAULT_FOR)
        for route in self._chosen.configuration.routes:
            self._due[route.name] = self._due.get(route.name, 0) + self._rate(
                route
            )
            while self._due[route.name] >= 1:
                self._due[route.name] -= 1
                self._call(route, done)
        self.fleet.run(STEP_MS)
        self._count_churn()

    def figures(self):
        """Return the measures."""
        results = [self._result(number) for number in self._sent]
        return {
            'seed': self._chosen.seed,
            'requests': len(results),
            'in_time': _rounded(measures.useful_share(results)),
            'latency_ms': measures.latency(results),
            'unavailable_ms': measures.unavailable_ms(results),
            'imbalance': self._imbalance(),
            'churn': round(self._churn / fleetconfig.KEY_COUNT, 3),
            'shared_keys': len(self.fleet.violations),
        }

    def _rate(self, route):
        """Return the requests of a step; routes of a service share it."""
        service = route.shares[0].service
        capacity = sum(
            fleetbackend.SLOTS * STEP_MS / backend.work_ms
            for backend in self.fleet.backends.values()
            if backend.service == service
        )
        sharing = [
            other
            for other in self._chosen.configuration.routes
            if other.shares[0].service == service
        ]
        return self._chosen.load * capacity / len(sharing)

    def _call(self, route, done):
        rng = self.fleet.rng
        service = self._chosen.configuration.services[route.shares[0].service]
        key = None
        if service.is_divided:
            centre = 0 if done < SHIFT_AT else fleetconfig.KEY_COUNT // 2
            away = int(fleetconfig.KEY_COUNT * rng.random() ** SKEW)
            key = (centre + away) % fleetconfig.KEY_COUNT
        host_id = rng.choice(sorted(self.fleet.agents))
        number = next(self.fleet.request_numbers)
        head = messages.Head(
            method='GET',
            target=f'{route.prefix}x',
            host=route.host,
            fields=(),
            request_id=f'r{number}',
            key=key,
            caller_service=self.fleet.backends[host_id].service,
        )
        self.fleet.send(host_id, number, head, route.timeout_ms)
        self._sent[number] = route

    def _result(self, number):
        route = self._sent[number]
        outcome = self.fleet.outcomes[number]
        is_answer = (
            isinstance(outcome, messages.Deliver)
            and outcome.answer.status == fleetbackend.STATUS_OK
        )
        arrived = self.fleet.arrived_at[number]
        ended = self.fleet.ended_at.get(number, self.fleet.now)
        is_useful = is_answer and ended - arrived <= route.target_ms
        return measures.Result(route.name, arrived, ended, is_useful)

    def _imbalance(self):
        """Return the busiest server over the mean, by service."""
        found = {}
        for service in self._chosen.configuration.services:
            busy = {
                host_id: len(backend.started) * backend.work_ms
                for host_id, backend in self.fleet.backends.items()
                if backend.service == service
            }
            equal = dict.fromkeys(busy, 1)
            spread = measures.imbalance(busy, equal)
            found[service] = round(spread.max_over_mean, 2)
        return found

    def _count_churn(self):
        for agent in self.fleet.agents.values():
            for row in agent.plans:
                known = self._plans.get(row.plan.service, row.plan)
                if row.plan.version >= known.version:
                    self._churn += measures.churn((known, row.plan))
                    self._plans[row.plan.service] = row.plan

    def _set_fault(self, is_faulty):
        if is_faulty == self._is_faulty:
            return
        self._is_faulty = is_faulty
        hosts = sorted(self.fleet.backends)
        hit = hosts[:: len(hosts) // DOMAINS]
        fault = faults.BY_NAME[self._chosen.fault]
        change = fault.begin if is_faulty else fault.end
        change(self.fleet, hit)


def _hosts(configuration):
    """Return (host ID, service, domain) of all hosts."""
    return [
        (f'{service}-{number}', service, f'd{number % DOMAINS}')
        for service in sorted(configuration.services)
        for number in range(1, SERVERS.get(service, DOMAINS) + 1)
    ]


def _rounded(shares):
    return {name: round(share, 3) for name, share in shares.items()}
