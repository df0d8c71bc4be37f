"""Processor time and memory of real agents on loopback.

Request costs are slopes over three numbers of requests, at the agent that
serves them and at one that only forwards.
"""

import asyncio
import contextlib
import pathlib
import random
import shutil
import sys
import tempfile
import time

from standins import callers
from standins import deployment
from standins import regions

IDLE_S = 5
NS_PER_US = 1000
IDLE_HOSTS = (2, 6, 12)
SETTLE_S = 4
READY_LIMIT_S = 20
WORKERS = 4
SEED = 20261204
# A lookup may miss its deadline on a busy machine: one in 50.
MIN_ANSWERED = 50
MEGABYTE = 1024 * 1024
PAGE_BYTES = 4096
OWNER = 'moti-1'
FORWARDER = 'bokun-1'
WORKS = (
    ('status-read', (200, 400, 800)),
    ('quilt-photo', (10, 20, 40)),
)


def slope(points):
    """Return the least-squares slope of (size, cost) pairs."""
    mean_size = sum(size for size, _ in points) / len(points)
    mean_cost = sum(cost for _size, cost in points) / len(points)
    above = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    return above / sum((size - mean_size) ** 2 for size, _ in points)


async def run():
    """Return the measured figures by name."""
    found = {}
    for hosts in IDLE_HOSTS:
        async with _measured(hosts) as measured:
            found[f'idle agent, {hosts} hosts'] = await measured.idle()
            if hosts == IDLE_HOSTS[0]:
                found.update(await measured.requests())
    return found


@contextlib.asynccontextmanager
async def _measured(hosts):
    """Yield a `_Measured` of one host of `moti` and others beside it."""
    _progress(f'starting {hosts} hosts')
    specs = {spec.host_id: spec for spec in regions.REYKJAVIK.hosts()}
    names = [OWNER, *(f'bokun-{number}' for number in range(1, 10))]
    names += ['moti-2', 'moti-3']
    folder = tempfile.mkdtemp(prefix='laburnumlatch-')
    running = deployment.Deployment(
        folder, [specs[name] for name in names[:hosts]]
    )
    try:
        await running.start(str(regions.REYKJAVIK.files))
        measured = _Measured(running)
        await measured.settle()
        yield measured
    finally:
        await running.stop()
        shutil.rmtree(folder)


class _Measured:
    """A running deployment, and what its agents spend."""

    def __init__(self, running):
        """Measure `running`, a `deployment.Deployment`."""
        self._running = running
        self._callers = callers.Callers([], random.Random(SEED))

    async def settle(self):
        """Wait until requests are served and members are known."""
        await deployment.wait_until('served', self._is_served, READY_LIMIT_S)
        await asyncio.sleep(SETTLE_S)

    async def idle(self):
        """Return what an agent spends without requests."""
        before = [self._cpu_us(name) for name in self._running.hosts]
        await asyncio.sleep(IDLE_S)
        spent = [
            self._cpu_us(name) - began
            for name, began in zip(self._running.hosts, before, strict=True)
        ]
        memory = [self._memory_bytes(name) for name in self._running.hosts]
        return {
            'us a second': round(sum(spent) / len(spent) / IDLE_S),
            'MB': round(max(memory) / MEGABYTE, 1),
        }

    async def requests(self):
        """Return us a request by route, ingress and host."""
        found = {}
        for name, counts in WORKS:
            work = regions.REYKJAVIK.work(name)
            for ingress in (OWNER, FORWARDER):
                found.update(await self._slopes(work, ingress, counts))
        return found

    async def _is_served(self):
        """Tell whether every agent answers."""
        work = regions.REYKJAVIK.work('status-read')
        found = [await self._ask(work, name) for name in self._running.hosts]
        return all(found)

    async def _slopes(self, work, ingress, counts):
        points = [
            (count, await self._batch(work, ingress, count)) for count in counts
        ]
        return {
            f'{work.route.name} by {ingress}: us at {host_id}': round(
                slope([(count, spent[host_id]) for count, spent in points])
            )
            for host_id in (OWNER, FORWARDER)
        }

    async def _batch(self, work, ingress, count):
        """Send `count` requests; return us of processor time by host."""
        _progress(f'{count} x {work.route.name} by {ingress}')
        names = (OWNER, FORWARDER)
        before = {name: self._cpu_us(name) for name in names}
        numbers = iter(range(count))
        failed = sum(
            await asyncio.gather(
                *(self._worker(work, ingress, numbers) for _ in range(WORKERS))
            )
        )
        if failed:
            _progress(f'{failed} of {count} requests failed')
        if failed * MIN_ANSWERED > count:
            raise deployment.NotReadyError('too many requests failed')
        return {name: self._cpu_us(name) - before[name] for name in names}

    async def _worker(self, work, ingress, numbers):
        """Send requests in turn; return how many failed."""
        answered = [await self._ask(work, ingress) for _number in numbers]
        return answered.count(False)

    async def _ask(self, work, ingress):
        address = self._running.hosts[ingress].caller_address
        record = await self._callers.call(work, address=address)
        return record.outcome == callers.Outcome.ANSWERED

    def _folder(self, host_id):
        return pathlib.Path(
            '/proc', str(self._running.hosts[host_id].agent.pid)
        )

    def _cpu_us(self, host_id):
        threads = self._folder(host_id).glob('task/*/schedstat')
        spent_ns = sum(int(path.read_text().split()[0]) for path in threads)
        return spent_ns / NS_PER_US

    def _memory_bytes(self, host_id):
        pages = (self._folder(host_id) / 'statm').read_text().split()[1]
        return int(pages) * PAGE_BYTES


def _progress(text):
    sys.stderr.write(f'{time.monotonic():.0f} s: {text}\n')
