"""Seeded workloads: deployments, callers' requests and faults over time."""

import random
import types

import attrs

from laburnumlatch.core import errors
from laburnumlatch.slots import rows

MS_PER_S = 1000
KEYS = 2000
HOT_KEYS = 6
HOT_SHARE = 0.3
HOT_PERIOD_MS = 5000

# Share of an operation among the requests of its service, and ms of one
# concurrency slot that it needs on a backend server of speed 1. Uploads are
# ten times as heavy as reads.
OPERATIONS = types.MappingProxyType({
    'rack': (8, 40),
    'book': (2, 150),
    'status': (6, 40),
    'depot': (3, 60),
    'photo': (1, 600),
    'balance': (8, 40),
    'payout': (2, 150),
    'lookup': (9, 50),
    'photos': (1, 600),
})


@attrs.define(frozen=True)
class Deployment:
    """Hosts of a deployment: speeds by service; latencies one way in ms."""

    name: str
    domains: tuple[str, ...]
    hop_ms: int
    client_ms: int
    speeds: dict[str, tuple[float, ...]]


# 1.5 ms between the domains of Reykjavik is rounded up to whole ms.
DEPLOYMENTS = types.MappingProxyType({
    'reykjavik': Deployment(
        'reykjavik',
        ('grandi', 'breidholt', 'hafnarfj'),
        2,
        8,
        {
            'bokun': (2, 1.6, 1.3, 1, 1, 0.8, 0.7, 0.6, 0.5),
            'moti': (1.6, 1, 0.5),
        },
    ),
    'accra': Deployment(
        'accra',
        ('accra-tema', 'accra-osu', 'accra-kaneshie'),
        1,
        3,
        {
            'dealer-credits': (2, 1.5, 1, 0.9, 0.7, 0.6, 0.5),
            'collections': (1.6, 1, 0.5),
        },
    ),
})


@attrs.define(frozen=True)
class Fault:
    """Something wrong with a backend server from `start` to `end`, in ms.

    `kind` is `slow` (a fifth of its speed), `shed` (refuses all work with
    Retry-After), `silent` (answers nothing) or `restart` (breaks what runs
    at `start` and is cold afterwards).
    """

    host_id: str
    kind: str
    start: int
    end: int


@attrs.define(frozen=True)
class Scenario:
    """One run: `load` is offered work over capacity of each service.

    `retry` is `after` (callers honour Retry-After) or `always` (they send
    again at once), `plan` is `modulo` or `initial`, `prefer` decides whether
    hot slots move (None: never), `policy` is a class of `choice`.
    """

    deployment: Deployment
    services: tuple[rows.Service, ...]
    seed: int = 1
    duration_ms: int = 20_000
    load: float = 0.6
    faults: tuple[Fault, ...] = ()
    retry: str = 'after'
    plan: str = 'initial'
    prefer: str | None = None
    policy: type | None = None


@attrs.define(frozen=True)
class Call:
    """One request of a caller; `deadline` is in ms of the run."""

    service: str
    operation: str
    class_name: str
    key: str
    ingress: str
    sent: int
    deadline: int


def host_ids(scenario, service_name):
    """Return the hosts of a service, fastest first."""
    count = len(scenario.deployment.speeds[service_name])
    return [f'{service_name}-{number}' for number in range(1, count + 1)]


def faults_of(kind, scenario):
    """Return faults of the named kind, one host of each service."""
    if kind == 'none':
        return ()
    if kind not in {'slow', 'shed', 'silent', 'restart'}:
        raise errors.InvalidInputError(
            f'fault {kind!r}: expected none, slow, shed, silent or restart',
        )
    third = scenario.duration_ms // 3
    return tuple(
        Fault(host_ids(scenario, service.name)[0], kind, third, 2 * third)
        for service in scenario.services
    )


def calls(scenario):
    """Return all calls of the run, in order of time sent."""
    rng = random.Random(scenario.seed)
    everywhere = [
        host_id
        for service in scenario.services
        for host_id in host_ids(scenario, service.name)
    ]
    made = []
    for service in scenario.services:
        made.extend(_calls_of(scenario, service, everywhere, rng))
    return sorted(made, key=lambda call: call.sent)


def _calls_of(scenario, service, everywhere, rng):
    names = tuple(service.operations)
    shares = [OPERATIONS[name][0] for name in names]
    per_ms = scenario.load * capacity_per_s(scenario, service) / MS_PER_S
    sent = rng.expovariate(per_ms)
    while sent < scenario.duration_ms:
        operation = service.operations[rng.choices(names, shares)[0]]
        yield Call(
            service.name,
            operation.name,
            operation.class_name,
            _key(rng, int(sent)),
            rng.choice(everywhere),
            int(sent),
            int(sent) + operation.deadline_ms,
        )
        sent += rng.expovariate(per_ms)


def capacity_per_s(scenario, service):
    """Return requests a second that all backend servers could serve."""
    shares = sum(OPERATIONS[name][0] for name in service.operations)
    work_ms = sum(
        share * cost_ms
        for share, cost_ms in map(OPERATIONS.get, service.operations)
    )
    speed = sum(scenario.deployment.speeds[service.name])
    return speed * service.concurrent * MS_PER_S * shares / work_ms


def _key(rng, sent):
    """Return a key: a few hot ones, which move, get a fixed share."""
    if rng.random() < HOT_SHARE:
        period = sent // HOT_PERIOD_MS
        return f'key-{period * HOT_KEYS + rng.randrange(HOT_KEYS)}'
    return f'key-{rng.randrange(KEYS)}'
