"""Durations in the platform's notation: a number with the unit `ms` or `s`."""

import math
import re

from laburnumlatch.core import clock
from laburnumlatch.core import errors

# 12 digits of ms are over 30 years; no duration of the platform is near 10.
MAX_DIGITS = 12
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')


def parse(text):
    """Return a duration in ms, rounded down.

    Raises `errors.InvalidInputError` if `text` is not a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None or len(match.group(1)) > MAX_DIGITS:
        raise errors.InvalidInputError(f'{text!r:.40} is not a duration')
    number = float(match.group(1))
    if match.group(2) == 's':
        number *= clock.MS_PER_S
    return math.floor(number)


def render(duration_ms):
    """Return a duration, cut to whole ms, in the platform's notation."""
    return f'{int(duration_ms)}ms'
