"""The platform's table service, behind one interface."""

import abc
import asyncio
import base64
import json
from urllib import parse as urlparse

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import errors
from laburnumlatch.core import storemsg

TIMEOUT_MS = 2000
# Of stores that cannot wait for a change themselves.
POLL_MS = 500
MS_PER_S = 1000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


@attrs.define(frozen=True)
class Write:
    """One row to write if its version is `expected_version`; 0: no row."""

    key: str
    body: bytes
    expected_version: int


class Store(abc.ABC):
    """Rows with versions. Versions of all rows come from one sequence.

    All methods raise `errors.StoreUnavailableError` if no answer came; a
    write may then have taken effect. `errors.CallRejectedError`, which is one
    of them, says that it has not and will not.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the `storemsg.StoreRow`; raise `errors.NotFoundError`."""

    @abc.abstractmethod
    async def scan(self, prefix, after=0):
        """Return rows under `prefix` with a version above `after`."""

    @abc.abstractmethod
    async def transact(self, writes, guards=()):
        """Write all rows or none; return the version they all get.

        `guards` are (key, version) of rows that are not written but must
        have that version; 0: no row. Raises `errors.VersionConflictError`
        if any version differs.
        """

    async def put(self, key, body, expected_version, guards=()):
        """Write one row and return its new version."""
        write = Write(key, body, expected_version)
        return await self.transact((write,), guards)

    async def read(self, table):
        """Return `storemsg.Changes` with all rows under a table's prefix."""
        return _changes(await self.scan(table), 0)

    async def watch(self, table, after, wait_ms):
        """Return `storemsg.Changes` newer than `after`, or none in `wait_ms`.

        Raises `errors.HistoryGoneError` if changes since `after` are no
        longer known, so that all rows have to be read.
        """
        waited_ms = 0
        while True:
            found = await self.scan(table, after)
            if found or waited_ms >= wait_ms:
                return _changes(found, after)
            await asyncio.sleep(POLL_MS / MS_PER_S)
            waited_ms += POLL_MS


class HttpStore(Store):
    """The table service over HTTP."""

    def __init__(self, address, timeout_ms=TIMEOUT_MS):
        """Use the service at `address`, an `ip:port`."""
        self._base = f'http://{address}'
        self._timeout_s = timeout_ms / MS_PER_S
        self._client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    def close(self):
        """Close all connections."""
        self._client.close()

    async def get(self, key):
        """Return the row under `key`."""
        response = await self._fetch(f'/rows/{urlparse.quote(key)}')
        if response.code == HTTP_NOT_FOUND:
            raise errors.NotFoundError(key)
        return _row(_decode(response))

    async def scan(self, prefix, after=0):
        """Return rows under `prefix` newer than `after`, oldest first."""
        query = urlparse.urlencode({'prefix': prefix, 'after': after})
        response = await self._fetch(f'/rows?{query}')
        return tuple(_row(fields) for fields in _decode(response)['rows'])

    async def transact(self, writes, guards=()):
        """Write all rows or none; return the version they all get."""
        if guards:
            raise errors.StoreError('this service knows no guards')
        body = json.dumps([
            {
                'key': write.key,
                'expected_version': write.expected_version,
                'body': base64.b64encode(write.body).decode(),
            }
            for write in writes
        ])
        response = await self._fetch('/transactions', method='POST', body=body)
        if response.code == HTTP_CONFLICT:
            raise errors.VersionConflictError(response.body.decode())
        return _decode(response)['version']

    async def _fetch(self, path, **options):
        request = httpclient.HTTPRequest(
            self._base + path,
            request_timeout=self._timeout_s,
            **options,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            # The curl client raises HTTPError without a response.
            raise errors.StoreUnavailableError(str(error)) from error


def _changes(found, after):
    newest = max((row.version for row in found), default=after)
    return storemsg.Changes(found, newest)


def _decode(response):
    if response.code != HTTP_OK:
        raise errors.StoreUnavailableError(
            f'status {response.code} from {response.request.url}',
        )
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise errors.StoreUnavailableError(
            f'bad answer from {response.request.url}: {error}',
        ) from error


def _row(fields):
    return storemsg.StoreRow(
        fields['key'],
        fields['version'],
        base64.b64decode(fields['body']),
    )
