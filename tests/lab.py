"""Small deployments of real agents, for tests."""

import asyncio
import contextlib
import functools
import random

from standins import backend
from standins import callers
from standins import deployment
from standins import regions

SEED = 20261204
DOMAINS = regions.REYKJAVIK.domains
FILES = str(regions.REYKJAVIK.files)
LOOKUP = regions.REYKJAVIK.work('rack-lookup')
BOOKING = regions.REYKJAVIK.work('airing-booking')
STATUS_READ = regions.REYKJAVIK.work('status-read')
PHOTO_UPLOAD = regions.REYKJAVIK.work('quilt-photo')
ANSWERED = callers.Outcome.ANSWERED
NOT_RUN = callers.Outcome.NOT_RUN
READY_S = 15
KEY_COUNT = 65_536
MIDDLE_KEY = KEY_COUNT // 2


class Lab:
    """A deployment and its callers."""

    def __init__(self, running):
        self.deployment = running
        self.hosts = running.hosts
        self.callers = callers.Callers([], random.Random(SEED))
        # Request IDs must differ from those of the callers.
        self._probes = callers.Callers([], random.Random(SEED + 1))

    async def call(self, work, key=None, host_id='', request_id=''):
        """Send a request to the agent of a host, to any if not told."""
        address = self.hosts[host_id].caller_address if host_id else ''
        return await self.callers.call(work, key, address, request_id)

    async def probe(self, work, key, host_id):
        """Tell whether a request is answered; it is not recorded."""
        address = self.hosts[host_id].caller_address
        record = await self._probes.call(work, key, address)
        return record.outcome == ANSWERED

    async def call_all(self, work, keys, host_id=''):
        """Send a request for each key at once."""
        return await asyncio.gather(
            *(self.call(work, key, host_id) for key in keys)
        )

    def owner_of(self, key):
        """Return the host whose backend server holds a key."""
        (host_id,) = self.deployment.holders(key)
        return host_id

    def run_count(self, request_id):
        """Return how often a request ran at all backend servers together."""
        return sum(
            host.backend.runs[request_id] for host in self.hosts.values()
        )

    async def is_served(self, key, host_id):
        """Tell whether a lookup of a key is answered."""
        return await self.probe(LOOKUP, key, host_id)

    async def wait_until_served(self, keys, limit_s, host_id):
        """Wait until lookups of all keys are answered at the same time."""
        are_served = functools.partial(self._are_served, keys, host_id)
        await deployment.wait_until('served', are_served, limit_s)

    async def is_ready(self):
        """Tell whether every agent answers for all services."""
        for host_id in self.hosts:
            works = [(LOOKUP, key) for key in (0, MIDDLE_KEY, KEY_COUNT - 1)]
            works.append((STATUS_READ, None))
            for work, key in works:
                if not await self.probe(work, key, host_id):
                    return False
        return True

    async def _are_served(self, keys, host_id):
        found = [self.probe(LOOKUP, key, host_id) for key in keys]
        return all(await asyncio.gather(*found))


def specs(divided, others, **kind):
    """Return hosts `b1`.. of the divided service and `m1`.. of the other."""
    usual = {'work_ms': 30, **kind}
    return [
        deployment.HostSpec(
            f'{name}{number}',
            backend.BackendProfile(
                service, DOMAINS[number % 3], service == 'bokun', **usual
            ),
        )
        for name, service, count in (
            ('b', 'bokun', divided),
            ('m', 'moti', others),
        )
        for number in range(1, count + 1)
    ]


@contextlib.asynccontextmanager
async def running(folder, divided=2, others=1, proxied=(), **kind):
    """Yield a `Lab` whose agents all serve."""
    hosts = specs(divided, others, **kind)
    async with deployment.running(
        folder, hosts, FILES, proxied=proxied
    ) as running:
        built = Lab(running)
        built.callers.addresses.extend(
            host.caller_address for host in running.hosts.values()
        )
        await deployment.wait_until('ready', built.is_ready, READY_S)
        yield built
