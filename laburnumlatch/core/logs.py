"""Structured log lines: time, level, part, event, then `name=value` fields.

For example `2026-12-04T14:26:06.123Z info requests refused request=9c41`. A
value that is empty or has white space, a quote or an equals sign is written
as a JSON string.
"""

import datetime
import json
import re
import sys

import logbook

from laburnumlatch.core import clock
from laburnumlatch.core import linebound
from laburnumlatch.core import linesink

AGO = 'ago_ms'
# Stands for a value that there is not.
NOTHING = '-'
_PLAIN = re.compile(r'[^\s"=]+')


class PartLogger:
    """Writes the lines of one part of the program."""

    def __init__(self, part):
        """Name the part, a single lower-case word."""
        self._logger = logbook.Logger(part)

    def debug(self, event, **fields):
        """Write what only helps to debug this program."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event, **fields):
        """Write a decision of ordinary operation."""
        self._write(logbook.INFO, event, fields)

    def notice(self, event, **fields):
        """Write a decision about a request that did not end well."""
        self._write(logbook.NOTICE, event, fields)

    def warning(self, event, **fields):
        """Write that something this program depends on does not work."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event, **fields):
        """Write a fault that someone has to look at."""
        self._write(logbook.ERROR, event, fields)

    def past(self, ago_ms, event, fields):
        """Write a notice of a decision that was made `ago_ms` ago."""
        self._write(logbook.NOTICE, event, fields, ago_ms)

    def _write(self, level, event, fields, ago_ms=0):
        words = [event]
        words.extend(f'{name}={_text(fields[name])}' for name in fields)
        self._logger.log(level, ' '.join(words), extra={AGO: ago_ms})


class StructuredHandler(logbook.Handler):
    """Formats records, and writes them within the bounds of their part."""

    def __init__(self, sink, level, time_source):
        """Write to a `linesink.LineSink`; bounds use a `clock.Clock`."""
        super().__init__(level=logbook.lookup_level(level.upper()))
        self._sink = sink
        self._bounds = linebound.LineBounds(time_source)

    @property
    def left_out(self):
        """How many lines have not been written since the start."""
        return self._bounds.left_out + self._sink.left_out

    def emit(self, record):
        """Write a record, after how many of its part were left out."""
        left_out = self._bounds.admit(
            record.channel, is_routine=record.level < logbook.NOTICE
        )
        if left_out is None:
            return
        head = _head(record)
        if left_out:
            self._sink.write(f'{head} lines-left-out lines={left_out}')
        self._sink.write(f'{head} {record.message}')

    def close(self):
        """Write what waits, as far as the reader takes it."""
        self._sink.flush()


def logger(part):
    """Return the `PartLogger` whose lines carry `part`."""
    return PartLogger(part)


def set_up(level, stream=None):
    """Send lines of `level` (debug, info, warning, error) to a stream.

    The stream is standard output if none is given; it must have a file
    descriptor. Returns the `StructuredHandler`.
    """
    sink = linesink.LineSink((stream or sys.stdout).fileno())
    handler = StructuredHandler(sink, level, clock.MonotonicClock())
    handler.push_application()
    return handler


def _head(record):
    made = record.time
    ago_ms = record.extra[AGO]
    if ago_ms:
        made -= datetime.timedelta(milliseconds=ago_ms)
    time_text = made.isoformat(timespec='milliseconds')
    level = record.level_name.lower()
    return f'{time_text}Z {level} {record.channel}'


def _text(value):
    text = NOTHING if value is None else str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
