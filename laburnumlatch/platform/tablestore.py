"""HTTP client of the platform's table store, as a `store.Store`.

The product's key `TABLE/KEY` is the row `KEY` of the store's table `TABLE`.
All rows are in the part '', so that one transaction can contain any of them.

Versions hold the store's era, which a header of each response tells, as their
epoch (see `versions`).
"""

import asyncio
import base64
import json
from urllib import parse as urlparse

from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import clock
from laburnumlatch.core import curlclient
from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import store
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.platform import jsontext
from laburnumlatch.platform import storepages

CONNECT_TIMEOUT_MS = 600
# A transaction takes 8 ms, and about 60 times as long if the store is slow.
TIMEOUT_MS = 1500
# How much later than its `wait_ms` the store may respond to a watch.
WATCH_MARGIN_MS = 1500
# No key has a character above it.
LAST_CHARACTER = '\U0010ffff'
ERA_HEADER = 'Store-Era'
# Keeps versions within the 64 bits of the formats that they are sent in.
MAX_ERA_DIGITS = 6
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_GONE = 410
# The store's responses above its rate limits, and while it rejects a host.
REJECTED_STATUSES = frozenset((429, 503))
MAX_CLIENTS = 12

_log = logs.logger('store')


class TableStore(store.Store):
    """Reads, watches and writes rows over HTTP; one instance per process."""

    def __init__(self, address):
        """Create a client of the store at `address`, an `ip:port`."""
        self._base_url = f'http://{address}'
        self._epoch = 0
        # Calls of `watch` in progress. They end when the epoch rises.
        self._watches = set()
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
        """Return `storemsg.Changes` with all rows under a prefix.

        `table` is `TABLE/` or `TABLE/PREFIX`. Reads page after page.
        """
        name, _, prefix = table.partition('/')
        start = prefix
        rows = []
        version = None
        while True:
            query = {'table': name, 'part': '', 'from': start}
            if prefix:
                query['to'] = f'{prefix}{LAST_CHARACTER}'
            page = storepages.decode(*await self._call('/rows-get', query))
            rows.extend(page.rows)
            # Later pages may have newer rows than the version of the first
            # page; a watch from that version returns them again.
            version = page.version if version is None else version
            if versions.epoch_of(page.version) != versions.epoch_of(version):
                raise errors.StoreUnavailableError('restored while it was read')
            if page.last_key is None:
                break
            # The smallest key above the last one.
            start = f'{page.last_key}\0'
        matching = tuple(row for row in rows if row.key.startswith(table))
        changed_in = max((row.version for row in matching), default=0)
        return storemsg.Changes(matching, version, changed_in=changed_in)

    async def watch(self, table, after, wait_ms):
        """Return the changes after a version; none if `wait_ms` pass first.

        Ends early if another call shows that the store was restored.
        """
        if versions.epoch_of(after) != self._epoch:
            raise errors.HistoryGoneError('the store was restored')
        call = asyncio.ensure_future(self._call_watch(table, after, wait_ms))
        self._watches.add(call)
        try:
            return await call
        except asyncio.CancelledError:
            if call in self._watches:
                call.cancel()
                raise
            raise errors.HistoryGoneError('the store was restored') from None
        finally:
            self._watches.discard(call)

    async def transact(self, writes, guards=()):
        """Write all rows or none; return the version they all get.

        Raises `errors.VersionConflictError` without a call for a version from
        before the store was restored. If that shows only in the response, the
        versions may have been equal by chance: the outcome is then unknown.
        """
        conditions = [
            *((write.key, write.expected_version) for write in writes),
            *guards,
        ]
        if not _are_of_epoch(conditions, self._epoch):
            raise errors.VersionConflictError('the store was restored')
        body = json.dumps({
            'precondition': [
                {**_encode_key(key), 'ver': versions.number_of(version)}
                for key, version in conditions
            ],
            'writes': [
                {
                    **_encode_key(write.key),
                    'value': base64.b64encode(write.body).decode(),
                }
                for write in writes
            ],
            'remove': [],
        })
        document, epoch = await self._call(
            '/rows-tx', {}, method='POST', body=body
        )
        if not _are_of_epoch(conditions, epoch):
            raise errors.StoreUnavailableError('the store was restored')
        return versions.join(epoch, storepages.decode_version(document))

    async def _call_watch(self, table, after, wait_ms):
        query = {
            'table': table.rstrip('/'),
            'after': versions.number_of(after),
            'wait_ms': wait_ms,
        }
        document, epoch = await self._call(
            '/rows-feed', query, timeout_ms=wait_ms + WATCH_MARGIN_MS
        )
        if epoch != versions.epoch_of(after):
            raise errors.HistoryGoneError('the store was restored')
        page = storepages.decode(document, epoch)
        return storemsg.Changes(
            page.rows, page.version, page.removed, page.changed_in
        )

    async def _call(self, path, query, timeout_ms=TIMEOUT_MS, **options):
        """Return the decoded JSON of a response, and the epoch of the store.

        Raises `errors.StoreError`, also for a response from before the store
        was restored: what it says may be lost.
        """
        url = self._base_url + path
        if query:
            url = f'{url}?{urlparse.urlencode(query)}'
        if 'body' in options:
            options['headers'] = {'Content-Type': 'application/json'}
        request = httpclient.HTTPRequest(
            url,
            connect_timeout=CONNECT_TIMEOUT_MS / clock.MS_PER_S,
            request_timeout=timeout_ms / clock.MS_PER_S,
            decompress_response=False,
            prepare_curl_callback=curlclient.enable_keepalive,
            **options,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise errors.StoreUnavailableError(str(error)) from error
        epoch = self._follow_epoch(response)
        document = _decode_response(response)
        if epoch < self._epoch:
            raise errors.StoreUnavailableError('the store was restored since')
        return document, epoch

    def _follow_epoch(self, response):
        """Return the epoch of a response; end the watches if it is new."""
        epoch = _decode_epoch(response.headers, self._epoch)
        if epoch > self._epoch:
            _log.warning('store-epoch', former=self._epoch, epoch=epoch)
            self._epoch = epoch
            while self._watches:
                self._watches.pop().cancel()
        return epoch


def _are_of_epoch(conditions, epoch):
    """Return whether all (key, version) pairs with a row are of an epoch."""
    return all(
        versions.epoch_of(version) == epoch
        for _key, version in conditions
        if version
    )


def _decode_epoch(headers, last_epoch):
    """Return the era in the header fields, `last_epoch` if there is none."""
    text = headers.get(ERA_HEADER)
    if text is None:
        return last_epoch
    if text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
        return int(text)
    _log.error('store-epoch-unreadable', era=f'{text!r:.40}')
    return last_epoch


def _decode_response(response):
    if response.code == STATUS_CONFLICT:
        raise errors.VersionConflictError(response.body.decode())
    if response.code == STATUS_GONE:
        raise errors.HistoryGoneError('the store has dropped this history')
    if response.code in REJECTED_STATUSES:
        raise errors.CallRejectedError(f'status {response.code}')
    if response.code != STATUS_OK:
        raise errors.StoreUnavailableError(f'status {response.code}')
    try:
        return jsontext.decode(response.body)
    except errors.InvalidInputError as error:
        raise errors.StoreUnavailableError(f'bad response: {error}') from error


def _encode_key(key):
    table, _, row_key = key.partition('/')
    return {'table': table, 'part': '', 'key': row_key}
