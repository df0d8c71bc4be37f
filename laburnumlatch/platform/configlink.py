"""Front end that reads the configuration from the platform's store."""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storelink
from laburnumlatch.mesh import configmsg
from laburnumlatch.platform import configrows

TABLE = 'op/'
ROW = 'op/config'
# The rest of the key is a failure domain; the row asks to evacuate it.
EVACUATION_PREFIX = 'op/evacuate/'

_log = logs.logger('config')


class ConfigLink(storelink.StoreLink):
    """Reads and watches the table of the configuration row."""

    kinds = (configmsg.ReadConfiguration, configmsg.WatchConfiguration)

    async def call(self, message):
        """Return the `configmsg.ConfigurationRead` for a read or a watch.

        Raises `errors.StoreError` if the call fails.
        """
        is_complete = isinstance(message, configmsg.ReadConfiguration)
        if is_complete:
            changes = await self._store.read(TABLE)
        else:
            changes = await self._store.watch(
                TABLE, message.after, message.wait_ms
            )
        return configmsg.ConfigurationRead(
            message.ticket,
            tuple(_decode_configurations(changes.rows)),
            changes.version,
            evacuated=_domains(row.key for row in changes.rows),
            ended_evacuations=_domains(changes.removed),
            is_complete=is_complete,
            changed_in=changes.changed_in,
            is_prompt=not is_complete and message.wait_ms > 0,
        )


def _domains(keys):
    """Return the failure domains in keys of evacuation rows."""
    return tuple(
        key.removeprefix(EVACUATION_PREFIX)
        for key in keys
        if key.startswith(EVACUATION_PREFIX)
    )


def _decode_configurations(rows):
    """Yield the configuration of the row `ROW`; log it if it is invalid."""
    for row in rows:
        if row.key != ROW:
            continue
        try:
            yield configrows.decode(row.body)
        except errors.InvalidInputError as error:
            _log.error('row-ignored', row=row.key, detail=error)
