"""Durations as the platform writes them: a number and `ms` or `s`."""

import math
import re

from laburnumlatch.core import clock
from laburnumlatch.core import errors

# No duration of the platform comes near to ten years.
MAX_DIGITS = 12
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')


def parse(text):
    """Return `text` in whole ms; raise `errors.InvalidInputError`."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None or len(match.group(1)) > MAX_DIGITS:
        raise errors.InvalidInputError(f'{text!r:.40} is no duration')
    number = float(match.group(1))
    if match.group(2) == 's':
        number *= clock.MS_PER_S
    return math.floor(number)


def render(duration_ms):
    """Return whole ms as the platform writes them."""
    return f'{int(duration_ms)}ms'
