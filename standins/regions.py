"""The Reykjavik and Accra deployments, as hosts on loopback."""

import itertools
import pathlib

import attrs

from laburnumlatch.operators import merge
from laburnumlatch.operators import publish
from standins import backend
from standins import callers
from standins import deployment

# Time per request of the hosts of a service, in turn: the fastest backend
# server is several times as fast as the slowest.
WORK_TIMES_MS = (4, 9, 14, 6, 20, 5, 11, 8, 16)
UPLOAD_BODY_BYTES = 1024 * 1024
SMALL_BODY_BYTES = 200
DEPLOY_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'deploy'


@attrs.define(frozen=True)
class Region:
    """A region with its services and the load on each route.

    `domains` are its failure domains. `services` are (name, number of hosts)
    pairs; `workers` are (number of callers, bytes of the request body) by
    name of the route.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[tuple[str, int], ...]
    workers: dict[str, tuple[int, int]]

    @property
    def files(self):
        """Directory with the operators' files of the region."""
        return DEPLOY_DIRECTORY / self.name

    def hosts(self):
        """Return a `deployment.HostSpec` for each host.

        Failure domains and work times are dealt out in turn to the hosts of a
        service.
        """
        services = {service.name: service for service in self._services()}
        specs = []
        for name, host_count in self.services:
            work_times_ms = itertools.cycle(WORK_TIMES_MS)
            domains = itertools.cycle(self.domains)
            specs.extend(
                deployment.HostSpec(
                    f'{name}-{number}',
                    backend.BackendProfile(
                        name,
                        next(domains),
                        services[name].is_divided,
                        next(work_times_ms),
                        connections=services[name].connections,
                    ),
                )
                for number in range(1, host_count + 1)
            )
        return specs

    def workloads(self):
        """Return a `callers.Workload` for each route."""
        return [
            self._workload(intent.service, route)
            for intent in self._intents()
            for route in intent.routes
        ]

    def workload(self, name):
        """Return the `callers.Workload` of the route of that name."""
        return next(
            workload
            for workload in self.workloads()
            if workload.route.name == name
        )

    def _workload(self, service, route):
        workers, body_bytes = self.workers[route.name]
        return callers.Workload(
            route, service.name, service.is_divided, workers, bytes(body_bytes)
        )

    def _services(self):
        return [intent.service for intent in self._intents()]

    def _intents(self):
        entries = publish.load_entries([str(self.files)])
        return [intent for intent, _place in merge.intents(entries)]


REYKJAVIK = Region(
    'reykjavik',
    ('grandi', 'breidholt', 'hafnarfj'),
    (('bokun', 9), ('moti', 3)),
    {
        'rack-lookup': (6, 0),
        'airing-booking': (4, SMALL_BODY_BYTES),
        'status-read': (3, 0),
        'depot-lookup': (2, 0),
        'quilt-photo': (2, UPLOAD_BODY_BYTES),
    },
)
ACCRA = Region(
    'accra',
    ('accra-tema', 'accra-osu', 'accra-kaneshie'),
    (('dealer-credits', 7), ('collections', 3)),
    {
        'credit-check': (6, 0),
        'payout': (4, SMALL_BODY_BYTES),
        'manifest-read': (3, 0),
        'shell-grade': (2, 0),
        'pickup-photos': (2, UPLOAD_BODY_BYTES),
    },
)
REGIONS = (REYKJAVIK, ACCRA)
