"""One operators' file: the intent of one team for one service."""

from laburnumlatch.core import findings
from laburnumlatch.core import hashing
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.operators import yamlnodes
from laburnumlatch.slots import rows

MAX_SLOTS = 65536
DEFAULT_SLOTS = 64
MAX_QUEUE = 100_000
MAX_DEADLINE_MS = 3_600_000
MAX_BODY_BYTES = 1024 * 1024 * 1024 * 1024
MAX_REVISION = 1_000_000_000


def parse(text, file):
    """Return the `configuration.Entry` in YAML text.

    Raises `errors.FindingsError` with all findings of the text.
    """
    found = findings.Findings()
    reader = yamlnodes.Reader(yamlnodes.load(text, file, found), found)
    revision = reader.number('revision', 1, MAX_REVISION)
    team = reader.name('team')
    name = reader.name('service')
    if name == configuration.HEAD_NAME:
        place = reader.node('service').place
        found.add(place, f'service {name!r} is reserved', 'another name')
    withdrawn = reader.take('withdrawn', bool, 'true or false', False)
    service = None
    if not withdrawn:
        service = _service(reader, name, team, found)
    reader.finish()
    found.raise_if_any()
    return configuration.Entry(
        team,
        name,
        revision,
        '' if service is None else hashing.digest(wire.pack(service)),
        str(reader.place),
        service,
    )


def _service(reader, name, team, found):
    classes = _classes(reader, found)
    fields = {
        'name': name,
        'team': team,
        'slot_count': reader.number('slots', 1, MAX_SLOTS, DEFAULT_SLOTS),
        'prefer': _prefer(reader, found),
        'classes': classes,
        'operations': _operations(reader, classes, found),
        **_limits(reader, found),
    }
    for flag in ('divided_by_key', 'checks_grants'):
        fields[flag] = reader.take(flag, bool, 'true or false')
    if fields['checks_grants'] and fields['divided_by_key'] is False:
        # Repeatable requests of an undivided service carry no token, so a
        # backend server that checks grants would refuse them.
        found.add(
            reader.node('checks_grants').place,
            'checks_grants is true but divided_by_key is false',
            'divided_by_key: true, or checks_grants: false',
        )
    if found.found:
        return None
    return rows.Service(**fields)


def _prefer(reader, found):
    expected = 'availability or churn'
    text = reader.take('prefer', str, expected, 'availability')
    try:
        return rows.Prefer(text)
    except ValueError:
        if text is not None:
            place = reader.node('prefer').place
            found.add(place, f"field 'prefer' is {text!r}", expected)
    return None


def _sections(reader, name, found):
    """Return (name, reader) pairs of the mappings in a field, by name."""
    node = reader.node(name)
    if node is None or not node.is_mapping or not node.value:
        place = reader.place if node is None else node.place
        found.add(place, f'field {name!r} has no entries', 'named entries')
        return []
    sections = sorted(node.value.items(), key=_name_of)
    for entry_name, entry in sections:
        _check_name(entry_name, entry, name, found)
    return [(key, yamlnodes.Reader(sub, found)) for key, sub in sections]


def _check_name(entry_name, entry, name, found):
    if not yamlnodes.is_name(entry_name):
        found.add(
            entry.name_place,
            f'{name} has an entry {entry_name!r}',
            yamlnodes.NAME_EXPECTED,
        )


def _name_of(field):
    return field[0]


def _classes(reader, found):
    classes = {}
    for name, section in _sections(reader, 'classes', found):
        classes[name] = rows.RequestClass(
            name,
            section.number('priority', 0, 9),
            section.number('queue', 1, MAX_QUEUE),
        )
        section.finish()
    return classes


def _operations(reader, classes, found):
    operations = {}
    for name, section in _sections(reader, 'operations', found):
        expected = f'one of {", ".join(classes)}'
        class_name = section.take('class', str, expected)
        if class_name and classes and class_name not in classes:
            place = section.node('class').place
            found.add(place, f'class {class_name!r} is unknown', expected)
        operations[name] = rows.Operation(
            name,
            class_name,
            section.take('repeatable', bool, 'true or false', False),
            section.number('deadline_ms', 1, MAX_DEADLINE_MS),
        )
        section.finish()
    return operations


def _limits(reader, found):
    node = reader.node('limits')
    if node is None:
        found.add(reader.place, "field 'limits' is missing", 'named limits')
        return {}
    section = yamlnodes.Reader(node, found)
    limits = {
        'concurrent': section.number('concurrent', 1, MAX_QUEUE),
        'connections': section.number('connections', 1, MAX_QUEUE),
        'body_bytes': section.number('body_bytes', 0, MAX_BODY_BYTES),
    }
    section.finish()
    return limits
