"""Evacuation of a failure domain with real agents."""

import asyncio

import pytest

from laburnumlatch.mesh import settings
from tests import lab as labs

DOMAIN = labs.DOMAINS[1]
ROW = ('op', f'evacuate/{DOMAIN}')
BOUND_MS = settings.Bounds().evacuation_ms
STEP_MS = 50


async def serve(lab, duration_ms):
    """Send a lookup and a status read each 50 ms; return the outcomes."""
    calls = []
    for key in range(
        0, labs.KEY_COUNT, labs.KEY_COUNT * STEP_MS // duration_ms
    ):
        calls.append(asyncio.ensure_future(lab.call(labs.LOOKUP, key)))
        calls.append(asyncio.ensure_future(lab.call(labs.STATUS_READ)))
        await asyncio.sleep(STEP_MS / 1000)
    return {record.outcome for record in await asyncio.gather(*calls)}


def last_start(servers):
    """Return when one of the servers last began a request, in ms."""
    events = [event for server in servers for event in server.events]
    return max(event.at_ms for event in events if event.name == 'start')


class TestEvacuation:
    """A row of the store empties the backend servers of a domain."""

    @pytest.mark.time_limit(60)
    async def test_domain_empties_and_is_used_again(self, tmp_path):
        """Guards against rows that agents do not read, or whose end they miss.

        Callers notice nothing: each request is answered.
        """
        async with labs.running(tmp_path, divided=4, others=3) as lab:
            backends = [host.backend for host in lab.hosts.values()]
            inside = [one for one in backends if one.profile.domain == DOMAIN]
            lab.deployment.store.put([(*ROW, b'')])
            ends_at = inside[0].now() + BOUND_MS
            assert await serve(lab, BOUND_MS + 2000) == {labs.ANSWERED}
            assert last_start(inside) < ends_at
            assert not any(one.ledger.live_grants(one.now()) for one in inside)
            lab.deployment.store.remove(*ROW)
            await serve(lab, 3000)
            assert last_start(inside) > ends_at
            assert not lab.deployment.violations
