"""The platform's table service, as `PROTOCOL.md` tells it."""

import asyncio
import base64
import json

import lab3io

CONFLICT = 412
PAGE_ROWS = 500
POLL_S = 0.01


class Store:
    """Versioned rows by (table, key); one counter numbers all writes."""

    def __init__(self):
        """Start empty."""
        self.rows = {}
        self._version = 0

    def put(self, table, key, body):
        """Write a row as the operator does."""
        self._version += 1
        self.rows[table, key] = (self._version, body)

    def body_of(self, table, key):
        """Return the bytes of a row, none if it does not exist."""
        return self.rows.get((table, key), (0, b''))[1]

    async def respond(self, request):
        """Respond to a call."""
        if request.path == '/rows-get':
            return self._get(request.query)
        if request.path == '/rows-feed':
            return await self._feed(request.query)
        if request.path == '/rows-tx':
            return self._transact(json.loads(request.body))
        return lab3io.NOT_FOUND, {}, b''

    def _answer(self, status, fields):
        now = f'{lab3io.now_ms()}ms'
        body = json.dumps({**fields, 'ver': self._version, 'now': now})
        return status, {'Content-Type': 'application/json'}, body.encode()

    def _table(self, table, after=0):
        """Return the (key, version, bytes) of a table's rows, by key."""
        return sorted(
            (key, *self.rows[name, key])
            for name, key in self.rows
            if name == table and self.rows[name, key][0] > after
        )

    def _get(self, query):
        table = query['table']
        start = query.get('from', '')
        end = query.get('to')
        found = [
            _encode_row(table, row)
            for row in self._table(table)
            if row[0] >= start and (end is None or row[0] < end)
        ]
        has_more = len(found) > PAGE_ROWS
        return self._answer(
            lab3io.OK, {'rows': found[:PAGE_ROWS], 'has_more': has_more}
        )

    async def _feed(self, query):
        table = query['table']
        after = int(query.get('after', '0'))
        ends_at = lab3io.now_ms() + int(query.get('wait_ms', '0'))
        while not self._table(table, after) and lab3io.now_ms() < ends_at:
            await asyncio.sleep(POLL_S)
        changed = sorted(self._table(table, after), key=_version_of)
        rows = [_encode_row(table, row) for row in changed]
        return self._answer(lab3io.OK, {'rows': rows})

    def _transact(self, call):
        for condition in call['precondition']:
            place = (condition['table'], condition['key'])
            if condition['ver'] != self.rows.get(place, (0,))[0]:
                return self._answer(CONFLICT, {'rows': []})
        self._version += 1
        for row in call['writes']:
            body = base64.b64decode(row['value'])
            self.rows[row['table'], row['key']] = (self._version, body)
        for gone in call['remove']:
            self.rows.pop((gone['table'], gone['key']), None)
        return self._answer(lab3io.OK, {})


def _version_of(row):
    return row[1]


def _encode_row(table, row):
    key, version, body = row
    return {
        'table': table,
        'part': '',
        'key': key,
        'ver': version,
        'value': base64.b64encode(body).decode(),
    }
