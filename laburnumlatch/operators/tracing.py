"""Collects the log lines about one request from several agents' logs."""

import datetime
import itertools
import json
import os
import re

import attrs

from laburnumlatch.core import clock

REQUEST_FIELD = 'request'
_LINE = re.compile(
    r'(?P<prefix>.*?)'
    r'(?P<time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3})Z '
    r'(?P<level>\w+) (?P<part>\S+) (?P<event>\S+)(?P<fields>.*)'
)
_FIELD = re.compile(r' (?P<name>\w+)=(?P<text>"(?:[^"\\]|\\.)*"|[^\s"=]+)')


@attrs.define(frozen=True)
class Entry:
    """One parsed log line.

    `time_ms` is Unix time in ms by the clock of the host that wrote the line.
    `source` is the name of the file, and the prefix in front of the line that
    a log collector may have added. `part` is the name of the logger.
    """

    source: str
    time_ms: int
    level: str
    part: str
    event: str
    fields: dict


@attrs.define
class Trace:
    """Log lines about one request.

    `lines` counts all lines that were read, `bad_lines` those of them that
    could not be parsed.
    """

    request_id: str
    entries: list[Entry] = attrs.Factory(list)
    lines: int = 0
    bad_lines: int = 0

    def includes(self, entry):
        """Return whether a line is about the request or its nested calls.

        The ID of a nested call is that of its request, a dot and a suffix.
        """
        line_id = entry.fields.get(REQUEST_FIELD, '')
        return line_id == self.request_id or line_id.startswith(
            f'{self.request_id}.'
        )


def parse(line, source):
    """Return the `Entry` of a line, or None if it is not a log line.

    `source` is the name of the file.
    """
    match = _LINE.fullmatch(line.rstrip('\r\n'))
    if match is None:
        return None
    try:
        fields = _parse_fields(match['fields'])
        written_at = datetime.datetime.fromisoformat(f'{match["time"]}+00:00')
    except ValueError:
        # The line was truncated or written by another program.
        return None
    prefix = match['prefix'].strip()
    return Entry(
        source=f'{source}:{prefix}' if prefix else source,
        time_ms=round(written_at.timestamp() * clock.MS_PER_S),
        level=match['level'],
        part=match['part'],
        event=match['event'],
        fields=fields,
    )


def trace(request_id, paths, report_progress):
    """Return the `Trace` of a request in all files, sorted by time.

    `report_progress` is called with the share of the files that has been
    read, from 0 to 1. Raises OSError if a file cannot be read.
    """
    request_trace = Trace(request_id)
    total_bytes = max(1, sum(os.path.getsize(path) for path in paths))
    read_chars = 0
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as lines:
            for line in lines:
                _add_line(request_trace, line, os.path.basename(path))
                read_chars += len(line)
                report_progress(min(1, read_chars / total_bytes))
    request_trace.entries.sort(key=lambda entry: entry.time_ms)
    return request_trace


def as_text(request_trace):
    """Return a `Trace` as lines for people.

    Each has the ms since the first log line, then its source, event and
    fields. The last line says how many log lines matched and how many could
    not be parsed.
    """
    start_ms = request_trace.entries[0].time_ms if request_trace.entries else 0
    entry_lines = [
        ' '.join((
            f'+{entry.time_ms - start_ms}ms',
            entry.source,
            entry.event,
            *(
                f'{name}={text}'
                for name, text in entry.fields.items()
                if (name, text) != (REQUEST_FIELD, request_trace.request_id)
            ),
        ))
        for entry in request_trace.entries
    ]
    summary = (
        f'{len(request_trace.entries)} of {request_trace.lines} lines are '
        f'about {request_trace.request_id}; '
        f'{request_trace.bad_lines} lines could not be read'
    )
    return '\n'.join(itertools.chain(entry_lines, (summary, '')))


def _add_line(request_trace, line, source):
    """Count a line, and keep it if it is about the request."""
    if not line.strip():
        return
    request_trace.lines += 1
    entry = parse(line, source)
    if entry is None:
        request_trace.bad_lines += 1
    elif request_trace.includes(entry):
        request_trace.entries.append(entry)


def _parse_fields(text):
    """Return the fields after the event; raise ValueError if malformed."""
    fields = {}
    end = 0
    for match in _FIELD.finditer(text):
        if match.start() != end:
            raise ValueError(f'no field at {text[end:]!r}')
        end = match.end()
        field_text = match['text']
        is_quoted = field_text.startswith('"')
        fields[match['name']] = (
            json.loads(field_text) if is_quoted else field_text
        )
    if end != len(text):
        raise ValueError(f'no field at {text[end:]!r}')
    return fields
