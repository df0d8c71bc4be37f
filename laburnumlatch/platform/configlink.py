"""Front end to the operator's row of the store."""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storelink
from laburnumlatch.mesh import messages
from laburnumlatch.platform import configrows

TABLE = 'op/'
ROW = 'op/config'

_log = logs.logger('config')


class ConfigLink(storelink.StoreLink):
    """Reads and watches the configuration."""

    kinds = (messages.ReadConfiguration, messages.WatchConfiguration)

    async def ask(self, message):
        """Return the `messages.ConfigurationRead` for one call."""
        if isinstance(message, messages.ReadConfiguration):
            changes = await self._store.read(TABLE)
        else:
            changes = await self._store.watch(
                TABLE, message.after, message.wait_ms
            )
        return messages.ConfigurationRead(
            message.ticket,
            tuple(_configurations(changes.rows)),
            changes.version,
        )


def _configurations(rows):
    for row in rows:
        if row.key != ROW:
            continue
        try:
            yield configrows.decode(row.body)
        except errors.InvalidInputError as error:
            _log.error('row-ignored', row=row.key, detail=error)
