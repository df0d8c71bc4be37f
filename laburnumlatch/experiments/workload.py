"""Runs seeded workloads on a simulated deployment and measures them."""

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
# Time in which all requests end after the last one was sent.
COMPLETION_MS = 2500
# Work times, assigned to the backend servers in turn. Their speeds differ by a
# factor of more than 3.
WORK_MS = (60, 90, 140, 80, 200, 70, 110, 100, 160)
# Requests concentrate on the keys just above a center, which moves by half of
# all keys in the middle of the run.
SKEW_EXPONENT = 3
SHIFT_AT_SHARE = 0.5
DOMAIN_COUNT = 3
# Hosts of each service in the deployments of the users.
HOST_COUNTS = types.MappingProxyType({
    'bokun': 9,
    'moti': 3,
    'dealer-credits': 7,
    'collections': 3,
})
# Start and duration of the fault, as shares of the run.
FAULT_START_SHARE = 0.4
FAULT_DURATION_SHARE = 0.3
# Requests a second that a cold server bears, as the users state it.
COLD_PER_S = 2.35


@attrs.define(frozen=True)
class Scenario:
    """What to run: a configuration, a load and a fault.

    `configuration` is a `routes.Configuration`. `load` is relative to the
    capacity of the backend servers. `policies` are fields of `AgentState`
    that replace the default policies.
    """

    configuration: object
    seed: int = 1
    load: float = 0.6
    duration_ms: int = 20_000
    fault: str = 'none'
    policies: dict = attrs.Factory(dict)


def scenario(paths, *, is_naive=False, **fields):
    """Return a `Scenario` with the configuration in the operators' files.

    With `is_naive`, requests wait until their deadline, hosts are chosen at
    random, and cold servers get no pace. Raises `InvalidInputError` for an
    unknown fault.
    """
    if fields.get('fault', 'none') not in faults.BY_NAME:
        expected = ', '.join(faults.BY_NAME)
        raise errors.InvalidInputError(
            f'fault {fields["fault"]!r}: expected one of {expected}'
        )
    policies = {}
    if is_naive:
        policies = {
            'wait_policy': waiting.DeadlineWaitPolicy(),
            'host_policy': choosing.RandomPolicy(),
        }
    configuration = assembly.assemble(publish.load_entries(paths)).configuration
    if fields.get('fault') == 'cold' and not is_naive:
        configuration = fleetconfig.with_cold_rate(
            configuration, COLD_PER_S, fleetbackend.COLD_MS
        )
    return Scenario(configuration, policies=policies, **fields)


def measure(chosen, report=None):
    """Run a `Scenario`; return its measures as a dict.

    `report` is called with the share of the run that is done, 0 to 1.
    """
    with logbook.NullHandler().applicationbound():
        run = _Run(chosen)
        steps = chosen.duration_ms // STEP_MS
        for step in range(steps):
            run.step(step / steps)
            if report is not None:
                report(step / steps)
        run.fleet.run(COMPLETION_MS)
    return run.figures()


class _Run:
    """One run of a scenario."""

    def __init__(self, chosen):
        self._scenario = chosen
        self.fleet = fleetsim.Fleet(
            _hosts(chosen.configuration),
            chosen.seed,
            chosen.configuration,
            chosen.policies,
        )
        for number, backend in enumerate(self.fleet.backends.values()):
            backend.work_ms = WORK_MS[number % len(WORK_MS)]
        self.fleet.run(fleetsim.SETTLE_MS)
        self._routes_by_request = {}
        self._unsent_by_route = {}
        self._latest_plans = {}
        self._moved_keys = 0
        self._is_fault_active = False

    def step(self, done):
        """Send the requests of one step; `done` is the share of the run."""
        self._set_fault(
            FAULT_START_SHARE <= done < FAULT_START_SHARE + FAULT_DURATION_SHARE
        )
        for route in self._scenario.configuration.routes:
            self._unsent_by_route[route.name] = self._unsent_by_route.get(
                route.name, 0
            ) + self._requests_per_step(route)
            while self._unsent_by_route[route.name] >= 1:
                self._unsent_by_route[route.name] -= 1
                self._call(route, done)
        self.fleet.run(STEP_MS)
        self._record_churn()

    def figures(self):
        """Return the measures of all requests sent so far."""
        results = [
            self._request_result(number) for number in self._routes_by_request
        ]
        return {
            'seed': self._scenario.seed,
            'requests': len(results),
            'in_time': _rounded(measures.useful_share(results)),
            'latency_ms': measures.latency(results),
            'unavailable_ms': measures.unavailable_ms(results),
            'imbalance': self._imbalance(),
            'churn': round(self._moved_keys / fleetconfig.KEY_COUNT, 3),
            'shared_keys': len(self.fleet.violations),
            'crashes': sum(
                backend.crashes for backend in self.fleet.backends.values()
            ),
        }

    def _requests_per_step(self, route):
        """Return the requests in each step of a route.

        The load of a service is divided equally among its routes.
        """
        service = route.shares[0].service
        capacity = sum(
            fleetbackend.SLOTS * STEP_MS / backend.work_ms
            for backend in self.fleet.backends.values()
            if backend.service == service
        )
        service_routes = [
            other
            for other in self._scenario.configuration.routes
            if other.shares[0].service == service
        ]
        return self._scenario.load * capacity / len(service_routes)

    def _call(self, route, done):
        rng = self.fleet.rng
        service = self._scenario.configuration.services[route.shares[0].service]
        key = None
        if service.is_divided:
            center = 0 if done < SHIFT_AT_SHARE else fleetconfig.KEY_COUNT // 2
            distance = int(
                fleetconfig.KEY_COUNT * rng.random() ** SKEW_EXPONENT
            )
            key = (center + distance) % fleetconfig.KEY_COUNT
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
        self._routes_by_request[number] = route

    def _request_result(self, number):
        route = self._routes_by_request[number]
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
        """Return by service the highest busy time of a server over the mean."""
        imbalances = {}
        for service in self._scenario.configuration.services:
            busy = {
                host_id: len(backend.started) * backend.work_ms
                for host_id, backend in self.fleet.backends.items()
                if backend.service == service
            }
            speeds = dict.fromkeys(busy, 1)
            spread = measures.imbalance(busy, speeds)
            imbalances[service] = round(spread.max_over_mean, 2)
        return imbalances

    def _record_churn(self):
        for agent in self.fleet.agents.values():
            for row in agent.plans:
                previous = self._latest_plans.get(row.plan.service, row.plan)
                if row.plan.version >= previous.version:
                    self._moved_keys += measures.churn((previous, row.plan))
                    self._latest_plans[row.plan.service] = row.plan

    def _set_fault(self, is_active):
        if is_active == self._is_fault_active:
            return
        self._is_fault_active = is_active
        hosts = sorted(self.fleet.backends)
        affected = hosts[:: len(hosts) // DOMAIN_COUNT]
        fault = faults.BY_NAME[self._scenario.fault]
        change = fault.begin if is_active else fault.end
        change(self.fleet, affected)


def _hosts(configuration):
    """Return (host ID, service, domain) of all hosts."""
    return [
        (f'{service}-{number}', service, f'd{number % DOMAIN_COUNT}')
        for service in sorted(configuration.services)
        for number in range(1, HOST_COUNTS.get(service, DOMAIN_COUNT) + 1)
    ]


def _rounded(shares):
    return {name: round(share, 3) for name, share in shares.items()}
