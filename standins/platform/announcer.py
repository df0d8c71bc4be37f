"""How a stand-in backend server keeps its agent informed."""

import asyncio
import json

from tornado import httpclient

INTERVAL_S = 0.3
TIMEOUT_S = 1
STATUS_OK = 200


class Announcer:
    """Announces a backend server to the agent on its host."""

    def __init__(self, backend, control_address):
        """Announce `backend`, a `backend.Backend`, at an `ip:port`."""
        self._backend = backend
        self._base = f'http://{control_address}/rpc'
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    async def run(self):
        """Announce until canceled."""
        while True:
            if self._backend.is_up and not self._backend.faults.is_frozen:
                await self.announce()
            await asyncio.sleep(INTERVAL_S)

    async def announce(self):
        """Announce once; return whether the agent has confirmed it."""
        backend = self._backend
        backend.sequence += 1
        body = {
            'service': backend.profile.service,
            'address': backend.address,
            'zone': backend.profile.domain,
            'version': 'v1',
            'slots': backend.profile.slots,
            'state': 'draining' if backend.is_draining else 'ready',
            'cold_remaining': '0ms',
            'sequence': backend.sequence,
            'born': backend.born,
        }
        request = httpclient.HTTPRequest(
            f'{self._base}?call=instances.heartbeat&of={backend.server_id}',
            method='POST',
            body=json.dumps(body),
            request_timeout=TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            # The agent is not up; the next announcement finds it.
            return False
        return response.code == STATUS_OK
