"""Tests of how the store client reports the end of a write."""

import pytest
from tornado import httpserver
from tornado import testing
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.core import store
from laburnumlatch.platform import tablestore

WRITE = store.Write('plans/bokun', b'plan', 0)


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
