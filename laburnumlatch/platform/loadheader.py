"""Decodes the load that a backend server reports with its responses."""

import re

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.mesh import messages

LOAD = 'X-Backend-Load'
PERCENT = 100
# Far above any server: more is taken for an error.
MAX_REQUESTS = 10_000
MAX_PERCENT = 10_000
LOG_INTERVAL_MS = 60_000
# Some servers add how long work takes, in percent of the usual time.
_LOAD = re.compile(
    r'\s*(?P<running>\d{1,9})\s*,\s*(?P<waiting>\d{1,9})\s*,'
    r'\s*(?P<slots>\d{1,9})\s*'
    r'(?:,\s*(?P<percent>\d{1,9}(?:\.\d{1,9})?)\s*)?',
    re.ASCII,
)

_log = logs.logger('backend')


def decode(text):
    """Return the `messages.ServerLoadReport` in the text of the field.

    Raises `errors.InvalidInputError` if there are too few or too many figures,
    or one is no number, negative or huge.
    """
    match = _LOAD.fullmatch(text)
    if match is None:
        raise errors.InvalidInputError(f'{text!r:.40} is no load')
    counts = [
        int(match.group(name)) for name in ('running', 'waiting', 'slots')
    ]
    if max(counts) > MAX_REQUESTS:
        raise errors.InvalidInputError(f'{max(counts)} requests')
    if match.group('percent') is None:
        return messages.ServerLoadReport(*counts)
    percent = float(match.group('percent'))
    if not 0 < percent <= MAX_PERCENT:
        raise errors.InvalidInputError(f'a slowness of {percent} percent')
    return messages.ServerLoadReport(*counts, percent / PERCENT)


class LoadReader:
    """Reads the field of responses, and logs some of those that are invalid."""

    def __init__(self, time_source):
        """Bound the log lines by `time_source`, a `clock.Clock`."""
        self._clock = time_source
        self._logged_at = None

    def read(self, response):
        """Return the report in a response; None if it has no valid one.

        `response` is a `servercall.ServerResponse`.
        """
        text = response.get(LOAD)
        if text is None:
            return None
        try:
            return decode(text)
        except errors.InvalidInputError as error:
            self._log_invalid(error)
        return None

    def _log_invalid(self, error):
        now = self._clock.now()
        if self._logged_at is None or now >= self._logged_at + LOG_INTERVAL_MS:
            self._logged_at = now
            _log.warning('load-unreadable', detail=error)
