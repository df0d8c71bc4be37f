"""Tests of malformed entries in the store and in calls.

A malformed entry is rejected on its own; the valid ones beside it still count.
"""

import asyncio
import json
import types

import pytest
from tornado import httpserver
from tornado import testing
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.core import storelink
from laburnumlatch.core import storemsg
from laburnumlatch.platform import announcements
from laburnumlatch.platform import configrows
from laburnumlatch.platform import durations
from laburnumlatch.platform import tablestore
from tests import stores
from tests import test_platform_decoding

NESTING_DEPTH = 100_000
NESTED = '{}{}'.format('[' * NESTING_DEPTH, ']' * NESTING_DEPTH)
# JSON texts that are invalid in every field that holds a number.
INVALID_NUMBERS = (
    '1e999',
    '-1e999',
    'NaN',
    'Infinity',
    '9' * 400,
    '1e300',
    'true',
)
VALID_ROW = types.MappingProxyType({
    'table': 'mesh',
    'key': 'host/a',
    'ver': 3,
    'value': 'b2s=',
})
MALFORMED_ROWS = (
    {**VALID_ROW, 'value': None},
    {**VALID_ROW, 'value': 'no base64!'},
    {**VALID_ROW, 'value': 7},
    {**VALID_ROW, 'ver': 'new'},
    {**VALID_ROW, 'ver': None},
    {**VALID_ROW, 'key': 7},
    {name: VALID_ROW[name] for name in ('table', 'ver', 'value')},
    {name: VALID_ROW[name] for name in ('table', 'key', 'value')},
    'no row',
    None,
)
MALFORMED_DOCUMENTS = (
    '{"ver": 9}',
    '{"rows": 7, "ver": 9, "has_more": false}',
    '{"rows": [], "has_more": false}',
    '{"rows": [], "ver": 1e999, "has_more": false}',
    '[]',
    'null',
    NESTED,
)


class BodyHandler(web.RequestHandler):
    """Responds to each call with the same body."""

    def initialize(self, body):
        self._body = body

    def get(self):
        self.finish(self._body)


async def call_store(body, message):
    """Return the message posted when the store responds with `body`."""
    socket, port = testing.bind_unused_port()
    server = httpserver.HTTPServer(
        web.Application([('.*', BodyHandler, {'body': body})])
    )
    server.add_socket(socket)
    client = tablestore.TableStore(f'127.0.0.1:{port}')
    posted = asyncio.Queue()
    link = storelink.StoreLink(posted.put_nowait, client)
    link.carry_out(message)
    try:
        return await asyncio.wait_for(posted.get(), 2)
    finally:
        client.close()
        server.stop()


class TestStoreRows:
    """Malformed rows and documents of the store."""

    @pytest.mark.parametrize('row', MALFORMED_ROWS, ids=repr)
    async def test_other_rows_are_still_read(self, row):
        """Guards against a row that stops an agent from following a table."""
        document = {'rows': [row, dict(VALID_ROW)], 'ver': 9, 'has_more': False}
        for message in (
            storemsg.StoreRead('t', 'mesh/'),
            storemsg.StoreWatch('t', 'mesh/', 1, 100),
        ):
            response = await call_store(json.dumps(document), message)
            valid = storemsg.StoreRow('mesh/host/a', 3, b'ok')
            assert response == storemsg.StoreChanges('t', (valid,), 9)

    @pytest.mark.parametrize('body', MALFORMED_DOCUMENTS, ids=range(7))
    async def test_malformed_document_is_a_failed_call(self, body):
        """Guards against a read that is never answered."""
        response = await call_store(body, storemsg.StoreRead('t', 'mesh/'))
        assert isinstance(response, storemsg.StoreFailed)


class BrokenStore(stores.MemoryStore):
    """A store whose reads raise an unexpected exception."""

    async def read(self, table):
        raise RuntimeError(table)


class TestStoreCalls:
    """Calls that end with an unexpected exception."""

    async def test_unexpected_exception_is_a_failed_call(self):
        """Guards against a failed task that the systems never learn of."""
        posted = asyncio.Queue()
        link = storelink.StoreLink(posted.put_nowait, BrokenStore())
        link.carry_out(storemsg.StoreRead('t', 'mesh/'))
        response = await asyncio.wait_for(posted.get(), 2)
        assert isinstance(response, storemsg.StoreFailed)
        assert response.ticket == 't'


def heartbeat_with(name, text):
    """Return a heartbeat whose field `name` is the JSON `text`."""
    heartbeat = dict(test_platform_decoding.HEARTBEAT)
    heartbeat[name] = 'HERE'
    return json.dumps(heartbeat).replace('"HERE"', text)


class TestAnnouncements:
    """Malformed heartbeats, from a backend server or another sender."""

    @pytest.mark.parametrize('text', [*INVALID_NUMBERS, NESTED], ids=range(8))
    @pytest.mark.parametrize(
        'name', ['slots', 'born', 'sequence', 'state', 'address', 'service']
    )
    def test_malformed_field_is_rejected(self, name, text):
        """Guards against an unexpected exception, such as an overflow."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                heartbeat_with(name, text),
                test_platform_decoding.RECEIVED_AT,
            )

    @pytest.mark.parametrize(
        'text', ['null', 'true', '7', '[]', '"-5s"', '"NaNs"', f'"{10**40}s"']
    )
    def test_malformed_cold_time_is_unknown(self, text):
        """Guards against a server out of use because of this one field."""
        build_message = announcements.decode(
            announcements.HEARTBEAT,
            'i-1',
            heartbeat_with('cold_remaining', text),
            test_platform_decoding.RECEIVED_AT,
        )
        assert build_message(1).cold_ms is None

    @pytest.mark.parametrize('body', [NESTED, '1e999', '[]', '"x"', 'null'])
    def test_malformed_body_is_rejected(self, body):
        """Guards against using a body that is not a JSON object."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                body,
                test_platform_decoding.RECEIVED_AT,
            )

    @pytest.mark.parametrize('text', [f'{10**400}s', f'{10**4000}ms'])
    def test_huge_duration_is_rejected(self, text):
        """Guards against an overflow from a well-formed duration."""
        with pytest.raises(errors.InvalidInputError):
            durations.parse(text)


class TestConfiguration:
    """Malformed numbers in the configuration row."""

    @pytest.mark.parametrize('text', [*INVALID_NUMBERS, NESTED, '"x"', 'null'])
    @pytest.mark.parametrize('name', ['version', 'weight', 'priority'])
    def test_malformed_field_is_rejected(self, name, text):
        """Guards against a number that raises only when it is used.

        A null priority is valid: it stands for the default.
        """
        document = json.loads(
            json.dumps(dict(test_platform_decoding.CONFIGURATION))
        )
        if name == 'version':
            document['version'] = 'HERE'
        elif name == 'weight':
            split = document['routes']['rows'][1][-1]
            split[0]['weight'] = 'HERE'
        else:
            document['routes']['rows'][0][6] = 'HERE'
        body = json.dumps(document).replace('"HERE"', text)
        if (name, text) == ('priority', 'null'):
            assert configrows.decode(body).routes
            return
        with pytest.raises(errors.InvalidInputError):
            configrows.decode(body)
