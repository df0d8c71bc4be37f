"""Starts a deployment, sends requests, kills an agent, reports, stops."""

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
from laburnumlatch.operators import report as reports
from laburnumlatch.operators import state
from laburnumlatch.platform import configrowcodec
from laburnumlatch.platform import tablestore
from standins import callers
from standins import deployment
from standins import summary

SEED = 20261204
LIMIT_S = 50
READY_LIMIT_S = 20
QUIET_S = 2
PROGRESS_S = 1
# A lost agent's lease, and that of a planner lost with it, have ended by then.
SERVED_LIMIT_S = 15
KEY_POLL_S = 0.05


@attrs.define(slots=False)
class Demo:
    """One run over `region`, a `regions.Region`, for `seconds`."""

    region: object
    seconds: float
    running: deployment.Deployment
    callers: callers.Callers
    phase: str = 'starting'

    async def run(self):
        """Return the report of the run."""
        await self.running.start(str(self.region.files))
        self.callers.addresses.extend(
            host.caller_address for host in self.running.hosts.values()
        )
        self.phase = 'waiting until every agent serves'
        await deployment.until(
            'every agent answers for every service',
            self._all_answer,
            READY_LIMIT_S,
        )
        self.callers.records.clear()
        self.phase = 'sending requests'
        async with self._workers():
            await asyncio.sleep(self.seconds / 3)
            loss = await self._lose_agent()
            await asyncio.sleep(self.seconds / 3)
        self.phase = 'stopping'
        report = await self._report(loss)
        await self._stop()
        return report

    async def progress(self):
        """Write what goes on, once it has taken a while."""
        began = time.monotonic()
        await asyncio.sleep(QUIET_S)
        while True:
            passed = round(time.monotonic() - began)
            sys.stderr.write(
                f'{passed} s: {self.phase}, '
                f'{len(self.callers.records)} requests done\n',
            )
            await asyncio.sleep(PROGRESS_S)

    @contextlib.asynccontextmanager
    async def _workers(self):
        running = [
            asyncio.ensure_future(self.callers.worker(work))
            for work in self.region.works()
            for _ in range(work.workers)
        ]
        try:
            yield
            self.callers.is_stopping = True
            await asyncio.gather(*running)
        finally:
            await _cancel(running)

    async def _all_answer(self):
        probes = {work.service: work for work in self.region.works()}
        records = await asyncio.gather(
            *(
                self.callers.call(work, self.callers.any_key(work), address)
                for address in self.callers.addresses
                for work in probes.values()
            )
        )
        answered = callers.Outcome.ANSWERED
        return all(record.outcome == answered for record in records)

    async def _lose_agent(self):
        """Kill the agent that serves most keys; return what followed."""
        work = next(one for one in self.region.works() if one.is_keyed)
        served = {
            record.key: record.server
            for record in self.callers.records
            if record.work.service == work.service and record.server
        }
        host_id = collections.Counter(served.values()).most_common(1)[0][0]
        lost = {key for key, server in served.items() if server == host_id}
        self.phase = f'agent of {host_id} killed'
        host = self.running.hosts[host_id]
        self.callers.addresses.remove(host.caller_address)
        began = time.monotonic()
        await self.running.kill(host_id)
        missing = await self._missing(work, lost, host_id)
        return {
            'host': host_id,
            'keys': len(lost),
            'missing': missing,
            'served_again': not missing,
            'after_ms': round((time.monotonic() - began) * clock.MS_PER_S),
        }

    async def _missing(self, work, lost, host_id):
        """Ask for the keys until other hosts serve them; count the rest."""
        limit = time.monotonic() + SERVED_LIMIT_S
        left = set(lost)
        while left and time.monotonic() < limit:
            records = await asyncio.gather(
                *(self.callers.call(work, key) for key in sorted(left))
            )
            left -= {
                record.key
                for record in records
                if record.server and record.server != host_id
            }
            await asyncio.sleep(KEY_POLL_S)
        return len(left)

    async def _report(self, loss):
        runs = {
            host_id: host.backend.runs.total()
            for host_id, host in self.running.hosts.items()
        }
        client = tablestore.TableStore(self.running.store_address)
        try:
            known = await state.from_store(
                client, configrowcodec.PlatformCodec()
            )
        finally:
            client.close()
        return {
            'region': self.region.name,
            'requests': len(self.callers.records),
            'plans': reports.status(known)['plans'],
            'runs': runs,
            'outcomes': summary.outcomes(self.callers.records),
            'loss': loss,
            'shared_keys': len(self.running.violations),
            'imbalance': summary.imbalance(self.region.hosts(), runs),
            'unavailable': summary.unavailable(self.callers.records),
            'store_calls': dict(self.running.store.calls),
        }

    async def _stop(self):
        for stopping in self.running.hosts:
            self.running.send_signal(stopping, signal.SIGTERM)
        await asyncio.gather(
            *(
                self.running.wait(host_id)
                for host_id, host in self.running.hosts.items()
                if host.agent.returncode is None
            ),
            return_exceptions=True,
        )


async def run(region, seconds):
    """Run the demo; end all its processes however it ends."""
    folder = tempfile.mkdtemp(prefix='laburnumlatch-')
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        asyncio.current_task().cancel,
    )
    running = deployment.Deployment(folder, region.hosts())
    demo = Demo(
        region, seconds, running, callers.Callers([], random.Random(SEED))
    )
    try:
        async with asyncio.timeout(LIMIT_S), _tasks(demo.progress()):
            report = await demo.run()
    finally:
        await running.stop()
        # A run that failed or was stopped is judged by its messages.
        shutil.rmtree(folder)
    return report


@contextlib.asynccontextmanager
async def _tasks(*coroutines):
    """Run coroutines until the block is left."""
    running = [asyncio.ensure_future(one) for one in coroutines]
    try:
        yield
    finally:
        await _cancel(running)


async def _cancel(running):
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
