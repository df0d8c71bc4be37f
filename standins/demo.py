"""The demo: a deployment under load that loses one of its agents."""

import asyncio
import collections
import contextlib
import random
import shutil
import signal
import sys
import tempfile
import time

import attrs

from laburnumlatch.core import clock
from laburnumlatch.mesh import routes
from laburnumlatch.operators import report as reports
from laburnumlatch.operators import state
from laburnumlatch.platform import configrowcodec
from laburnumlatch.platform import tablestore
from standins import callers
from standins import deployment
from standins import summary

SEED = 20261204
RUN_TIMEOUT_S = 50
READY_TIMEOUT_S = 20
PROGRESS_DELAY_S = 2
PROGRESS_INTERVAL_S = 1
# Long enough for the lease of the killed agent to end, and for the lease of
# the planner role if that agent held it.
RECOVERY_TIMEOUT_S = 15
RECOVERY_POLL_S = 0.05


@attrs.define(slots=False)
class Demo:
    """One run of the demo.

    `region` is a `regions.Region`; requests are sent for about `seconds`.
    `phase` says what the run is doing, for progress messages.
    """

    region: object
    seconds: float
    deployed: deployment.Deployment
    callers: callers.Callers
    phase: str = 'starting'

    async def run(self):
        """Run the demo; return its report as a dict for JSON."""
        await self.deployed.start(str(self.region.files))
        self.callers.addresses.extend(
            host.caller_address for host in self.deployed.hosts.values()
        )
        self.phase = 'waiting until every agent serves'
        await deployment.wait_until(
            'every agent answers for every service',
            self._are_all_answering,
            READY_TIMEOUT_S,
        )
        self.callers.records.clear()
        self.phase = 'sending requests'
        async with self._workers():
            await asyncio.sleep(self.seconds / 3)
            loss = await self._kill_busiest_agent()
            await asyncio.sleep(self.seconds / 3)
        self.phase = 'stopping'
        report = await self._report(loss)
        await self._stop()
        return report

    async def progress(self):
        """Write progress messages to stderr, after the first seconds."""
        started_at = time.monotonic()
        await asyncio.sleep(PROGRESS_DELAY_S)
        while True:
            elapsed_s = round(time.monotonic() - started_at)
            sys.stderr.write(
                f'{elapsed_s} s: {self.phase}, '
                f'{len(self.callers.records)} requests done\n',
            )
            await asyncio.sleep(PROGRESS_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def _workers(self):
        """Send requests until the block is left."""
        tasks = [
            asyncio.ensure_future(self.callers.run_worker(workload))
            for workload in self.region.workloads()
            for _ in range(workload.workers)
        ]
        tasks += [
            asyncio.ensure_future(self.callers.run_pipelining_worker(workload))
            for workload in self.region.workloads()
            if workload.route.kind == routes.Kind.SAFE
        ]
        try:
            yield
            self.callers.is_stopping = True
            await asyncio.gather(*tasks)
        finally:
            await _cancel(tasks)

    async def _are_all_answering(self):
        probes = {
            workload.service: workload for workload in self.region.workloads()
        }
        records = await asyncio.gather(
            *(
                self.callers.call(
                    workload, self.callers.random_key(workload), address
                )
                for address in self.callers.addresses
                for workload in probes.values()
            )
        )
        answered = callers.Outcome.ANSWERED
        return all(record.outcome == answered for record in records)

    async def _kill_busiest_agent(self):
        """Kill the agent that serves most keys; return the report on it."""
        workload = next(one for one in self.region.workloads() if one.is_keyed)
        servers = {
            record.key: record.answered_by
            for record in self.callers.records
            if record.workload.service == workload.service
            and record.answered_by
        }
        host_id = collections.Counter(servers.values()).most_common(1)[0][0]
        lost_keys = {
            key for key, server in servers.items() if server == host_id
        }
        self.phase = f'agent of {host_id} killed'
        host = self.deployed.hosts[host_id]
        self.callers.addresses.remove(host.caller_address)
        killed_at = time.monotonic()
        await self.deployed.kill_agent(host_id)
        missing_count = await self._count_missing(workload, lost_keys, host_id)
        return {
            'host': host_id,
            'keys': len(lost_keys),
            'missing': missing_count,
            'served_again': not missing_count,
            'after_ms': round((time.monotonic() - killed_at) * clock.MS_PER_S),
        }

    async def _count_missing(self, workload, lost_keys, host_id):
        """Request the keys until other hosts than `host_id` serve them all.

        Returns how many were not served before the timeout.
        """
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        missing_keys = set(lost_keys)
        while missing_keys and time.monotonic() < deadline:
            records = await asyncio.gather(
                *(
                    self.callers.call(workload, key)
                    for key in sorted(missing_keys)
                )
            )
            missing_keys -= {
                record.key
                for record in records
                if record.answered_by and record.answered_by != host_id
            }
            await asyncio.sleep(RECOVERY_POLL_S)
        return len(missing_keys)

    async def _report(self, loss):
        runs = {
            host_id: host.backend.run_counts.total()
            for host_id, host in self.deployed.hosts.items()
        }
        client = tablestore.TableStore(self.deployed.store_address)
        try:
            stored_state = await state.from_store(
                client, configrowcodec.PlatformCodec()
            )
        finally:
            client.close()
        return {
            'region': self.region.name,
            'requests': len(self.callers.records),
            'plans': reports.status(stored_state)['plans'],
            'runs': runs,
            'outcomes': summary.outcomes(self.callers.records),
            'loss': loss,
            'shared_keys': len(self.deployed.violations),
            'imbalance': summary.imbalance(self.region.hosts(), runs),
            'unavailable': summary.unavailable(self.callers.records),
            'store_calls': dict(self.deployed.store.calls),
        }

    async def _stop(self):
        """Stop the remaining agents in the planned way and wait for them."""
        for stopped_host_id in self.deployed.hosts:
            self.deployed.send_signal(stopped_host_id, signal.SIGTERM)
        await asyncio.gather(
            *(
                self.deployed.wait_for_exit(host_id)
                for host_id, host in self.deployed.hosts.items()
                if host.agent.returncode is None
            ),
            return_exceptions=True,
        )


async def run(region, seconds):
    """Run the demo in a region; return its report.

    All processes are ended, also after an error, a timeout or SIGTERM.
    """
    folder = tempfile.mkdtemp(prefix='laburnumlatch-')
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        asyncio.current_task().cancel,
    )
    deployed = deployment.Deployment(folder, region.hosts())
    demo = Demo(
        region, seconds, deployed, callers.Callers([], random.Random(SEED))
    )
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S), _background(demo.progress()):
            report = await demo.run()
    finally:
        await deployed.stop()
        # Its logs are not kept: the messages on stderr say why a run failed.
        shutil.rmtree(folder)
    return report


@contextlib.asynccontextmanager
async def _background(*coroutines):
    """Run coroutines as tasks until the block is left."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        await _cancel(tasks)


async def _cancel(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
