"""Loads on services that are short of capacity, by kind of request.

The routes are those of a deployment in which a divided service runs long
reads of little urgency, short urgent requests, and the nested calls of
requests that run at another service.
"""

import types

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes

# The divided service and the one that is not.
_READS = fleetconfig.SERVICE
_DISPATCH = fleetconfig.OTHER_SERVICE


def _route(name, service, prefix, kind, timing, priority):
    """Return a route; `timing` is its target and timeout in ms."""
    target_ms, timeout_ms = timing
    return routes.Route(
        name=name,
        host=f'{service}.example',
        prefix=prefix,
        kind=kind,
        shares=(routes.Share(service, 1),),
        timeout_ms=timeout_ms,
        target_ms=target_ms,
        priority=priority,
        attempts=2,
    )


_SAFE = routes.Kind.SAFE
_ONCE = routes.Kind.ONCE
_ROUTES = (
    _route('dispatch', _DISPATCH, '/', _ONCE, (1019, 3057), 1),
    _route('history', _READS, '/history/', _SAFE, (3007, 6015), 2),
    _route('status', _READS, '/status/', _SAFE, (510, 2550), 0),
    _route('fault', _READS, '/fault/', _ONCE, (610, 2033), 1),
    _route('asset', _READS, '/asset/', _SAFE, (208, 623), 1),
)
CONFIGURATION = attrs.evolve(fleetconfig.CONFIGURATION, routes=_ROUTES)
_BY_NAME = types.MappingProxyType({route.name: route for route in _ROUTES})
WORK_MS = types.MappingProxyType({
    '/': 290,
    '/history/': 550,
    '/status/': 220,
    '/fault/': 180,
    '/asset/': 55,
})
SLOTS = 3
# Requests in each step of `fleetload`, by route. Six hosts run 0.33 reads.
_BUSY = types.MappingProxyType({'dispatch': 0.3, 'history': 0.36})
_MODERATE = types.MappingProxyType({'dispatch': 0.3, 'history': 0.3})
_MIXED = types.MappingProxyType({
    'dispatch': 0.3,
    'history': 0.3,
    'status': 0.3,
    'fault': 0.15,
})
# Six hosts run 3.3 asset reads or 1 fault report.
_ROUTE_BURST = types.MappingProxyType({'asset': 6, 'fault': 0.3})
_DOMAIN_BURST = types.MappingProxyType({
    'fault@d0': 2,
    'fault@d1': 0.2,
    'fault@d2': 0.2,
})
NESTED_SHARE = 0.8
# Other programs on a machine slow its server down about a fifth of the time.
SLOW_RATIO = 3
SLOW_MS = 400
SLOW_INTERVAL_MS = 2000


@attrs.define(frozen=True)
class OverloadPattern:
    """A load of several kinds at once, with the settings to compare with.

    `loads` has fields of `fleetload.Load` by the name of the route, followed by
    `@` and a domain if all callers are there. `before`
    are fields of `settings.Settings` that select the former policy.
    """

    name: str
    loads: dict
    before: dict = attrs.Factory(lambda: {'wait_policy': 'target'})
    owners: int = 6
    spread: float = 1
    has_slow_spells: bool = False
    duration_ms: int = 8000

    def measure(self, host_settings, seed=1):
        """Return the `Shares` of each kind of request with these settings."""
        fleet = deployment(self.owners, host_settings, seed)
        for backend in fleet.backends.values():
            backend.works = attrs.evolve(backend.works, spread=self.spread)
            if self.has_slow_spells:
                _schedule_slow_spells(fleet, backend, self.duration_ms)
        loads = {
            name: _load(fleet, name, fields)
            for name, fields in self.loads.items()
        }
        run(fleet, tuple(loads.values()), self.duration_ms)
        return {name: _shares(name, load) for name, load in loads.items()}


@attrs.define(frozen=True)
class Shares:
    """Shares of callers: answered in time, answered at all, failed after work.

    A request fails after work if its server responds with an error because a
    nested call was refused.
    """

    in_time: float
    answered: float
    lost_work: float


def deployment(owners=6, host_settings=None, seed=1):
    """Return a fleet of this configuration that has settled."""
    hosts = _hosts('b', _READS, owners)
    hosts += _hosts('m', _DISPATCH, 4)
    settings = {host[0]: host_settings or {} for host in hosts}
    fleet = fleetsim.Fleet(
        hosts, seed, configuration=CONFIGURATION, host_settings=settings
    )
    for backend in fleet.backends.values():
        backend.works = fleetbackend.Works(dict(WORK_MS))
        if backend.service == _READS:
            backend.slots = SLOTS
            continue
        backend.nested_calls = 1
        backend.calling = fleetbackend.Calling(
            NESTED_SHARE, '/asset/', _BY_NAME['asset'].timeout_ms
        )
    fleet.run(fleetsim.SETTLE_MS)
    return fleet


