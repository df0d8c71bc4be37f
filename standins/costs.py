"""Measures processor time and memory of real agents on loopback.

The cost of a request is the slope of processor time over three numbers of
requests. It is measured at the agent whose backend server executes them, and
at an agent that only forwards.
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

IDLE_TIME_S = 5
NS_PER_US = 1000
US_PER_MS = 1000
IDLE_HOST_COUNTS = (2, 6, 12)
SETTLE_TIME_S = 4
READY_TIMEOUT_S = 20
WORKERS = 4
SEED = 20261204
# A request may miss its deadline on a busy machine: one in 50 is tolerated.
MIN_REQUESTS_PER_FAILURE = 50
BYTES_PER_MB = 1024 * 1024
PAGE_BYTES = 4096
OWNER = 'moti-1'
FORWARDER = 'bokun-1'
REQUEST_COUNTS = (
    ('status-read', (200, 400, 800)),
    ('quilt-photo', (10, 20, 40)),
)


def slope(points):
    """Return the least-squares slope of cost over size.

    `points` are (size, cost) pairs.
    """
    mean_size = sum(size for size, _ in points) / len(points)
    mean_cost = sum(cost for _size, cost in points) / len(points)
    covariance = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    return covariance / sum((size - mean_size) ** 2 for size, _ in points)


async def run():
    """Return {name of a figure: value, or a dict of values with units}."""
    figures = {}
    for host_count in IDLE_HOST_COUNTS:
        async with _deployed(host_count) as costs:
            figures[f'start, {host_count} hosts'] = {'ms': costs.start_ms}
            figures[f'idle agent, {host_count} hosts'] = await costs.idle()
            if host_count == IDLE_HOST_COUNTS[0]:
                figures.update(await costs.requests())
    return figures


@contextlib.asynccontextmanager
async def _deployed(host_count):
    """Yield `_AgentCosts` of a deployment of that many Reykjavik hosts.

    The first is `OWNER`, then follow hosts of `bokun` and of `moti`.
    """
    _progress(f'starting {host_count} hosts')
    specs = {spec.host_id: spec for spec in regions.REYKJAVIK.hosts()}
    host_ids = [OWNER, *(f'bokun-{number}' for number in range(1, 10))]
    host_ids += ['moti-2', 'moti-3']
    folder = tempfile.mkdtemp(prefix='laburnumlatch-')
    deployed = deployment.Deployment(
        folder, [specs[host_id] for host_id in host_ids[:host_count]]
    )
    try:
        await deployed.start(str(regions.REYKJAVIK.files))
        costs = _AgentCosts(deployed)
        await costs.settle()
        yield costs
    finally:
        await deployed.stop()
        shutil.rmtree(folder)


class _AgentCosts:
    """Measures the resources that the agents of a deployment use.

    `start_ms` is the mean processor time of the agents, in ms, when all have
    answered a request for the first time.
    """

    def __init__(self, deployed):
        """Measure a `deployment.Deployment` that has been started."""
        self._deployed = deployed
        self._callers = callers.Callers([], random.Random(SEED))
        self.start_ms = None

    async def settle(self):
        """Wait until all agents answer and know the other members."""
        await deployment.wait_until('served', self._is_served, READY_TIMEOUT_S)
        spent_us = [self._cpu_us(host_id) for host_id in self._deployed.hosts]
        self.start_ms = round(sum(spent_us) / len(spent_us) / US_PER_MS)
        await asyncio.sleep(SETTLE_TIME_S)

    async def idle(self):
        """Return processor time and memory of an agent without requests.

        Time is the mean of all agents, memory the highest.
        """
        before_us = [self._cpu_us(host_id) for host_id in self._deployed.hosts]
        await asyncio.sleep(IDLE_TIME_S)
        spent_us = [
            self._cpu_us(host_id) - start_us
            for host_id, start_us in zip(
                self._deployed.hosts, before_us, strict=True
            )
        ]
        memory_bytes = [
            self._memory_bytes(host_id) for host_id in self._deployed.hosts
        ]
        return {
            'us a second': round(sum(spent_us) / len(spent_us) / IDLE_TIME_S),
            'MB': round(max(memory_bytes) / BYTES_PER_MB, 1),
        }

    async def requests(self):
        """Return us per request by route, ingress agent and measured host."""
        figures = {}
        for name, counts in REQUEST_COUNTS:
            workload = regions.REYKJAVIK.workload(name)
            for ingress in (OWNER, FORWARDER):
                figures.update(await self._slopes(workload, ingress, counts))
        return figures

    async def _is_served(self):
        """Return whether every agent answers."""
        workload = regions.REYKJAVIK.workload('status-read')
        are_answered = [
            await self._request(workload, host_id)
            for host_id in self._deployed.hosts
        ]
        return all(are_answered)

    async def _slopes(self, workload, ingress, counts):
        points = [
            (count, await self._run_batch(workload, ingress, count))
            for count in counts
        ]
        return {
            f'{workload.route.name} by {ingress}: us at {host_id}': round(
                slope([
                    (count, spent_us[host_id]) for count, spent_us in points
                ])
            )
            for host_id in (OWNER, FORWARDER)
        }

    async def _run_batch(self, workload, ingress, count):
        """Send `count` requests; return processor time in us by host."""
        _progress(f'{count} x {workload.route.name} by {ingress}')
        host_ids = (OWNER, FORWARDER)
        before_us = {host_id: self._cpu_us(host_id) for host_id in host_ids}
        turns = iter(range(count))
        failure_count = sum(
            await asyncio.gather(
                *(
                    self._worker(workload, ingress, turns)
                    for _ in range(WORKERS)
                )
            )
        )
        if failure_count:
            _progress(f'{failure_count} of {count} requests failed')
        if failure_count * MIN_REQUESTS_PER_FAILURE > count:
            raise deployment.NotReadyError('too many requests failed')
        return {
            host_id: self._cpu_us(host_id) - before_us[host_id]
            for host_id in host_ids
        }

    async def _worker(self, workload, ingress, turns):
        """Send one request for each turn; return how many failed."""
        are_answered = [
            await self._request(workload, ingress) for _turn in turns
        ]
        return are_answered.count(False)

    async def _request(self, workload, ingress):
        address = self._deployed.hosts[ingress].caller_address
        record = await self._callers.call(workload, address=address)
        return record.outcome == callers.Outcome.ANSWERED

    def _proc_directory(self, host_id):
        return pathlib.Path(
            '/proc', str(self._deployed.hosts[host_id].agent.pid)
        )

    def _cpu_us(self, host_id):
        threads = self._proc_directory(host_id).glob('task/*/schedstat')
        cpu_ns = sum(int(path.read_text().split()[0]) for path in threads)
        return cpu_ns / NS_PER_US

    def _memory_bytes(self, host_id):
        pages = (self._proc_directory(host_id) / 'statm').read_text().split()[1]
        return int(pages) * PAGE_BYTES


def _progress(text):
    sys.stderr.write(f'{time.monotonic():.0f} s: {text}\n')
