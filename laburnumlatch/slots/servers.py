"""Front end to the local backend server: grants and probes."""

import asyncio
import json

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.slots import servermsg

# Well under the lease of 1 s, so that a renewal can be tried again in time.
TIMEOUT_MS = 300
MS_PER_S = 1000
MAX_CLIENTS = 4
STATUS_OK = 200
STATUS_CONFLICT = 409

_log = logs.logger('servers')


class Servers(frontends.FrontEnd):
    """Sends grants one batch after another, and one probe at a time.

    Grants are never under way twice: a renewal that arrives after a
    revocation would undo it. While a batch is under way the newest grant of
    each slot waits.
    """

    kinds = (servermsg.GiveGrants, servermsg.Probe)

    def __init__(self, post):
        """Open nothing until there is something to send."""
        super().__init__(post)
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
        )
        self._waiting = {}
        self._tasks = {}

    async def start(self):
        """Open nothing: connections are made when they are needed."""

    async def stop(self):
        """Send the grants that wait, such as revocations, and close."""
        giving = self._tasks.get(servermsg.GiveGrants)
        if giving is not None:
            await asyncio.wait((giving,), timeout=2 * TIMEOUT_MS / MS_PER_S)
        for task in self._tasks.values():
            task.cancel()
        self._client.close()

    def carry_out(self, message):
        """Start a probe, or add grants to those that wait."""
        if isinstance(message, servermsg.Probe):
            self._start(servermsg.Probe, self._probe, message)
            return
        for grant in message.grants:
            key = (message.server_id, grant.slot)
            self._waiting[key] = (message.address, grant)
        self._start(servermsg.GiveGrants, self._give_all)

    def _start(self, kind, work, *arguments):
        if kind not in self._tasks:
            task = asyncio.ensure_future(work(*arguments))
            self._tasks[kind] = task
            task.add_done_callback(lambda _done: self._tasks.pop(kind))

    async def _give_all(self):
        while self._waiting:
            waiting = self._waiting
            self._waiting = {}
            by_server = {}
            for (server_id, _slot), entry in waiting.items():
                address, grant = entry
                batch = by_server.setdefault((server_id, address), [])
                batch.append(grant)
            for (server_id, address), grants in by_server.items():
                await self._give(server_id, address, grants)

    async def _give(self, server_id, address, grants):
        response = await self._fetch(
            f'http://{address}/grants',
            method='POST',
            body=json.dumps({'grants': [attrs.asdict(one) for one in grants]}),
        )
        refused = _refused_slots(response, grants)
        given = {grant.slot for grant in grants}
        for accepted, slots in ((True, given - refused), (False, refused)):
            if slots:
                self._post(
                    servermsg.GrantsAnswered(
                        server_id,
                        accepted,
                        tuple(sorted(slots)),
                    )
                )
        if refused:
            _log.warning(
                'grants-refused', server=server_id, slots=sorted(refused)
            )

    async def _probe(self, message):
        response = await self._fetch(f'http://{message.address}/load')
        is_up = response is not None and response.code == STATUS_OK
        load = _load_of(response) if is_up else 0
        self._post(servermsg.Probed(message.server_id, is_up, load))

    async def _fetch(self, url, **options):
        """Return the response, or None if none came in time."""
        try:
            return await self._client.fetch(
                url,
                raise_error=False,
                connect_timeout=TIMEOUT_MS / MS_PER_S,
                request_timeout=TIMEOUT_MS / MS_PER_S,
                **options,
            )
        except (OSError, httpclient.HTTPError):
            return None


def _refused_slots(response, grants):
    everything = {grant.slot for grant in grants}
    if response is None:
        return everything
    if response.code == STATUS_OK:
        return set()
    if response.code == STATUS_CONFLICT:
        refused = _fields_of(response).get('refused')
        if isinstance(refused, list):
            return everything.intersection(refused)
    return everything


def _load_of(response):
    load = _fields_of(response).get('load', 0)
    if isinstance(load, int | float):
        return min(1, max(0, load))
    return 0


def _fields_of(response):
    try:
        fields = json.loads(response.body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
