"""HTTP callers for the demo and for tests; they record every outcome."""

import asyncio
import enum
import random

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from laburnumlatch.core import clock
from laburnumlatch.mesh import routes
from laburnumlatch.platform import wire
from standins import pipelines

MAX_CLIENTS = 400
CONNECT_TIMEOUT_S = 1
# Added to the deadline, so that the response to an expired request arrives.
DEADLINE_MARGIN_S = 1
THINK_TIME_S = 0.02
# Requests that a pipelining caller sends at once.
BURST_SIZE = 4
KEY_COUNT = 40
KEY_STEP = 1601
REQUEST_ID_BITS = 64
HTTP_OK = 200
# Statuses with which the platform guarantees that a request was not executed.
NOT_RUN_STATUSES = frozenset((404, 408, 413, 421, 429, 503))
FAILED_STATUS = 500


class Outcome(enum.StrEnum):
    """What a caller may conclude about its request.

    `NOT_RUN` guarantees that it was not executed; after `FAILED` and
    `UNKNOWN` it may have been, and so after `CLOSED`, when the connection
    ended without a response.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    CLOSED = 'closed'


@attrs.define(frozen=True)
class Workload:
    """The requests for one route.

    `workers` callers send them at the same time, each one request after
    the other.
    """

    route: routes.Route
    service: str
    is_keyed: bool
    workers: int = 1
    body: bytes = b''

    @property
    def name(self):
        """Service and route, as `service/route`."""
        return f'{self.service}/{self.route.name}'

    @property
    def method(self):
        """HTTP method of the requests: GET on safe routes, otherwise POST."""
        return 'GET' if self.route.kind == routes.Kind.SAFE else 'POST'


@attrs.define(frozen=True)
class Record:
    """Outcome of one request; times in ms of the monotonic clock.

    `answered_by` is the host whose backend server answered, `body` the
    request body as the server received and returned it; both are empty
    without a valid response. `status` is 0 without any response.
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
    """Sends requests to the agents at `addresses` and keeps their records."""

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

    async def run_worker(self, workload):
        """Send requests of a `Workload` until `is_stopping` is set."""
        while not self.is_stopping:
            await self.call(workload, self.random_key(workload))
            await asyncio.sleep(THINK_TIME_S)

    def random_key(self, workload):
        """Return one of `KEY_COUNT` keys, None for a service without keys."""
        if not workload.is_keyed:
            return None
        return KEY_STEP * self.rng.randrange(KEY_COUNT)

    async def call(self, workload, key=None, address='', request_id=''):
        """Send one request; return its `Record`.

        It goes to a random agent unless an `address` is given, and has a
        random ID unless a `request_id` is given.
        """
        request_id = (
            request_id or f'{self.rng.getrandbits(REQUEST_ID_BITS):016x}'
        )
        address = address or self.rng.choice(self.addresses)
        started_at_ms = self.time_source.now()
        response = await self._fetch(workload, key, address, request_id)
        record = Record(
            request_id,
            workload,
            key,
            started_at_ms,
            self.time_source.now(),
            outcome_of(response),
            **_response_fields(response),
        )
        self.records.append(record)
        return record

    async def run_pipelining_worker(self, workload):
        """Send bursts of pipelined requests until `is_stopping` is set."""
        while not self.is_stopping:
            keys = [self.random_key(workload) for _ in range(BURST_SIZE)]
            await self.call_pipelined([(workload, key) for key in keys])
            await asyncio.sleep(THINK_TIME_S)

    async def call_pipelined(self, calls, address=''):
        """Send requests on one connection at once; return their `Record`s.

        `calls` are pairs of workload and key. They go to a random agent
        unless an `address` is given.
        """
        sent = [
            (workload, key, f'{self.rng.getrandbits(REQUEST_ID_BITS):016x}')
            for workload, key in calls
        ]
        started_at_ms = self.time_source.now()
        responses = await pipelines.exchange(
            address or self.rng.choice(self.addresses),
            [_encode(*request) for request in sent],
            max(_timeout_s(workload) for workload, _key in calls),
        )
        records = [
            Record(
                request_id,
                workload,
                key,
                started_at_ms,
                self.time_source.now(),
                outcome_of(response),
                **_response_fields(response),
            )
            for (workload, key, request_id), response in zip(
                sent, responses, strict=True
            )
        ]
        self.records.extend(records)
        return records

    async def _fetch(self, workload, key, address, request_id):
        """Return the response, or None if the connection failed."""
        request = httpclient.HTTPRequest(
            f'http://{address}{_path(workload)}',
            method=workload.method,
            headers=_headers(workload, key, request_id),
            body=workload.body if workload.method == 'POST' else None,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=_timeout_s(workload),
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            return None


def _path(workload):
    return f'{workload.route.prefix}x'


def _timeout_s(workload):
    return workload.route.timeout_ms / clock.MS_PER_S + DEADLINE_MARGIN_S


def _headers(workload, key, request_id):
    headers = {
        'Host': workload.route.host,
        wire.REQUEST_ID: request_id,
        wire.TIME_LEFT_MS: str(workload.route.timeout_ms),
    }
    if key is not None:
        headers[wire.KEY] = str(key)
    return headers


def _encode(workload, key, request_id):
    """Return the bytes of a request."""
    return pipelines.encode(
        workload.method,
        _path(workload),
        _headers(workload, key, request_id),
        workload.body if workload.method == 'POST' else b'',
    )


def outcome_of(response):
    """Return the `Outcome` of a response; None means that none came."""
    if response is None:
        return Outcome.CLOSED
    if response.code == HTTP_OK and wire.SEAL in response.headers:
        return Outcome.ANSWERED
    if response.code in NOT_RUN_STATUSES:
        return Outcome.NOT_RUN
    if response.code == FAILED_STATUS:
        return Outcome.FAILED
    return Outcome.UNKNOWN


def _response_fields(response):
    """Return the fields of a `Record` that come from the response."""
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
