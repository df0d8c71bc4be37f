"""Reads the settings file again when it has changed."""

import asyncio

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.mesh import configmsg
from laburnumlatch.platform import bootfile

FILE_CHECK_INTERVAL_S = 2

_log = logs.logger('agent')


class SettingsWatch:
    """Posts `configmsg.SettingsChanged` for each valid new settings file."""

    def __init__(self, path, post):
        """Watch the file at `path`; `start` begins."""
        self._path = path
        self._post = post
        self._changed_at = bootfile.changed_at(path)

    def start(self):
        """Reload if the file has changed; check again later."""
        asyncio.get_running_loop().call_later(FILE_CHECK_INTERVAL_S, self.start)
        changed_at = bootfile.changed_at(self._path)
        if changed_at != self._changed_at:
            self._changed_at = changed_at
            self.reload()

    def reload(self):
        """Read the file; a file that is not valid changes nothing."""
        try:
            settings = bootfile.load(self._path)
        except errors.InvalidInputError as error:
            _log.error('settings-refused', detail=error)
        else:
            self._post(configmsg.SettingsChanged(settings))
