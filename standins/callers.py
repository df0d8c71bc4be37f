"""Callers of the demo and of tests: real requests, and what came of them."""

import asyncio
import enum
import random

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from laburnumlatch.core import clock
from laburnumlatch.mesh import routes
from laburnumlatch.platform import wire

MAX_CLIENTS = 400
CONNECT_TIMEOUT_S = 1
# Longer than any deadline of the callers.
MARGIN_S = 1
PAUSE_S = 0.02
KEYS = 40
KEY_STEP = 1601
ID_BITS = 64
HTTP_OK = 200
# The platform's promise that a request has not run.
NOT_RUN_STATUSES = frozenset((404, 408, 413, 421, 429, 503))
FAILED_STATUS = 500


class Outcome(enum.StrEnum):
    """What a caller knows of its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    CLOSED = 'closed'


@attrs.define(frozen=True)
class Workload:
    """How callers use one route; `workers` of them ask in turn."""

    route: routes.Route
    service: str
    is_keyed: bool
    workers: int = 1
    body: bytes = b''

    @property
    def name(self):
        """Name of the route, with its service."""
        return f'{self.service}/{self.route.name}'

    @property
    def method(self):
        """Method of the requests."""
        return 'GET' if self.route.kind == routes.Kind.SAFE else 'POST'


@attrs.define(frozen=True)
class Record:
    """What became of one request; times in ms of the monotonic clock.

    `server` is the host whose backend server answered, `body` what it got.
    """

    request_id: str
    workload: Workload
    key: int | None
    started_at_ms: int
    ended_at_ms: int
    outcome: Outcome
    status: int = 0
    answered_by: str = ''
    body: bytes = b''


@attrs.define
class Callers:
    """Callers that use the agents at `addresses`, and all their records."""

    addresses: list[str]
    rng: random.Random
    records: list[Record] = attrs.Factory(list)
    is_stopping: bool = False
    time_source: clock.Clock = attrs.Factory(clock.MonotonicClock)
    client: httpclient.AsyncHTTPClient = attrs.Factory(
        lambda: simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
    )

    async def run_worker(self, work):
        """Ask for `work` until `is_stopping` is set."""
        while not self.is_stopping:
            await self.call(work, self.any_key(work))
            await asyncio.sleep(PAUSE_S)

    def any_key(self, work):
        """Return one of `KEYS` keys, None where the service has none."""
        if not work.is_keyed:
            return None
        return KEY_STEP * self.rng.randrange(KEYS)

    async def call(self, work, key=None, address='', request_id=''):
        """Send one request to some agent; return its `Record`."""
        request_id = request_id or f'{self.rng.getrandbits(ID_BITS):016x}'
        address = address or self.rng.choice(self.addresses)
        began = self.time_source.now()
        response = await self._fetch(work, key, address, request_id)
        record = Record(
            request_id,
            work,
            key,
            began,
            self.time_source.now(),
            outcome_of(response),
            **_parts(response),
        )
        self.records.append(record)
        return record

    async def _fetch(self, work, key, address, request_id):
        """Return the response, or None if the connection failed."""
        time_ms = work.route.timeout_ms
        fields = {
            'Host': work.route.host,
            wire.REQUEST_ID: request_id,
            wire.TIME_LEFT_MS: str(time_ms),
        }
        if key is not None:
            fields[wire.KEY] = str(key)
        request = httpclient.HTTPRequest(
            f'http://{address}{work.route.prefix}x',
            method=work.method,
            headers=fields,
            body=work.body if work.method == 'POST' else None,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=time_ms / clock.MS_PER_S + MARGIN_S,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return None


def outcome_of(response):
    """Return the `Outcome` that a response, or None, tells."""
    if response is None:
        return Outcome.CLOSED
    if response.code == HTTP_OK and wire.SEAL in response.headers:
        return Outcome.ANSWERED
    if response.code in NOT_RUN_STATUSES:
        return Outcome.NOT_RUN
    if response.code == FAILED_STATUS:
        return Outcome.FAILED
    return Outcome.UNKNOWN


def _parts(response):
    if response is None:
        return {}
    if outcome_of(response) != Outcome.ANSWERED:
        return {'status': response.code}
    server, _caller, body = response.body.split(b'\n', 2)
    return {
        'status': response.code,
        'answered_by': server.decode(),
        'body': body,
    }
