"""Parses YAML, keeping the place of every value, and checks its fields."""

import re

import attrs
import yaml

from laburnumlatch.core import errors
from laburnumlatch.core import findings

MAX_DEPTH = 16
# Names are used as segments of URL paths and of store keys.
NAME_EXPECTED = (
    'a name of 1 to 64 letters, digits, ".", "_" or "-", '
    'starting with a letter or digit'
)
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}', re.ASCII)


@attrs.define(frozen=True)
class Node:
    """A YAML value and its place in the file.

    A mapping is a dict of `Node` by field name, a sequence a list of `Node`.
    `name_place` is the place of the field's name if the node is a field.
    """

    value: object
    place: findings.Place
    name_place: findings.Place | None = None

    @property
    def is_mapping(self):
        """Whether the value is a mapping of str to `Node`."""
        return isinstance(self.value, dict)


class _Loader(yaml.SafeLoader):
    """Rejects aliases and deep nesting, which can exhaust memory or stack."""

    def __init__(self, stream):
        super().__init__(stream)
        self._depth = 0

    def compose_node(self, parent, index):
        if self.check_event(yaml.AliasEvent):
            self._reject('aliases are not allowed')
        if self._depth == MAX_DEPTH:
            self._reject(f'more than {MAX_DEPTH} levels')
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node

    def _reject(self, problem):
        raise yaml.composer.ComposerError(
            None, None, problem, self.peek_event().start_mark
        )


def is_name(text):
    """Return whether `text` is safe as a segment of a URL path."""
    return _NAME.fullmatch(text) is not None


def load(text, file, problems):
    """Parse YAML text and return its root `Node`.

    Repeated fields and values that do not fit their tag are added to
    `problems`, a `findings.Findings`. A syntax error or an empty file leaves
    nothing to check, so it raises `errors.FindingsError` with all findings.
    """
    try:
        tree = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = findings.Place(file, mark.line + 1, mark.column + 1)
        problems.add(place, f'not YAML: {error.problem}', 'valid YAML')
    except yaml.YAMLError as error:
        problems.add(findings.Place(file), f'not YAML: {error}', 'valid YAML')
    else:
        if tree is not None:
            return _convert(tree, file, problems)
        problems.add(findings.Place(file), 'the file is empty', 'a mapping')
    raise errors.FindingsError(problems.findings)


def _convert(tree, file, problems):
    """Return the `Node` of a PyYAML node; an invalid scalar becomes None."""
    place = _place(tree, file)
    if isinstance(tree, yaml.MappingNode):
        return Node(_convert_mapping(tree, file, problems), place)
    if isinstance(tree, yaml.SequenceNode):
        return Node(
            [_convert(child, file, problems) for child in tree.value], place
        )
    try:
        return Node(yaml.SafeLoader('').construct_object(tree), place)
    except (yaml.YAMLError, ValueError):
        problems.add(
            place, f'bad value {tree.value!r}', f'a value of {tree.tag}'
        )
    return Node(None, place)


def _convert_mapping(tree, file, problems):
    """Return the fields of a mapping as a dict of `Node` by name."""
    fields = {}
    for name_tree, field_tree in tree.value:
        name_place = _place(name_tree, file)
        node = _convert(field_tree, file, problems)
        if not isinstance(name_tree, yaml.ScalarNode):
            problems.add(name_place, 'a field name is not text', 'text')
            continue
        name = name_tree.value
        if name in fields:
            problems.add(name_place, f'field {name!r} is repeated', 'it once')
        fields[name] = attrs.evolve(node, name_place=name_place)
    return fields


def _place(tree, file):
    mark = tree.start_mark
    return findings.Place(file, mark.line + 1, mark.column + 1)


@attrs.define
class Reader:
    """Reads the fields of one mapping node and records invalid ones.

    Fields that have been read are known; `report_unknown_fields` records the
    others. A node that is not a mapping gets one finding, recorded there.
    """

    _node: Node
    _problems: findings.Findings
    _known_fields: set[str] = attrs.Factory(set)

    @property
    def place(self):
        """Place of the mapping in the file."""
        return self._node.place

    def node(self, name):
        """Return the node of a field, or None if it is missing."""
        self._known_fields.add(name)
        if not self._node.is_mapping:
            return None
        return self._node.value.get(name)

    def value(self, name, value_type, expected, default=attrs.NOTHING):
        """Return the value of a field, which must be of `value_type`.

        Returns `default` for a missing field; without a default the field is
        required. Returns None and records a finding if the field is invalid
        or missing. A bool is not an int.
        """
        node = self.node(name)
        if node is None:
            if default is attrs.NOTHING:
                if not self._node.is_mapping:
                    return None
                self._problems.add(
                    self.place,
                    f'field {name!r} is missing',
                    expected,
                )
                return None
            return default
        if type(node.value) is value_type:
            return node.value
        self._problems.add(
            node.place,
            f'field {name!r} is {node.value!r}',
            expected,
        )
        return None

    def name(self, field):
        """Return a required field that must be a name, or None if invalid."""
        text = self.value(field, str, NAME_EXPECTED)
        if text is None or is_name(text):
            return text
        self._problems.add(
            self.node(field).place,
            f'field {field!r} is {text!r}',
            NAME_EXPECTED,
        )
        return None

    def number(self, name, low, high, default=attrs.NOTHING):
        """Return an int field from `low` to `high`, both included.

        Returns None if the field is invalid.
        """
        expected = f'a whole number from {low} to {high}'
        number = self.value(name, int, expected, default)
        if number is None or number is default or low <= number <= high:
            return number
        self._problems.add(
            self.node(name).place,
            f'field {name!r} is {number}',
            expected,
        )
        return None

    def report_unknown_fields(self):
        """Record every field that was not read, or a node without fields."""
        if not self._node.is_mapping:
            self._problems.add(self.place, 'not a mapping', 'named fields')
            return
        known_names = ', '.join(sorted(self._known_fields))
        for name, node in self._node.value.items():
            if name not in self._known_fields:
                self._problems.add(
                    node.name_place,
                    f'unknown field {name!r}',
                    f'one of {known_names}',
                )
