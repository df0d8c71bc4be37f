"""Routes, services and limits of one version of the configuration."""

import enum

import attrs

DEFAULT_PRIORITY = 1


class Kind(enum.StrEnum):
    """How a request may be treated.

    `SAFE` requests may run more than once, the others at most once.
    """

    SAFE = 'safe'
    ONCE = 'once'
    UPLOAD = 'upload'


@attrs.define(frozen=True)
class Share:
    """A service that gets a part of a route's requests, by weight."""

    service: str
    weight: float


@attrs.define(frozen=True)
class Route:
    """Where requests of a host name and path prefix go.

    Durations are in ms, None if there is no bound. `attempts` is the most
    backend servers that one request may be sent to; priority 0 is the most
    urgent.
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


@attrs.define(frozen=True)
class Service:
    """What the configuration says of a service.

    Keys that arrive without the handover of their last owner are slow for
    `warmup_ms`.
    """

    name: str
    health_path: str
    connections: int
    is_divided: bool = False
    warmup_ms: int = 0


@attrs.define(frozen=True)
class Limits:
    """What a caller may send, and how long it may stay idle; ms and bytes."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@attrs.define(frozen=True)
class Configuration:
    """One accepted version; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.Factory(dict)
    limits: Limits = attrs.Factory(Limits)
    _by_place: dict[tuple[str, str], Route] = attrs.field(
        init=False, repr=False, eq=False
    )

    def match(self, host, path):
        """Return the route with the longest prefix of `path`, or None.

        `host` may carry a port. Prefixes end with a slash, so only those
        parts of the path that do have to be looked up.
        """
        name = host.partition(':')[0].lower()
        end = path.rfind('/') + 1
        while end > 0:
            route = self._by_place.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    @_by_place.default
    def _index(self):
        return {(route.host, route.prefix): route for route in self.routes}
