"""The way of one request through the log files of several agents."""

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
    """One log line.

    `time_ms` is in ms of Unix time by the clock of the host that wrote it;
    `source` names the file, and what stands before the line in it.
    """

    source: str
    time_ms: int
    level: str
    part: str
    event: str
    fields: dict


@attrs.define
class Trace:
    """What was found of one request; `bad_lines` could not be read."""

    request_id: str
    entries: list[Entry] = attrs.Factory(list)
    lines: int = 0
    bad_lines: int = 0

    def belongs(self, entry):
        """Tell whether a line is about the request or a call it made."""
        told = entry.fields.get(REQUEST_FIELD, '')
        return told == self.request_id or told.startswith(f'{self.request_id}.')


def parse(line, source):
    """Return the `Entry` of a line, or None if it is no log line."""
    match = _LINE.fullmatch(line.rstrip('\r\n'))
    if match is None:
        return None
    try:
        fields = _fields(match['fields'])
        made = datetime.datetime.fromisoformat(f'{match["time"]}+00:00')
    except ValueError:
        # A line that was cut, or written by another program.
        return None
    prefix = match['prefix'].strip()
    return Entry(
        source=f'{source}:{prefix}' if prefix else source,
        time_ms=round(made.timestamp() * clock.MS_PER_S),
        level=match['level'],
        part=match['part'],
        event=match['event'],
        fields=fields,
    )


def trace(request_id, paths, report):
    """Return the `Trace` of a request over all files, in order of time.

    `report` is called with the share of the bytes that has been read.
    Raises OSError if a file cannot be read.
    """
    found = Trace(request_id)
    total = max(1, sum(os.path.getsize(path) for path in paths))
    done = 0
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as lines:
            for line in lines:
                _take(found, line, os.path.basename(path))
                done += len(line)
                report(min(1, done / total))
    found.entries.sort(key=lambda entry: entry.time_ms)
    return found


def as_text(found):
    """Return a trace as lines: ms since its start, source, event, inputs."""
    start = found.entries[0].time_ms if found.entries else 0
    told = [
        ' '.join((
            f'+{entry.time_ms - start}ms',
            entry.source,
            entry.event,
            *(
                f'{name}={text}'
                for name, text in entry.fields.items()
                if (name, text) != (REQUEST_FIELD, found.request_id)
            ),
        ))
        for entry in found.entries
    ]
    total = (
        f'{len(found.entries)} of {found.lines} lines are about '
        f'{found.request_id}; {found.bad_lines} lines could not be read'
    )
    return '\n'.join(itertools.chain(told, (total, '')))


def _take(found, line, source):
    if not line.strip():
        return
    found.lines += 1
    entry = parse(line, source)
    if entry is None:
        found.bad_lines += 1
    elif found.belongs(entry):
        found.entries.append(entry)


def _fields(text):
    fields = {}
    end = 0
    for match in _FIELD.finditer(text):
        if match.start() != end:
            raise ValueError(f'no field at {text[end:]!r}')
        end = match.end()
        written = match['text']
        is_quoted = written.startswith('"')
        fields[match['name']] = json.loads(written) if is_quoted else written
    if end != len(text):
        raise ValueError(f'no field at {text[end:]!r}')
    return fields
