"""The configuration that operators publish: routes, services and limits.

Each accepted version is one `Configuration`.
"""

import enum

import attrs

from laburnumlatch.core import records

DEFAULT_PRIORITY = 1


class Kind(enum.StrEnum):
    """Kind of a request; says whether it may be retried.

    `SAFE` requests may run more than once, the others at most once.
    """

    SAFE = 'safe'
    ONCE = 'once'
    UPLOAD = 'upload'


@records.define(frozen=True)
class Share:
    """A service that receives requests of a route in proportion to `weight`."""

    service: str
    weight: float


@records.define(frozen=True)
class Route:
    """Selects services for requests by host name and path prefix.

    `timeout_ms` and `target_ms`, the target latency, are None if there is no
    limit. `attempts` is the largest number of backend servers that one
    request may be sent to. Priority 0 is the most urgent. `regions` are those
    that requests of the route may reach; empty means all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_ms: int | None = None
    target_ms: int | None = None
    priority: int = DEFAULT_PRIORITY
    attempts: int = 1
    regions: frozenset[str] = frozenset()


@records.define(frozen=True)
class Service:
    """The configuration of a service.

    `connections` is its connection limit, and `is_divided` says whether the
    service is divided by key. Keys that move without a handover token from
    their former owner are served slowly for `warmup_ms`. A server that has
    started during traffic is cold for `cold_start_ms`, and while it is cold it
    bears `cold_per_s` requests a second; 0 means that it has no such limit.
    """

    name: str
    health_path: str
    connections: int
    is_divided: bool = False
    warmup_ms: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0


@records.define(frozen=True)
class Limits:
    """Limits on what callers send and on how long they may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@records.define(frozen=True)
class Configuration:
    """One accepted version; a higher version replaces a lower one.

    `services` holds the services by name.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.Factory(dict)
    limits: Limits = attrs.Factory(Limits)
    _by_place: dict[tuple[str, str], Route] = attrs.field(
        init=False, repr=False, eq=False
    )
    _longest_prefix: int = attrs.field(init=False, repr=False, eq=False)

    def match(self, host, path):
        """Return the route with the longest matching prefix, or None.

        `host` may include a port. All prefixes end with a slash, so only
        parts of `path` up to a slash are looked up, and none that is longer
        than every prefix.
        """
        name = host.partition(':')[0].lower()
        end = path.rfind('/', 0, self._longest_prefix) + 1
        while end > 0:
            route = self._by_place.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    @_by_place.default
    def _index_routes(self):
        return {(route.host, route.prefix): route for route in self.routes}

    @_longest_prefix.default
    def _measure_prefixes(self):
        return max((len(route.prefix) for route in self.routes), default=0)
