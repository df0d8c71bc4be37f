"""Builds one configuration from the intents of all services, without I/O."""

import attrs

from laburnumlatch.mesh import routes
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge


@attrs.define(frozen=True)
class Assembled:
    """A merged configuration and the conflicts that were resolved for it.

    The version of `configuration` is 0 until it is published.
    """

    configuration: routes.Configuration
    conflicts: tuple[configuration.Conflict, ...]


def assemble(entries):
    """Return the `Assembled` configuration of a set of entries.

    If two services claim the same host name and path prefix, the service
    whose name sorts first keeps the route and the other route is left out.
    A share of a service that no file declares is left out too; the remaining
    shares get all requests of the route. Both are reported as conflicts.
    """
    builder = _Builder(merge.intents(entries))
    conflicts = (*merge.conflicts(entries), *builder.conflicts)
    return Assembled(builder.configuration(), conflicts)


class _Builder:
    """Adds the intents of all services to one configuration."""

    def __init__(self, intents):
        """Add (`configuration.Intent`, place) pairs, sorted by service name."""
        self.conflicts = []
        self._limits = routes.Limits()
        self._routes = {}
        self._services = {
            intent.service.name: intent.service for intent, _place in intents
        }
        for intent, place in intents:
            self._limits = merge.stricter_limits(self._limits, intent.limits)
            for route in intent.routes:
                self._add_route(
                    self._qualify_route(intent, route, place), place
                )

    def configuration(self):
        """Return the configuration of all intents, with version 0."""
        return routes.Configuration(
            version=0,
            routes=tuple(route for route, _place in self._routes.values()),
            services=self._services,
            limits=self._limits,
        )

    def _qualify_route(self, intent, route, place):
        """Return a route named `SERVICE.ROUTE`, with its valid shares only.

        A share of an unknown service becomes a conflict. If no share is left,
        the service itself gets all requests.
        """
        name = intent.service.name
        valid_shares = []
        for share in route.shares:
            if share.service in self._services:
                valid_shares.append(share)
            else:
                problem = (
                    f'route {route.name} names service {share.service}, '
                    'which no file states'
                )
                self._add_conflict(name, problem, place, place)
        shares = tuple(valid_shares) or (routes.Share(name, 1),)
        return attrs.evolve(route, name=f'{name}.{route.name}', shares=shares)

    def _add_route(self, route, place):
        """Add a route, or a conflict if its host and prefix are in use."""
        location = (route.host.lower(), route.prefix)
        if location not in self._routes:
            self._routes[location] = (route, place)
            return
        first, first_place = self._routes[location]
        problem = (
            f'routes {first.name} and {route.name} claim one host and prefix'
        )
        service = route.name.partition('.')[0]
        self._add_conflict(service, problem, first_place, place)

    def _add_conflict(self, *fields):
        self.conflicts.append(configuration.Conflict(*fields))
