"""Parses an operators' file: one team's intent for one service."""

import attrs

from laburnumlatch.core import findings
from laburnumlatch.core import hashing
from laburnumlatch.core import wire
from laburnumlatch.mesh import routes
from laburnumlatch.operators import configuration
from laburnumlatch.operators import yamlnodes

MAX_CONNECTIONS = 100_000
MAX_DURATION_MS = 3_600_000
MAX_HEADER_BYTES = 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
MAX_REVISION = 1_000_000_000
MAX_PRIORITY = 9
MAX_ATTEMPTS = 9
MAX_WEIGHT = 1_000_000
DEFAULT_HEALTH_PATH = '/health'
PATH_EXPECTED = 'a path that begins with a slash'
PREFIX_EXPECTED = 'a path that begins and ends with a slash'


def parse(text, file):
    """Return the `configuration.Entry` in the YAML text of a file.

    `file` is the name shown in findings. Raises `errors.FindingsError` with
    all findings of the text.
    """
    problems = findings.Findings()
    reader = yamlnodes.Reader(yamlnodes.load(text, file, problems), problems)
    revision = reader.number('revision', 1, MAX_REVISION)
    team = reader.name('team')
    name = reader.name('service')
    if name == configuration.HEAD_NAME:
        place = reader.node('service').place
        problems.add(place, f'service {name!r} is reserved', 'another name')
    withdrawn = reader.value('withdrawn', bool, 'true or false', False)
    intent = None
    if not withdrawn:
        intent = _intent(reader, name, problems)
    reader.report_unknown_fields()
    problems.raise_if_any()
    return configuration.Entry(
        team,
        name,
        revision,
        '' if intent is None else hashing.digest(wire.pack(intent)),
        str(reader.place),
        intent,
    )


def _intent(reader, name, problems):
    """Return the `configuration.Intent`, or None if there are findings."""
    service = {
        'name': name,
        'health_path': _path(
            reader, 'health_path', PATH_EXPECTED, problems, DEFAULT_HEALTH_PATH
        ),
        'connections': reader.number('connections', 1, MAX_CONNECTIONS),
        'is_divided': reader.value('divided_by_key', bool, 'true or false'),
        'warmup_ms': reader.number('warmup_ms', 0, MAX_DURATION_MS, 0),
    }
    parsed_routes = _routes(reader, name, problems)
    limits = _limits(reader, problems)
    if problems.findings:
        return None
    return configuration.Intent(
        routes.Service(**service), routes.Limits(**limits), parsed_routes
    )


def _sections(reader, name, problems):
    """Return a (name, `Reader`) pair per entry of a mapping field, by name."""
    node = reader.node(name)
    if node is None or not node.is_mapping or not node.value:
        place = reader.place if node is None else node.place
        problems.add(place, f'field {name!r} has no entries', 'named entries')
        return []
    sections = sorted(node.value.items(), key=_field_name)
    for entry_name, entry in sections:
        _check_name(entry_name, entry.name_place, name, problems)
    return [
        (key, yamlnodes.Reader(mapping, problems)) for key, mapping in sections
    ]


def _check_name(entry_name, place, field, problems):
    if not yamlnodes.is_name(entry_name):
        problems.add(
            place,
            f'{field} has an entry {entry_name!r}',
            yamlnodes.NAME_EXPECTED,
        )


def _field_name(field):
    return field[0]


def _routes(reader, service, problems):
    """Return the `routes.Route`s; host and prefix must differ between them."""
    by_location = {}
    for name, section in _sections(reader, 'routes', problems):
        route = _route(name, section, service, problems)
        section.report_unknown_fields()
        first = by_location.setdefault((route.host, route.prefix), route)
        if first is not route:
            problems.add(
                section.place,
                f'routes {first.name} and {name} claim one host and prefix',
                'each host and prefix once',
            )
    return tuple(by_location.values())


def _route(name, section, service, problems):
    host = section.name('host') or ''
    return routes.Route(
        name=name,
        host=host.lower(),
        prefix=_path(section, 'prefix', PREFIX_EXPECTED, problems),
        kind=_kind(section, problems),
        shares=_shares(section, service, problems),
        timeout_ms=section.number('timeout_ms', 1, MAX_DURATION_MS, None),
        target_ms=section.number('target_ms', 1, MAX_DURATION_MS, None),
        priority=section.number(
            'priority', 0, MAX_PRIORITY, routes.DEFAULT_PRIORITY
        ),
        attempts=section.number('attempts', 1, MAX_ATTEMPTS, 1),
    )


def _path(reader, field, expected, problems, default=attrs.NOTHING):
    """Return a path, or an empty text if the field is invalid.

    Only a path with `PREFIX_EXPECTED` as `expected` must end with a slash.
    """
    text = reader.value(field, str, expected, default)
    if text is None:
        return ''
    is_slash_optional = expected == PATH_EXPECTED
    if text.startswith('/') and (is_slash_optional or text.endswith('/')):
        return text
    place = reader.node(field).place
    problems.add(place, f'field {field!r} is {text!r}', expected)
    return ''


def _kind(section, problems):
    """Return the `routes.Kind`; by default requests must not be retried."""
    expected = f'one of {", ".join(routes.Kind)}'
    text = section.value('kind', str, expected, routes.Kind.ONCE)
    try:
        return routes.Kind(text)
    except ValueError:
        if text is not None:
            place = section.node('kind').place
            problems.add(place, f"field 'kind' is {text!r}", expected)
    return routes.Kind.ONCE


def _shares(section, service, problems):
    """Return the `routes.Share`s; by default the service gets all requests."""
    node = section.node('split')
    if node is None:
        return (routes.Share(service or '', 1),)
    split = yamlnodes.Reader(node, problems)
    shares = []
    for name, weight in sorted(node.value.items() if node.is_mapping else ()):
        _check_name(name, weight.name_place, 'split', problems)
        shares.append(routes.Share(name, split.number(name, 1, MAX_WEIGHT)))
    split.report_unknown_fields()
    if not shares:
        problems.add(
            node.place, 'the split has no shares', 'weights by service'
        )
    return tuple(shares)


def _limits(reader, problems):
    """Return the arguments of `routes.Limits`; none without the section."""
    node = reader.node('limits')
    if node is None:
        return {}
    section = yamlnodes.Reader(node, problems)
    defaults = routes.Limits()
    bounds = {
        'header_bytes': MAX_HEADER_BYTES,
        'body_bytes': MAX_BODY_BYTES,
        'header_timeout_ms': MAX_DURATION_MS,
        'idle_timeout_ms': MAX_DURATION_MS,
    }
    limits = {
        name: section.number(name, 1, highest, getattr(defaults, name))
        for name, highest in bounds.items()
    }
    section.report_unknown_fields()
    return limits
