"""Stand-in for the platform's table service: versioned rows over HTTP."""

import asyncio
import base64
import collections
import json

import attrs
from tornado import web

from laburnumlatch.core import clock

# The page size of the platform.
MAX_PAGE_ROWS = 500
FEED_POLL_INTERVAL_S = 0.01
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_UNAVAILABLE = 503


@attrs.define
class Faults:
    """The faults that are active at present.

    `is_down`: responds to every request with status 503.
    `delay_ms`: delays every response.
    `lost_answers`: applies that many writes, but closes the connection
    instead of sending the response.
    `cut_ports`: closes connections to these ports without a response. Each
    agent has a port of its own, so agents can be cut off one by one.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    cut_ports: set[int] = attrs.Factory(set)


@attrs.define
class Store:
    """Rows by (table, key) as (version, body).

    `removals` has the versions of removed rows.
    `version` counts the transactions on all tables. `era` counts how often the
    store came back from a copy. `calls` counts requests by path.
    """

    rows: dict[tuple[str, str], tuple[int, bytes]] = attrs.Factory(dict)
    removals: dict[tuple[str, str], int] = attrs.Factory(dict)
    faults: Faults = attrs.Factory(Faults)
    version: int = 0
    era: int = 0
    calls: collections.Counter = attrs.Factory(collections.Counter)

    def put(self, rows):
        """Write (table, key, body) triples in one transaction."""
        self.version += 1
        for table, key, body in rows:
            self.rows[table, key] = (self.version, body)
            self.removals.pop((table, key), None)

    def remove(self, table, key):
        """Remove a row in one transaction."""
        self.version += 1
        self.rows.pop((table, key))
        self.removals[table, key] = self.version

    def removed(self, name, after):
        """Return (key, version) of rows removed after version `after`."""
        return [
            (key, version)
            for (table, key), version in self.removals.items()
            if table == name and version > after
        ]

    def copy(self):
        """Return a copy of all rows, for `restore`."""
        return self.version, dict(self.rows), dict(self.removals)

    def restore(self, copy):
        """Go back to a copy from `copy`; all later writes are lost.

        Their version numbers are given out again.
        """
        version, rows, removals = copy
        self.version = version
        self.rows = dict(rows)
        self.removals = dict(removals)
        self.era += 1

    def table(self, name, after=0):
        """Return (key, version, body) of rows newer than version `after`."""
        return [
            (key, version, body)
            for (table, key), (version, body) in sorted(self.rows.items())
            if table == name and version > after
        ]

    def version_of(self, table, key):
        """Return the version of a row, 0 if the row does not exist."""
        return self.rows.get((table, key), (0, b''))[0]


class Handler(web.RequestHandler):
    """Base of the handlers: applies the faults before each request."""

    def initialize(self, store):
        """Serve the rows of `store`."""
        self._store = store

    async def prepare(self):
        """Count the request, then close, delay or reject it as configured."""
        faults = self._store.faults
        self.set_header('Store-Era', self._store.era)
        self._store.calls[self.request.path] += 1
        stream = self.request.connection.stream
        if stream.socket.getsockname()[1] in faults.cut_ports:
            stream.close()
            raise web.Finish
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / clock.MS_PER_S)
        if faults.is_down:
            self.set_status(STATUS_UNAVAILABLE)
            self.finish()

    def respond(self, **fields):
        """Respond with JSON: `fields` and the newest version of the store."""
        self.set_header('Store-Era', self._store.era)
        self.finish({**fields, 'ver': self._store.version, 'now': '1ms'})


class ReadHandler(Handler):
    """`GET /rows-get`: the rows of a table in the order of their keys."""

    def get(self):
        """Return one page of rows, from the key `from` on."""
        table = self.get_query_argument('table')
        first_key = self.get_query_argument('from', '')
        end_key = self.get_query_argument('to', None)
        rows = self._store.table(table)
        matching = [
            _wire_row(table, row)
            for row in rows
            if row[0] >= first_key and (end_key is None or row[0] < end_key)
        ]
        page = matching[:MAX_PAGE_ROWS]
        self.respond(rows=page, has_more=len(page) < len(matching))


class FeedHandler(Handler):
    """`GET /rows-feed`: long poll for changed rows of a table."""

    async def get(self):
        """Return the rows written or removed after version `after`.

        Waits up to `wait_ms` for the first one, then returns none.
        """
        table = self.get_query_argument('table')
        after = int(self.get_query_argument('after', '0'))
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / clock.MS_PER_S
        if after > self._store.version:
            self.send_error(STATUS_GONE)
            return
        changed = self._changed(table, after)
        while not changed and loop.time() < deadline:
            await asyncio.sleep(FEED_POLL_INTERVAL_S)
            changed = self._changed(table, after)
        self.respond(rows=changed)

    def _changed(self, table, after):
        """Return the JSON forms of changed rows; of removed ones the key."""
        removals = self._store.removed(table, after)
        return [
            *(_wire_row(table, row) for row in self._store.table(table, after)),
            *(
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'ver': version,
                    'removed': True,
                }
                for key, version in removals
            ),
        ]


class TransactionHandler(Handler):
    """`POST /rows-tx`: compare-and-set of several rows."""

    def post(self):
        """Write all rows, or respond 412 if a row has another version."""
        call = json.loads(self.request.body)
        for condition in call['precondition']:
            version = self._store.version_of(
                condition['table'], condition['key']
            )
            if version != condition['ver']:
                self.set_status(STATUS_CONFLICT)
                self.respond(rows=[])
                return
        self._store.put(
            (row['table'], row['key'], base64.b64decode(row['value']))
            for row in call['writes']
        )
        if self._store.faults.lost_answers:
            self._store.faults.lost_answers -= 1
            self.request.connection.stream.close()
            return
        self.respond()


def application(store):
    """Return the tornado application that serves a `Store`."""
    handler_arguments = {'store': store}
    return web.Application(
        [
            ('/rows-get', ReadHandler, handler_arguments),
            ('/rows-feed', FeedHandler, handler_arguments),
            ('/rows-tx', TransactionHandler, handler_arguments),
        ],
        log_function=lambda _handler: None,
    )


def _wire_row(table, row):
    """Return the JSON form of a row from `Store.table`."""
    key, version, body = row
    return {
        'table': table,
        'part': '',
        'key': key,
        'ver': version,
        'value': base64.b64encode(body).decode(),
    }
