"""The platform's store as the product's `store.Store`.

A key of the product is `TABLE/KEY`; all its rows have the empty part, so that
a transaction can hold any of them.
"""

import base64
import itertools
import json
from urllib import parse as urlparse

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import clock
from laburnumlatch.core import curlclient
from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import store
from laburnumlatch.core import storemsg
from laburnumlatch.platform import jsontext

CONNECT_TIMEOUT_MS = 600
# A slow store takes about 60 times as long as the 8 ms of a transaction.
TIMEOUT_MS = 1500
# The store may answer a watch this much later than it was asked to.
WATCH_MARGIN_MS = 1500
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_GONE = 410
# The store answers so above its rates, and while it refuses a machine.
REJECTED_STATUSES = frozenset((429, 503))
MAX_CLIENTS = 12
_ROW_ERRORS = (
    errors.InvalidInputError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
)

_log = logs.logger('store')


class TableStore(store.Store):
    """Rows over HTTP; the one client of the store in this process."""

    def __init__(self, address):
        """Use the store at `address`, an `ip:port`."""
        self._base = f'http://{address}'
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self):
        """Close all connections."""
        self._client.close()

    async def get(self, key):
        """Return the row under `key`; raise `errors.NotFoundError`."""
        for row in (await self.read(key)).rows:
            if row.key == key:
                return row
        raise errors.NotFoundError(key)

    async def read(self, table):
        """Return `storemsg.Changes` with all rows under a prefix."""
        name, _, start = table.partition('/')
        found = []
        version = None
        while True:
            query = {'table': name, 'part': '', 'from': start}
            page = _page(await self._call('/rows-get', query))
            found.extend(page.rows)
            # Rows of later pages may be newer; a watch then repeats them.
            version = page.version if version is None else version
            if page.last_key is None:
                break
            # The least key that is greater than the last one.
            start = f'{page.last_key}\0'
        own = tuple(row for row in found if row.key.startswith(table))
        return storemsg.Changes(own, version)

    async def watch(self, table, after, wait_ms):
        """Return `storemsg.Changes` after a version, or none in `wait_ms`."""
        query = {
            'table': table.rstrip('/'),
            'after': after,
            'wait_ms': wait_ms,
        }
        document = await self._call(
            '/rows-feed', query, timeout_ms=wait_ms + WATCH_MARGIN_MS
        )
        page = _page(document)
        return storemsg.Changes(page.rows, page.version)

    async def transact(self, writes, guards=()):
        """Write all rows or none; return the version they all get."""
        conditions = [
            *((write.key, write.expected_version) for write in writes),
            *guards,
        ]
        body = json.dumps({
            'precondition': [
                {**_place(key), 'ver': version} for key, version in conditions
            ],
            'writes': [
                {
                    **_place(write.key),
                    'value': base64.b64encode(write.body).decode(),
                }
                for write in writes
            ],
            'remove': [],
        })
        document = await self._call('/rows-tx', {}, method='POST', body=body)
        return _version(document)

    async def _call(self, path, query, timeout_ms=TIMEOUT_MS, **options):
        url = self._base + path
        if query:
            url = f'{url}?{urlparse.urlencode(query)}'
        if 'body' in options:
            options['headers'] = {'Content-Type': 'application/json'}
        request = httpclient.HTTPRequest(
            url,
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S,
            request_timeout=timeout_ms / clock.MS_PER_S,
            decompress_response=False,
            prepare_curl_callback=curlclient.watch_connection,
            **options,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise errors.StoreUnavailableError(str(error)) from error
        return _decode(response)


def _decode(response):
    if response.code == STATUS_CONFLICT:
        raise errors.VersionConflictError(response.body.decode())
    if response.code == STATUS_GONE:
        raise errors.HistoryGoneError('history is gone')
    if response.code in REJECTED_STATUSES:
        raise errors.CallRejectedError(f'status {response.code}')
    if response.code != STATUS_OK:
        raise errors.StoreUnavailableError(f'status {response.code}')
    try:
        return jsontext.decode(response.body)
    except errors.InvalidInputError as error:
        raise errors.StoreUnavailableError(f'bad answer: {error}') from error


def _place(key):
    table, _, own_key = key.partition('/')
    return {'table': table, 'part': '', 'key': own_key}


@attrs.define(frozen=True)
class _Page:
    """Rows of one answer that can be read; `last_key` if more follow."""

    rows: tuple
    version: int
    last_key: str | None


def _page(document):
    try:
        listed = document['rows']
        last_key = None
        if listed and document.get('has_more'):
            last_key = jsontext.get_text(listed[-1], 'key')
        rows = tuple(itertools.chain.from_iterable(map(_readable, listed)))
    except _ROW_ERRORS as error:
        raise errors.StoreUnavailableError(f'bad answer: {error!r}') from error
    return _Page(rows, _version(document), last_key)


def _version(document):
    try:
        return jsontext.get_unsigned_int(document, 'ver')
    except _ROW_ERRORS as error:
        raise errors.StoreUnavailableError(f'bad answer: {error!r}') from error


def _readable(fields):
    """Yield the row, if there is one and it can be read."""
    try:
        if not fields.get('removed'):
            yield _row(fields)
    except _ROW_ERRORS as error:
        _log.error('row-unreadable', row=f'{fields!r:.80}', detail=repr(error))


def _row(fields):
    table = jsontext.get_text(fields, 'table')
    return storemsg.StoreRow(
        f'{table}/{jsontext.get_text(fields, "key")}',
        jsontext.get_unsigned_int(fields, 'ver'),
        base64.b64decode(jsontext.get_text(fields, 'value'), validate=True),
    )
