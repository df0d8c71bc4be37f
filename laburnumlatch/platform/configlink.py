"""Front end to the operator's row of the store."""

import asyncio

from laburnumlatch import docmsg
from laburnumlatch import errors
from laburnumlatch import frontends
from laburnumlatch import logs
from laburnumlatch.mesh import messages
from laburnumlatch.platform import configrows

TABLE = 'op/'
ROW = 'op/config'

_log = logs.logger('config')


class ConfigLink(frontends.FrontEnd):
    """Reads and watches the configuration."""

    kinds = (messages.ReadConfiguration, messages.WatchConfiguration)

    def __init__(self, post, store):
        """Talk to `store`, a `store.Store`."""
        super().__init__(post)
        self._store = store
        self._tasks = set()

    async def start(self):
        """Open nothing: connections are made when they are needed."""

    async def stop(self):
        """Drop the calls that wait for an answer."""
        for task in self._tasks:
            task.cancel()

    def carry_out(self, message):
        """Start one call."""
        task = asyncio.ensure_future(self._answer(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, message):
        try:
            changes = await self._ask(message)
        except errors.StoreError as error:
            self._post(docmsg.StoreFailed(message.ticket, str(error)))
            return
        self._post(
            messages.ConfigurationRead(
                message.ticket,
                tuple(_configurations(changes.rows)),
                changes.version,
            ),
        )

    async def _ask(self, message):
        if isinstance(message, messages.ReadConfiguration):
            return await self._store.read(TABLE)
        return await self._store.watch(TABLE, message.after, message.wait_ms)


def _configurations(rows):
    for row in rows:
        if row.key != ROW:
            continue
        try:
            yield configrows.decode(row.body)
        except errors.InvalidInputError as error:
            _log.error('row {} ignored: {}', row.key, error)
