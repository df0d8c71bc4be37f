"""Starts a deployment, sends requests, kills an agent, reports, stops."""

import asyncio
import collections
import contextlib
import functools
import json
import random
import shutil
import signal
import sys
import time

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import store
from laburnumlatch.core import wire
from laburnumlatch.slots import planrows
from standins import processes
from standins import summary
from standins import traffic

SEED = 20261204
LIMIT_S = 50
MEMBERS_LIMIT_S = 6
READY_LIMIT_S = 15
QUIET_S = 2
PROGRESS_S = 1
WATCH_S = 0.25
SERVED_LIMIT_S = 8
KEY_POLL_S = 0.02
STOP_LIMIT_S = 5
MS_PER_S = 1000


@attrs.define(slots=False)
class Demo:
    """One run over `region`, a `deployments.Region`, for `seconds`."""

    region: object
    seconds: float
    deployment: processes.Deployment
    callers: traffic.Traffic
    phase: str = 'starting'
    plans: dict[str, planrows.Plan] = attrs.Factory(dict)
    churn: collections.Counter = attrs.Factory(collections.Counter)

    async def run(self):
        """Return the report of the run."""
        await self._start()
        async with _tasks(self._watch_plans()):
            await self._ready()
            async with self._workers():
                await asyncio.sleep(self.seconds / 3)
                loss = await self._lose_agent()
                await asyncio.sleep(self.seconds / 3)
            report = await self._report(loss)
        self.phase = 'stopping'
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
            for work in self.region.works
            for _ in range(work.workers)
        ]
        try:
            yield
            self.callers.stopping = True
            await asyncio.gather(*running)
        finally:
            await _cancel(running)

    async def _start(self):
        deployment = self.deployment
        await deployment.start_platform()
        specs = self.region.hosts()
        for spec in specs:
            await deployment.start_host(spec)
        self.callers.addresses.extend(deployment.agents.values())
        self.phase = 'waiting for members'
        # A plan made before all hosts are there would have to be changed.
        with contextlib.suppress(processes.NotReadyError):
            await processes.until(
                'all hosts are members',
                lambda: self._has_members(len(specs)),
                MEMBERS_LIMIT_S,
            )
        self.phase = 'publishing'
        await deployment.publish(self.region.files)

    async def _has_members(self, number):
        found = await self._store.scan('member/')
        return len(found) >= number

    @functools.cached_property
    def _store(self):
        return store.HttpStore(self.deployment.store)

    async def _ready(self):
        """Wait until each service has answered through each agent."""
        self.phase = 'waiting until every agent serves'
        await processes.until(
            'every agent answers for every service',
            self._all_answer,
            READY_LIMIT_S,
        )
        self.callers.records.clear()
        self.churn.clear()
        self.phase = 'sending requests'

    async def _all_answer(self):
        probes = {work.service: work for work in reversed(self.region.works)}
        records = await asyncio.gather(
            *(
                self.callers.call(work, f'{service}-key-{number}', address)
                for number, address in enumerate(self.callers.addresses)
                for service, work in probes.items()
            )
        )
        return all(record.server for record in records)

    async def _watch_plans(self):
        while True:
            # The store may be slow; the next look counts the moves then.
            with contextlib.suppress(errors.LaburnumlatchError):
                await self._look_at_plans()
            await asyncio.sleep(WATCH_S)

    async def _look_at_plans(self):
        for row in await self._store.scan('plan/'):
            plan = wire.unpack(row.body, planrows.Plan)
            known = self.plans.get(plan.service, plan)
            self.plans[plan.service] = plan
            self.churn[plan.service] += sum(
                old.owner.host_id != new.owner.host_id
                for old, new in zip(known.slots, plan.slots, strict=True)
            )

    async def _lose_agent(self):
        """Kill the agent that serves most keys; return what followed."""
        work = self.region.works[0]
        served = {
            record.key: record.server
            for record in self.callers.records
            if record.service == work.service and record.server
        }
        host_id = collections.Counter(served.values()).most_common(1)[0][0]
        lost = {key for key, server in served.items() if server == host_id}
        self.phase = f'agent of {host_id} killed'
        self.deployment.processes.send_signal(
            f'{host_id}-agent',
            signal.SIGKILL,
        )
        began = time.monotonic()
        address = self.deployment.agents[host_id]
        self.callers.addresses.remove(address)
        missing = await self._missing(work, lost, host_id)
        return {
            'host': host_id,
            'keys': len(lost),
            'missing': missing,
            'served_again': not missing,
            'after_ms': round((time.monotonic() - began) * MS_PER_S),
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
        specs = self.region.hosts()
        runs = {}
        for spec in specs:
            address = self.deployment.backends[spec.host_id]
            response = await processes.ask(f'http://{address}/record')
            runs[spec.host_id] = sum(
                json.loads(response.body)['runs'].values(),
            )
        await self._look_at_plans()
        platform = await processes.ask(
            f'http://{self.deployment.store}/faults',
        )
        return {
            'region': self.region.name,
            'requests': len(self.callers.records),
            'owners': self._owners(),
            'runs': runs,
            'outcomes': summary.outcomes(self.callers.records),
            'loss': loss,
            'imbalance': summary.imbalance(specs, runs),
            'churn': dict(self.churn),
            'unavailable': summary.unavailable(self.callers.records),
            'store': json.loads(platform.body),
        }

    def _owners(self):
        return {
            service: dict(
                sorted(
                    collections.Counter(
                        slot.owner.host_id for slot in plan.slots
                    ).items()
                )
            )
            for service, plan in sorted(self.plans.items())
        }

    async def _stop(self):
        own = self.deployment.processes
        agents = [f'{host}-agent' for host in self.deployment.agents]
        for agent in agents:
            own.send_signal(agent, signal.SIGTERM)
        await asyncio.gather(
            *(own.wait(stopping, STOP_LIMIT_S) for stopping in agents),
            return_exceptions=True,
        )


async def run(region, seconds):
    """Run the demo; end all its processes however it ends."""
    own = processes.Processes()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        asyncio.current_task().cancel,
    )
    demo = Demo(
        region,
        seconds,
        processes.Deployment(own, region.name),
        traffic.Traffic([], random.Random(SEED)),
    )
    try:
        async with asyncio.timeout(LIMIT_S), _tasks(demo.progress()):
            report = await demo.run()
    finally:
        await own.end_all()
        # A run that failed or was stopped is judged by its messages.
        shutil.rmtree(own.folder)
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
