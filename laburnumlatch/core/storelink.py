"""Front end to the platform's store: runs calls outside the tick."""

import functools

from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import tasks

_log = logs.logger('store')


class StoreLink(frontends.FrontEnd):
    """Carries out store messages, each in its own asyncio task."""

    kinds = (
        storemsg.StorePut,
        storemsg.StoreRead,
        storemsg.StoreWatch,
    )

    def __init__(self, post, store):
        """Make calls to `store`, a `store.Store`."""
        super().__init__(post)
        self._store = store
        self._tasks = tasks.Tasks()
        self._is_unavailable = False

    async def start(self):
        """Open nothing: the store connects when a call needs it."""

    async def stop(self):
        """Cancel calls that wait for a response."""
        self._tasks.cancel()

    def carry_out(self, message):
        """Start one call."""
        self._tasks.start(
            self._call_and_post(message),
            functools.partial(self._post_unexpected_error, message),
        )

    def give_up(self, message):
        """Report that the call has failed."""
        self._post(storemsg.StoreFailed(message.ticket, 'not started'))
        return ''

    async def call(self, message):
        """Return the response to one call; raise `errors.StoreError`."""
        if isinstance(message, storemsg.StoreRead):
            return _changes_response(
                message, await self._store.read(message.table)
            )
        if isinstance(message, storemsg.StoreWatch):
            changes = await self._store.watch(
                message.table, message.after, message.wait_ms
            )
            return _changes_response(message, changes)
        version = await self._store.put(
            message.key,
            message.body,
            message.expected_version,
            message.guards,
        )
        return storemsg.StoreWritten(message.ticket, version)

    def _post_unexpected_error(self, message, error):
        """Report a call that raised another error than `errors.StoreError`.

        Without a response the system would wait for it forever.
        """
        response = storemsg.StoreFailed(message.ticket, repr(error))
        self._log_availability(response)
        self._post(response)

    async def _call_and_post(self, message):
        try:
            response = await self.call(message)
        except errors.VersionConflictError:
            response = storemsg.StoreRefused(message.ticket)
        except errors.StoreError as error:
            response = storemsg.StoreFailed(
                message.ticket,
                str(error),
                isinstance(error, errors.CallRejectedError),
            )
        self._log_availability(response)
        self._post(response)

    def _log_availability(self, response):
        """Log when calls start to fail, and when they succeed again."""
        has_failed = isinstance(response, storemsg.StoreFailed)
        if has_failed and not self._is_unavailable:
            _log.warning(
                'store-lost', call=response.ticket, detail=response.detail
            )
        elif self._is_unavailable and not has_failed:
            _log.info('store-regained', call=response.ticket)
        self._is_unavailable = has_failed


def _changes_response(message, changes):
    return storemsg.StoreChanges(
        message.ticket, changes.rows, changes.version, changes.removed
    )
