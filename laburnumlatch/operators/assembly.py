"""One configuration from the intents of all services: pure functions."""

import attrs

from laburnumlatch.mesh import routes
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge


@attrs.define(frozen=True)
class Assembled:
    """A `configuration` without a version, and conflicts it settles."""

    configuration: routes.Configuration
    conflicts: tuple[configuration.Conflict, ...]


def assemble(entries):
    """Return the `Assembled` of a set of entries.

    Two services that claim one host name and path prefix, and a share of a
    service that no file states, are settled by leaving out: the first service
    by name keeps the route, the shares that are left get all requests.
    """
    draft = _Draft(merge.intents(entries))
    conflicts = (*merge.conflicts(entries), *draft.conflicts)
    return Assembled(draft.configuration(), conflicts)


class _Draft:
    """A configuration while intents are added to it."""

    def __init__(self, stated):
        """Take (`configuration.Intent`, place) of each service, by name."""
        self.conflicts = []
        self._limits = routes.Limits()
        self._taken = {}
        self._services = {
            intent.service.name: intent.service for intent, _place in stated
        }
        for intent, place in stated:
            self._limits = merge.stricter_limits(self._limits, intent.limits)
            for route in intent.routes:
                self._take(self._named(intent, route, place), place)

    def configuration(self):
        """Return what has been taken."""
        return routes.Configuration(
            version=0,
            routes=tuple(route for route, _place in self._taken.values()),
            services=self._services,
            limits=self._limits,
        )

    def _named(self, intent, route, place):
        """Return the route with a name of its own and shares that exist."""
        name = intent.service.name
        known = []
        for part in route.shares:
            if part.service in self._services:
                known.append(part)
            else:
                problem = (
                    f'route {route.name} names service {part.service}, '
                    'which no file states'
                )
                self._add_conflict(name, problem, place, place)
        shares = tuple(known) or (routes.Share(name, 1),)
        return attrs.evolve(route, name=f'{name}.{route.name}', shares=shares)

    def _take(self, route, place):
        """Add a route, unless another service has its place already."""
        claim = (route.host.lower(), route.prefix)
        if claim not in self._taken:
            self._taken[claim] = (route, place)
            return
        first, first_place = self._taken[claim]
        problem = (
            f'routes {first.name} and {route.name} claim one host and prefix'
        )
        service = route.name.partition('.')[0]
        self._add_conflict(service, problem, first_place, place)

    def _add_conflict(self, *fields):
        self.conflicts.append(configuration.Conflict(*fields))
