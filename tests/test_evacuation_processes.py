"""Evacuation of a failure domain with real agents."""

import asyncio

import pytest

from laburnumlatch.core import clock
from laburnumlatch.mesh import settings
from tests import lab as labs

DOMAIN = labs.DOMAINS[1]
ROW = ('op', f'evacuate/{DOMAIN}')
BOUND_MS = settings.Bounds().evacuation_ms
STEP_S = 0.05
KEYS = tuple(range(0, labs.KEY_COUNT, 1601))


async def serve(lab, duration_ms):
    """Send a lookup and a status read each 50 ms; return their records."""
    calls = []
    for number in range(int(duration_ms / clock.MS_PER_S / STEP_S)):
        key = KEYS[number % len(KEYS)]
        calls.append(asyncio.ensure_future(lab.call(labs.LOOKUP, key)))
        calls.append(asyncio.ensure_future(lab.call(labs.STATUS_READ)))
        await asyncio.sleep(STEP_S)
    return await asyncio.gather(*calls)


def starts_after(servers, after_ms):
    """Return when servers began requests later than a time, in ms."""
    return [
        event.at_ms
        for server in servers
        for event in server.events
        if event.name == 'start' and event.at_ms > after_ms
    ]


class TestEvacuation:
    """A row of the store empties the backend servers of a domain."""

    @pytest.mark.time_limit(60)
    async def test_domain_empties_and_is_used_again(self, tmp_path):
        """Guards against rows that agents do not read, or whose end they miss.

        Callers notice nothing: each request is answered.
        """
        async with labs.running(tmp_path, divided=4, others=3) as lab:
            servers = [
                host.backend
                for host in lab.hosts.values()
                if host.backend.profile.domain == DOMAIN
            ]
            lab.deployment.store.put([(*ROW, b'')])
            ends_at = servers[0].now() + BOUND_MS
            records = await serve(lab, BOUND_MS + 2000)
            assert {record.outcome for record in records} == {labs.ANSWERED}
            assert not starts_after(servers, ends_at)
            assert not any(
                server.ledger.live_grants(server.now()) for server in servers
            )
            ended_at = servers[0].now()
            lab.deployment.store.remove(*ROW)
            await serve(lab, 3000)
            assert starts_after(servers, ended_at)
            assert not lab.deployment.violations
