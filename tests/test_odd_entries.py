"""What another writer tells the adapter: it names nobody, others hold."""

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

DEPTH = 100_000
NESTED = '{}{}'.format('[' * DEPTH, ']' * DEPTH)
# JSON texts of numbers that no field can hold.
NUMBERS = ('1e999', '-1e999', 'NaN', 'Infinity', '9' * 400, '1e300', 'true')
GOOD = types.MappingProxyType({
    'table': 'mesh',
    'key': 'host/a',
    'ver': 3,
    'value': 'b2s=',
})
ODD_ROWS = (
    {**GOOD, 'value': None},
    {**GOOD, 'value': 'no base64!'},
    {**GOOD, 'value': 7},
    {**GOOD, 'ver': 'new'},
    {**GOOD, 'ver': None},
    {**GOOD, 'key': 7},
    {name: GOOD[name] for name in ('table', 'ver', 'value')},
    {name: GOOD[name] for name in ('table', 'key', 'value')},
    'no row',
    None,
)
ODD_DOCUMENTS = (
    '{"ver": 9}',
    '{"rows": 7, "ver": 9, "has_more": false}',
    '{"rows": [], "has_more": false}',
    '{"rows": [], "ver": 1e999, "has_more": false}',
    '[]',
    'null',
    NESTED,
)


class Answer(web.RequestHandler):
    """Answers each call with one body."""

    def initialize(self, body):
        self._body = body

    def get(self):
        self.finish(self._body)


async def ask_store(body, message):
    """Return what systems are told by a store that answers with `body`."""
    socket, port = testing.bind_unused_port()
    server = httpserver.HTTPServer(
        web.Application([('.*', Answer, {'body': body})])
    )
    server.add_socket(socket)
    client = tablestore.TableStore(f'127.0.0.1:{port}')
    told = asyncio.Queue()
    link = storelink.StoreLink(told.put_nowait, client)
    link.carry_out(message)
    try:
        return await asyncio.wait_for(told.get(), 2)
    finally:
        client.close()
        server.stop()


class TestStoreRows:
    """Rows and documents of the store that are not as they should be."""

    @pytest.mark.parametrize('odd', ODD_ROWS, ids=repr)
    async def test_other_rows_are_still_read(self, odd):
        """Guards against an agent that follows a table no more."""
        document = {'rows': [odd, dict(GOOD)], 'ver': 9, 'has_more': False}
        for message in (
            storemsg.StoreRead('t', 'mesh/'),
            storemsg.StoreWatch('t', 'mesh/', 1, 100),
        ):
            told = await ask_store(json.dumps(document), message)
            good = storemsg.StoreRow('mesh/host/a', 3, b'ok')
            assert told == storemsg.StoreChanges('t', (good,), 9)

    @pytest.mark.parametrize('body', ODD_DOCUMENTS, ids=range(7))
    async def test_odd_document_is_a_failed_call(self, body):
        """Guards against a read that never ends."""
        told = await ask_store(body, storemsg.StoreRead('t', 'mesh/'))
        assert isinstance(told, storemsg.StoreFailed)


class BrokenStore(stores.MemoryStore):
    """A store with a fault of its own."""

    async def read(self, table):
        raise RuntimeError(table)


class TestStoreCalls:
    """Calls that end in a way that nobody thought of."""

    async def test_unexpected_end_is_a_failed_call(self):
        """Guards against a task that ends unseen."""
        told = asyncio.Queue()
        link = storelink.StoreLink(told.put_nowait, BrokenStore())
        link.carry_out(storemsg.StoreRead('t', 'mesh/'))
        answer = await asyncio.wait_for(told.get(), 2)
        assert isinstance(answer, storemsg.StoreFailed)
        assert answer.ticket == 't'


def announced_with(name, text):
    """Return an announcement whose field `name` is the JSON `text`."""
    beat = dict(test_platform_decoding.BEAT)
    beat[name] = 'HERE'
    return json.dumps(beat).replace('"HERE"', text)


class TestAnnouncements:
    """What a backend server, or another writer, tells an agent."""

    @pytest.mark.parametrize('text', [*NUMBERS, NESTED], ids=range(8))
    @pytest.mark.parametrize(
        'name', ['slots', 'born', 'sequence', 'state', 'address', 'service']
    )
    def test_odd_field_names_no_server(self, name, text):
        """Guards against an error that nobody expects."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                announced_with(name, text),
                test_platform_decoding.READ_AT,
            )

    @pytest.mark.parametrize('body', [NESTED, '1e999', '[]', '"x"', 'null'])
    def test_odd_body_names_no_server(self, body):
        """Guards against a body that is no object."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                body,
                test_platform_decoding.READ_AT,
            )

    @pytest.mark.parametrize('text', [f'{10**400}s', f'{10**4000}ms'])
    def test_duration_that_cannot_be(self, text):
        """Guards against an overflow behind a valid form."""
        with pytest.raises(errors.InvalidInputError):
            durations.parse(text)


class TestConfiguration:
    """The operator's row, should it be odd."""

    @pytest.mark.parametrize('text', [*NUMBERS, NESTED, '"x"', 'null'])
    @pytest.mark.parametrize('name', ['version', 'weight', 'priority'])
    def test_odd_field_is_refused(self, name, text):
        """Guards against a number that fails only when it is used."""
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
