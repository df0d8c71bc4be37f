"""Periodic announcements of a stand-in backend server to its agent."""

import asyncio
import json

from tornado import httpclient

ANNOUNCE_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 1
STATUS_OK = 200


class Announcer:
    """Announces a backend server to the agent on its host."""

    def __init__(self, backend, control_address):
        """Announce `backend`, a `backend.Backend`.

        `control_address` is the `ip:port` of the agent for announcements.
        """
        self._backend = backend
        self._rpc_url = f'http://{control_address}/rpc'
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    async def run(self):
        """Announce at intervals until canceled.

        A server that is down or frozen makes no announcements.
        """
        while True:
            if self._backend.is_up and not self._backend.faults.is_frozen:
                await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self):
        """Announce once; return whether the agent acknowledged it."""
        backend = self._backend
        backend.sequence += 1
        announcement = {
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
            f'{self._rpc_url}?call=instances.heartbeat&of={backend.server_id}',
            method='POST',
            body=json.dumps(announcement),
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            # The agent does not run: the next announcement is the retry.
            return False
        return response.code == STATUS_OK
