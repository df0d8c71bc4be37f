"""The two deployments of the design page, as hosts on loopback."""

import itertools
import pathlib

import attrs

from laburnumlatch.operators import merge
from laburnumlatch.operators import publish
from standins import backend
from standins import callers
from standins import deployment

# Backend servers differ several times in speed.
WORK_MS = (4, 9, 14, 6, 20, 5, 11, 8, 16)
UPLOAD_BYTES = 1024 * 1024
SMALL_BYTES = 200
DEPLOY = pathlib.Path(__file__).resolve().parent.parent / 'deploy'


@attrs.define(frozen=True)
class Region:
    """A region, its services and how many callers use each route.

    `services` are (name, number of hosts); `workers` are (number, bytes of
    the body) by route.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[tuple[str, int], ...]
    workers: dict[str, tuple[int, int]]

    @property
    def files(self):
        """Directory with the operators' files."""
        return DEPLOY / self.name

    def hosts(self):
        """Return the `deployment.HostSpec` of all hosts."""
        stated = {service.name: service for service in self._services()}
        specs = []
        for name, number in self.services:
            speeds = itertools.cycle(WORK_MS)
            domains = itertools.cycle(self.domains)
            specs.extend(
                deployment.HostSpec(
                    f'{name}-{position}',
                    backend.BackendProfile(
                        name,
                        next(domains),
                        stated[name].is_divided,
                        next(speeds),
                        connections=stated[name].connections,
                    ),
                )
                for position in range(1, number + 1)
            )
        return specs

    def works(self):
        """Return what the callers do."""
        return [
            self._work(intent.service, route)
            for intent in self._intents()
            for route in intent.routes
        ]

    def work(self, name):
        """Return the `callers.Workload` of one route."""
        return next(one for one in self.works() if one.route.name == name)

    def _work(self, service, route):
        workers, size = self.workers[route.name]
        return callers.Workload(
            route, service.name, service.is_divided, workers, bytes(size)
        )

    def _services(self):
        return [intent.service for intent in self._intents()]

    def _intents(self):
        entries = publish.collect([str(self.files)])
        return [intent for intent, _place in merge.intents(entries)]


REYKJAVIK = Region(
    'reykjavik',
    ('grandi', 'breidholt', 'hafnarfj'),
    (('bokun', 9), ('moti', 3)),
    {
        'rack-lookup': (6, 0),
        'airing-booking': (4, SMALL_BYTES),
        'status-read': (3, 0),
        'depot-lookup': (2, 0),
        'quilt-photo': (2, UPLOAD_BYTES),
    },
)
ACCRA = Region(
    'accra',
    ('accra-tema', 'accra-osu', 'accra-kaneshie'),
    (('dealer-credits', 7), ('collections', 3)),
    {
        'credit-check': (6, 0),
        'payout': (4, SMALL_BYTES),
        'manifest-read': (3, 0),
        'shell-grade': (2, 0),
        'pickup-photos': (2, UPLOAD_BYTES),
    },
)
REGIONS = (REYKJAVIK, ACCRA)
