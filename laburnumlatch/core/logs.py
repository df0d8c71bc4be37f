"""Structured log lines: time, level, part, event, then `name=value` fields.

For example `2026-12-04T14:26:06.123Z info requests refused request=9c41`. A
value that is empty or contains white space, a quote or an equals sign is
written as a JSON string.
"""

import datetime
import json
import re
import sys

import logbook

from laburnumlatch.core import clock
from laburnumlatch.core import linebound
from laburnumlatch.core import linesink

AGO_EXTRA = 'ago_ms'
# Written for None.
NONE_TEXT = '-'
_PLAIN = re.compile(r'[^\s"=]+')


class PartLogger:
    """Writes the log lines of one part of the program."""

    def __init__(self, part):
        """Take the name of the part, a single lower-case word."""
        self._logger = logbook.Logger(part)

    def debug(self, event, **fields):
        """Log a detail that matters only when debugging this program."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event, **fields):
        """Log a decision of normal operation."""
        self._write(logbook.INFO, event, fields)

    def notice(self, event, **fields):
        """Log a decision about a request that did not succeed."""
        self._write(logbook.NOTICE, event, fields)

    def warning(self, event, **fields):
        """Log that a dependency of this program does not work."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event, **fields):
        """Log a fault that needs the attention of an operator."""
        self._write(logbook.ERROR, event, fields)

    def backdated_notice(self, ago_ms, event, fields):
        """Log a notice with the time of `ago_ms` milliseconds ago.

        Decisions about a request are kept, and logged only if it fails, is
        late or is sampled; each line bears the time of its decision.
        """
        self._write(logbook.NOTICE, event, fields, ago_ms)

    def _write(self, level, event, fields, ago_ms=0):
        words = [event]
        words.extend(f'{name}={_format_value(fields[name])}' for name in fields)
        self._logger.log(level, ' '.join(words), extra={AGO_EXTRA: ago_ms})


class StructuredHandler(logbook.Handler):
    """Formats log records and writes them within the limits of their part."""

    def __init__(self, sink, level, time_source, wall_clock):
        """Write records of `level` and above to `sink`.

        `sink` is a `linesink.LineSink`. `time_source`, a `clock.Clock`, is
        used for the rate limits, `wall_clock` for the times of lines.
        """
        super().__init__(level=logbook.lookup_level(level.upper()))
        self._sink = sink
        self._wall_clock = wall_clock
        self._limiter = linebound.LineLimiter(time_source)

    @property
    def left_out(self):
        """Number of lines dropped since the start."""
        return self._limiter.left_out + self._sink.left_out

    def emit(self, record):
        """Write a record unless its part has exceeded its limit.

        A line before it reports how many lines were dropped, if a report is
        due.
        """
        left_out = self._limiter.admit(
            record.channel, is_routine=record.level < logbook.NOTICE
        )
        if left_out is None:
            return
        prefix = _line_prefix(record, self._wall_clock.now())
        if left_out:
            self._sink.write(f'{prefix} lines-left-out lines={left_out}')
        self._sink.write(f'{prefix} {record.message}')

    def close(self):
        """Write as many queued lines as the reader accepts now."""
        self._sink.flush()


def logger(part):
    """Return the `PartLogger` whose lines bear the name `part`."""
    return PartLogger(part)


def set_up(level, stream=None):
    """Send lines of `level` (debug, info, warning, error) to a stream.

    The stream defaults to standard output; it must have a file descriptor.
    Returns the `StructuredHandler`.
    """
    sink = linesink.LineSink((stream or sys.stdout).fileno())
    handler = StructuredHandler(
        sink, level, clock.MonotonicClock(), clock.SteadyWallClock()
    )
    handler.push_application()
    return handler


def _line_prefix(record, now):
    """Return time, level and part of a record, written at `now` (Unix ms)."""
    written_ms = now - record.extra[AGO_EXTRA]
    written_at = datetime.datetime.fromtimestamp(
        written_ms / clock.MS_PER_S, datetime.UTC
    )
    time_text = written_at.replace(tzinfo=None).isoformat(
        timespec='milliseconds'
    )
    level = record.level_name.lower()
    return f'{time_text}Z {level} {record.channel}'


def _format_value(value):
    text = NONE_TEXT if value is None else str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
