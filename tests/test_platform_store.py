"""Tests of how the store client reports the end of a write."""

import asyncio
import contextlib

import attrs
import pytest
from tornado import httpserver
from tornado import testing
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.core import store
from laburnumlatch.platform import storepages
from laburnumlatch.platform import tablestore

WRITE = store.Write('plans/bokun', b'plan', 0)
# How long the store holds a feed open.
FEED_DELAY_S = 4


class WriteHandler(web.RequestHandler):
    """Responds to each write with the same status."""

    def initialize(self, status):
        self._status = status

    def post(self):
        self.set_status(self._status)
        self.finish('{"ver": 7}')


async def write(status):
    """Write one row to a store that responds with `status`."""
    socket, port = testing.bind_unused_port()
    handlers = [('.*', WriteHandler, {'status': status})]
    server = httpserver.HTTPServer(web.Application(handlers))
    server.add_socket(socket)
    client = tablestore.TableStore(f'127.0.0.1:{port}')
    try:
        return await client.transact((WRITE,))
    finally:
        client.close()
        server.stop()


class TestWrites:
    """Results and errors of a write.

    The planner retries at once only a write that certainly had no effect.
    """

    async def test_accepted_write_returns_its_version(self):
        """Guards against reporting an accepted write as failed."""
        assert await write(200) == 7

    @pytest.mark.parametrize('status', [429, 503])
    async def test_rejected_write_had_no_effect(self, status):
        """Guards against a missing retry, for which keys would wait."""
        with pytest.raises(errors.CallRejectedError):
            await write(status)

    async def test_other_failure_may_have_had_an_effect(self):
        """Guards against retrying a write that may still take effect."""
        with pytest.raises(errors.StoreUnavailableError) as caught:
            await write(500)
        assert not isinstance(caught.value, errors.CallRejectedError)

    async def test_version_conflict_is_its_own_error(self):
        """Guards against reporting a lost race as an outage."""
        with pytest.raises(errors.VersionConflictError):
            await write(412)


class RestoredHandler(web.RequestHandler):
    """Responds with the era, version and delay that a test has set."""

    def initialize(self, state):
        self._state = state

    async def get(self):
        if self.request.path == '/rows-feed':
            await asyncio.sleep(FEED_DELAY_S)
        self._respond()

    def post(self):
        self._state.posts += 1
        self._respond()

    def _respond(self):
        self.set_header('Store-Era', self._state.era)
        self.finish({'ver': self._state.version, 'rows': self._state.rows})


@attrs.define
class StoreState:
    """What `RestoredHandler` responds; `posts` counts writes."""

    era: str = '1'
    version: int = 40
    rows: list = attrs.Factory(list)
    posts: int = 0


@contextlib.asynccontextmanager
async def restored_store():
    """Yield the state of a store, and a client of it."""
    state = StoreState()
    socket, port = testing.bind_unused_port()
    handlers = [('.*', RestoredHandler, {'state': state})]
    server = httpserver.HTTPServer(web.Application(handlers))
    server.add_socket(socket)
    client = tablestore.TableStore(f'127.0.0.1:{port}')
    try:
        yield state, client
    finally:
        client.close()
        server.stop()


def entry(key, version, **fields):
    """Return the JSON form of a row of the table `op`."""
    value = {'removed': True} if fields.get('removed') else {'value': ''}
    return {'table': 'op', 'part': '', 'key': key, 'ver': version, **value}


class TestRemovedRows:
    """Rows that a feed reports as removed."""

    def test_newest_entry_of_a_key_counts(self):
        """Guards against an evacuation that outlives its withdrawal.

        A feed may have a row and its removal, in any order. An entry without a
        version is left out.
        """
        entries = [
            entry('a', 31),
            entry('a', 32, removed=True),
            entry('b', 34),
            entry('b', 33, removed=True),
            entry('c', 'x', removed=True),
        ]
        page = storepages.decode({'ver': 40, 'rows': entries}, 0)
        assert [row.key for row in page.rows] == ['op/b']
        assert page.removed == ('op/a',)


class TestRestoredStore:
    """A store that comes back from a copy, with versions given out again."""

    async def test_versions_rise_from_era_to_era(self):
        """Guards against a lost row that counts as newer than the present."""
        async with restored_store() as (state, client):
            before = (await client.read('plans/')).version
            state.era = '2'
            state.version = 30
            assert (await client.read('plans/')).version > before

    async def test_write_with_an_earlier_version_is_a_conflict(self):
        """Guards against a write that meets a number given out again."""
        async with restored_store() as (state, client):
            before = (await client.read('plans/')).version
            state.era = '2'
            await client.read('plans/')
            with pytest.raises(errors.VersionConflictError):
                await client.transact((store.Write('plans/a', b'', before),))
            assert not state.posts

    async def test_write_that_met_an_equal_number_is_in_doubt(self):
        """Guards against a planner that relies on what it wrote by chance."""
        async with restored_store() as (state, client):
            before = (await client.read('plans/')).version
            state.era = '2'
            with pytest.raises(errors.StoreUnavailableError) as caught:
                await client.transact((store.Write('plans/a', b'', before),))
            assert not isinstance(caught.value, errors.CallRejectedError)

    async def test_watch_ends_when_another_call_shows_the_next_era(self):
        """Guards against changes that a watch misses for half a minute.

        It waited for versions above one that the restored store has yet to
        reach.
        """
        async with restored_store() as (state, client):
            after = (await client.read('op/')).version
            watch = asyncio.ensure_future(client.watch('op/', after, 20_000))
            await asyncio.sleep(FEED_DELAY_S / 10)
            state.era = '2'
            await client.read('plans/')
            with pytest.raises(errors.HistoryGoneError):
                await asyncio.wait_for(watch, FEED_DELAY_S / 2)

    @pytest.mark.parametrize('era', ['-1', '1.5', 'x', '', '9' * 40, '1, 2'])
    async def test_unreadable_era_is_none(self, era):
        """Guards against an agent that a strange header field confuses."""
        async with restored_store() as (state, client):
            before = (await client.read('plans/')).version
            state.era = era
            assert (await client.read('plans/')).version == before
