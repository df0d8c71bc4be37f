"""Front end to the platform's store: runs reads and writes off the tick."""

import functools

from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import tasks

_log = logs.logger('store')


class StoreLink(frontends.FrontEnd):
    """Carries out store messages, each in its own task of the loop."""

    kinds = (
        storemsg.StorePut,
        storemsg.StoreRead,
        storemsg.StoreWatch,
    )

    def __init__(self, post, store):
        """Talk to `store`, a `store.Store`."""
        super().__init__(post)
        self._store = store
        self._tasks = tasks.Tasks()
        self._is_lost = False

    async def start(self):
        """Open nothing: connections are made when they are needed."""

    async def stop(self):
        """Drop reads and writes that wait for an answer."""
        self._tasks.cancel()

    def carry_out(self, message):
        """Start one read or write."""
        self._tasks.start(
            self._answer(message), functools.partial(self._fail, message)
        )

    async def ask(self, message):
        """Return the answer to one call; raise `errors.StoreError`."""
        if isinstance(message, storemsg.StoreRead):
            return _read(message, await self._store.read(message.table))
        if isinstance(message, storemsg.StoreWatch):
            changes = await self._store.watch(
                message.table, message.after, message.wait_ms
            )
            return _read(message, changes)
        version = await self._store.put(
            message.key,
            message.body,
            message.expected_version,
            message.guards,
        )
        return storemsg.StoreWritten(message.ticket, version)

    def _fail(self, message, error):
        """Report a call that ended in a way that nobody expects."""
        answer = storemsg.StoreFailed(message.ticket, repr(error))
        self._note_store(answer)
        self._post(answer)

    async def _answer(self, message):
        try:
            answer = await self.ask(message)
        except errors.VersionConflictError:
            answer = storemsg.StoreRefused(message.ticket)
        except errors.StoreError as error:
            answer = storemsg.StoreFailed(
                message.ticket,
                str(error),
                isinstance(error, errors.CallRejectedError),
            )
        self._note_store(answer)
        self._post(answer)

    def _note_store(self, answer):
        """Log when the store is lost, and when it answers again."""
        has_failed = isinstance(answer, storemsg.StoreFailed)
        if has_failed and not self._is_lost:
            _log.warning('store-lost', call=answer.ticket, detail=answer.detail)
        elif self._is_lost and not has_failed:
            _log.info('store-regained', call=answer.ticket)
        self._is_lost = has_failed


def _read(message, changes):
    return storemsg.StoreChanges(message.ticket, changes.rows, changes.version)