def _hosts(prefix, service, count):
    return [
        (f'{prefix}{number}', service, f'd{number % 3}')
        for number in range(count)
    ]


def run(fleet, loads, duration_ms):
    """Send all loads side by side, then wait until all requests have ended."""
    for _ in range(duration_ms // fleetload.STEP_MS):
        for sending in loads:
            sending.send()
        _step(fleet, loads)
    longest_ms = max(waiting.patience_ms for waiting in loads)
    for _ in range(longest_ms // fleetload.STEP_MS):
        _step(fleet, loads)


def _step(fleet, loads):
    fleet.run(fleetload.STEP_MS)
    for load in loads:
        load.process_outcomes()


def as_document(figures):
    """Return the figures as dicts, for JSON."""
    return {
        name: {when: _plain(shares) for when, shares in before_and_now.items()}
        for name, before_and_now in figures.items()
    }


def _plain(shares):
    if not isinstance(shares, dict):
        return shares
    return {kind: attrs.asdict(by_kind) for kind, by_kind in shares.items()}


def as_text(figures):
    """Return the lines of all patterns, of this module and of `fleetload`.

    `figures` holds results of `fleetload.compare` by name.
    """
    simple = {
        name: shares
        for name, shares in figures.items()
        if not isinstance(shares['before'], dict)
    }
    lines = [fleetload.as_text(simple)] if simple else []
    for name, shares in figures.items():
        if name not in simple:
            lines.append(f'{name}:\n')
            lines.extend(
                _line(kind, before, shares['now'][kind])
                for kind, before in shares['before'].items()
            )
    return ''.join(lines)


def _line(kind, before, now):
    return (
        f'  {kind}: in time {before.in_time:.2f} before,'
        f' {now.in_time:.2f} now; answered {before.answered:.2f},'
        f' {now.answered:.2f}; failed after work {before.lost_work:.2f},'
        f' {now.lost_work:.2f}\n'
    )


def _load(fleet, name, fields):
    route_name, _at, domain = name.partition('@')
    route = _BY_NAME[route_name]
    hosts = [
        host_id
        for host_id, its_domain in sorted(fleet.domains.items())
        if domain in {'', its_domain}
    ]
    return fleetload.Load(
        fleet,
        route.prefix,
        patience_ms=route.timeout_ms,
        hosts=tuple(hosts),
        **fields,
    )


def _shares(name, load):
    route = _BY_NAME[name.partition('@')[0]]
    outcomes = [load.fleet.outcomes[number] for number in load.started]
    lost = sum(
        isinstance(outcome, messages.Deliver)
        and outcome.answer.status == fleetbackend.STATUS_ERROR
        for outcome in outcomes
    )
    return Shares(
        in_time=load.share_answered_within(route.target_ms),
        answered=load.share_answered_within(route.timeout_ms),
        lost_work=lost / load.caller_count,
    )


def _schedule_slow_spells(fleet, backend, duration_ms):
    usual = backend.works
    slow = attrs.evolve(
        usual,
        by_path={
            path: SLOW_RATIO * usual_ms
            for path, usual_ms in usual.by_path.items()
        },
    )
    start = fleet.rng.randrange(SLOW_INTERVAL_MS)
    for begin in range(start, duration_ms, SLOW_INTERVAL_MS):
        fleet.schedule(begin, setattr, backend, 'works', slow)
        fleet.schedule(begin + SLOW_MS, setattr, backend, 'works', usual)


def patterns():
    """Return all patterns in a dict by name."""
    all_patterns = (
        OverloadPattern('calls', _requests(_BUSY)),
        OverloadPattern('calls-spread', _requests(_MODERATE), spread=3),
        OverloadPattern(
            'calls-slow-spells', _requests(_MODERATE), has_slow_spells=True
        ),
        OverloadPattern('mixed', _requests(_MIXED, retries=1)),
        OverloadPattern('burst-of-a-route', _requests(_ROUTE_BURST, retries=1)),
        OverloadPattern(
            'burst-of-a-domain', _requests(_DOMAIN_BURST, retries=1)
        ),
    )
    return {pattern.name: pattern for pattern in all_patterns}


def _requests(rates, retries=0):
    """Return the fields of a load for each route of `rates`."""
    return {
        name: {'per_step': rate, 'retries': retries}
        for name, rate in rates.items()
    }
