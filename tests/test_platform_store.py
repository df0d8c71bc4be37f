"""What answers of the platform's store mean for a write."""

import pytest
from tornado import httpserver
from tornado import testing
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.core import store
from laburnumlatch.platform import tablestore

WRITE = store.Write('plans/bokun', b'plan', 0)


class Answer(web.RequestHandler):
    """Answers each call with one status."""

    def initialize(self, status):
        self._status = status

    def post(self):
        self.set_status(self._status)
        self.finish('{"ver": 7}')


async def write(status):
    """Write one row to a store that answers with `status`."""
    socket, port = testing.bind_unused_port()
    handlers = [('.*', Answer, {'status': status})]
    server = httpserver.HTTPServer(web.Application(handlers))
    server.add_socket(socket)
    client = tablestore.TableStore(f'127.0.0.1:{port}')
    try:
        return await client.transact((WRITE,))
    finally:
        client.close()
        server.stop()


class TestWrites:
    """The planner repeats at once only what has certainly not been done."""

    async def test_written_row_has_its_version(self):
        """Guards against an accepted write that is taken for a failed one."""
        assert await write(200) == 7

    @pytest.mark.parametrize('status', [429, 503])
    async def test_rejected_write_was_not_done(self, status):
        """Guards against keys that wait for a write that was turned down."""
        with pytest.raises(errors.CallRejectedError):
            await write(status)

    async def test_other_failure_is_in_doubt(self):
        """Guards against a repeat of a write that may still take effect."""
        with pytest.raises(errors.StoreUnavailableError) as caught:
            await write(500)
        assert not isinstance(caught.value, errors.CallRejectedError)

    async def test_conflict_was_not_done(self):
        """Guards against a lost race that is taken for an outage."""
        with pytest.raises(errors.VersionConflictError):
            await write(412)
