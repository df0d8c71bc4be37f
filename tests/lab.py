"""Small deployments of real agents, for tests over processes."""

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
LOOKUP = regions.REYKJAVIK.workload('rack-lookup')
BOOKING = regions.REYKJAVIK.workload('airing-booking')
STATUS_READ = regions.REYKJAVIK.workload('status-read')
PHOTO_UPLOAD = regions.REYKJAVIK.workload('quilt-photo')
ANSWERED = callers.Outcome.ANSWERED
NOT_RUN = callers.Outcome.NOT_RUN
CLOSED = callers.Outcome.CLOSED
READY_TIMEOUT_S = 15
KEY_COUNT = 65_536
MIDDLE_KEY = KEY_COUNT // 2


class Lab:
    """A started deployment, and callers that send requests to its agents."""

    def __init__(self, deployed):
        self.deployment = deployed
        self.hosts = deployed.hosts
        self.callers = callers.Callers([], random.Random(SEED))
        # Another seed, because request IDs of probes must differ from those of
        # recorded requests.
        self._probes = callers.Callers([], random.Random(SEED + 1))

    async def call(self, workload, key=None, host_id='', request_id=''):
        """Send a request to the agent of a host, or to a random agent."""
        address = self.hosts[host_id].caller_address if host_id else ''
        return await self.callers.call(workload, key, address, request_id)

    async def probe(self, workload, key, host_id):
        """Return whether a request is answered, without recording it."""
        address = self.hosts[host_id].caller_address
        record = await self._probes.call(workload, key, address)
        return record.outcome == ANSWERED

    async def call_all(self, workload, keys, host_id=''):
        """Send a request for each key, all at once; return the records."""
        return await asyncio.gather(
            *(self.call(workload, key, host_id) for key in keys)
        )

    def owner_of(self, key):
        """Return the only host whose backend server holds a key."""
        (host_id,) = self.deployment.holders(key)
        return host_id

    def run_count(self, request_id):
        """Return how often all backend servers together executed a request."""
        return sum(
            host.backend.run_counts[request_id] for host in self.hosts.values()
        )

    async def is_served(self, key, host_id):
        """Return whether a lookup of a key is answered."""
        return await self.probe(LOOKUP, key, host_id)

    async def wait_until_served(self, keys, limit_s, host_id):
        """Wait until lookups of all keys, sent at once, are answered."""
        are_served = functools.partial(self._are_served, keys, host_id)
        await deployment.wait_until('served', are_served, limit_s)

    async def is_ready(self):
        """Return whether every agent answers for all services."""
        for host_id in self.hosts:
            probes = [(LOOKUP, key) for key in (0, MIDDLE_KEY, KEY_COUNT - 1)]
            probes.append((STATUS_READ, None))
            for workload, key in probes:
                if not await self.probe(workload, key, host_id):
                    return False
        return True

    async def wait_until_answered(self, workload, limit_s, host_id='m1'):
        """Wait until a request without a key is answered at a host."""
        is_answered = functools.partial(self.probe, workload, None, host_id)
        await deployment.wait_until('answered', is_answered, limit_s)

    async def _are_served(self, keys, host_id):
        probes = [self.probe(LOOKUP, key, host_id) for key in keys]
        return all(await asyncio.gather(*probes))


def specs(divided, others, **profile):
    """Return `deployment.HostSpec`s of both services.

    `divided` is the number of hosts `b1`, `b2`, ... of the service divided by
    key, `others` that of hosts `m1`, `m2`, ... of the other one. `profile` has
    fields of a `backend.BackendProfile`.
    """
    fields = {'work_ms': 30, **profile}
    return [
        deployment.HostSpec(
            f'{name}{number}',
            backend.BackendProfile(
                service, DOMAINS[number % 3], service == 'bokun', **fields
            ),
        )
        for name, service, count in (
            ('b', 'bokun', divided),
            ('m', 'moti', others),
        )
        for number in range(1, count + 1)
    ]


@contextlib.asynccontextmanager
async def running(
    folder, divided=2, others=1, proxied=(), limits=None, **profile
):
    """Yield a `Lab` whose agents all answer; the hosts are as in `specs`.

    A proxy stands in front of the backend servers of the hosts in `proxied`.
    `limits` are the `self.limits` of the agents' settings.
    """
    host_specs = specs(divided, others, **profile)
    async with deployment.running(
        folder, host_specs, FILES, proxied=proxied, limits=limits
    ) as deployed:
        lab = Lab(deployed)
        lab.callers.addresses.extend(
            host.caller_address for host in deployed.hosts.values()
        )
        await deployment.wait_until('ready', lab.is_ready, READY_TIMEOUT_S)
        yield lab
