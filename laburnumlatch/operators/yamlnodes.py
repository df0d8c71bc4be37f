"""YAML read with the place of every value, and checked field by field."""

import re

import attrs
import yaml

from laburnumlatch.core import errors
from laburnumlatch.core import findings

MAX_DEPTH = 16
# Names become segments of URL paths and of store keys.
NAME_EXPECTED = (
    'a name of 1 to 64 letters, digits, ".", "_" or "-", '
    'starting with a letter or digit'
)
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}', re.ASCII)


@attrs.define(frozen=True)
class Node:
    """A YAML value and its place; mappings and lists hold nodes.

    `name_place` is the place of the field's name, if it is a field.
    """

    value: object
    place: findings.Place
    name_place: findings.Place | None = None

    @property
    def is_mapping(self):
        """Tell whether the value is a mapping of str to `Node`."""
        return isinstance(self.value, dict)


class _Loader(yaml.SafeLoader):
    """Refuses aliases and deep nesting, which can exhaust memory or stack."""

    def __init__(self, stream):
        super().__init__(stream)
        self._depth = 0

    def compose_node(self, parent, index):
        if self.check_event(yaml.AliasEvent):
            self._refuse('aliases are not allowed')
        if self._depth == MAX_DEPTH:
            self._refuse(f'more than {MAX_DEPTH} levels')
        self._depth += 1
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node

    def _refuse(self, problem):
        raise yaml.composer.ComposerError(
            None, None, problem, self.peek_event().start_mark
        )


def is_name(text):
    """Tell whether `text` is safe as a segment of a URL path."""
    return _NAME.fullmatch(text) is not None


def load(text, file, found):
    """Parse `text` to a `Node`.

    Problems of the syntax and repeated fields go to `found`; a syntax error
    also raises `errors.FindingsError`, since nothing is left to check.
    """
    try:
        tree = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = findings.Place(file, mark.line + 1, mark.column + 1)
        found.add(place, f'not YAML: {error.problem}', 'valid YAML')
    except yaml.YAMLError as error:
        found.add(findings.Place(file), f'not YAML: {error}', 'valid YAML')
    else:
        if tree is not None:
            return _convert(tree, file, found)
        found.add(findings.Place(file), 'the file is empty', 'a mapping')
    raise errors.FindingsError(found.found)


def _convert(tree, file, found):
    place = _place(tree, file)
    if isinstance(tree, yaml.MappingNode):
        return Node(_convert_mapping(tree, file, found), place)
    if isinstance(tree, yaml.SequenceNode):
        return Node([_convert(sub, file, found) for sub in tree.value], place)
    try:
        return Node(yaml.SafeLoader('').construct_object(tree), place)
    except (yaml.YAMLError, ValueError):
        found.add(place, f'bad value {tree.value!r}', f'a value of {tree.tag}')
    return Node(None, place)


def _convert_mapping(tree, file, found):
    fields = {}
    for name_tree, field_tree in tree.value:
        name_place = _place(name_tree, file)
        node = _convert(field_tree, file, found)
        if not isinstance(name_tree, yaml.ScalarNode):
            found.add(name_place, 'a field name is not text', 'text')
            continue
        name = name_tree.value
        if name in fields:
            found.add(name_place, f'field {name!r} is repeated', 'it once')
        fields[name] = attrs.evolve(node, name_place=name_place)
    return fields


def _place(tree, file):
    mark = tree.start_mark
    return findings.Place(file, mark.line + 1, mark.column + 1)


@attrs.define
class Reader:
    """Takes the fields of one mapping node and records what is wrong."""

    _node: Node
    _found: findings.Findings
    _taken: set[str] = attrs.Factory(set)

    @property
    def place(self):
        """Place of the mapping."""
        return self._node.place

    def node(self, name):
        """Return the node of a field, or None if it is missing."""
        self._taken.add(name)
        if not self._node.is_mapping:
            return None
        return self._node.value.get(name)

    def take(self, name, kind, expected, default=attrs.NOTHING):
        """Return the field if it is of `kind`, else `default` or None.

        Without a default the field is required. A bool is not an int.
        """
        node = self.node(name)
        if node is None:
            if default is attrs.NOTHING:
                if not self._node.is_mapping:
                    return None
                self._found.add(
                    self.place,
                    f'field {name!r} is missing',
                    expected,
                )
                return None
            return default
        if type(node.value) is kind:
            return node.value
        self._found.add(
            node.place,
            f'field {name!r} is {node.value!r}',
            expected,
        )
        return None

    def name(self, field):
        """Return the text of a field that must be a name."""
        text = self.take(field, str, NAME_EXPECTED)
        if text is None or is_name(text):
            return text
        self._found.add(
            self.node(field).place,
            f'field {field!r} is {text!r}',
            NAME_EXPECTED,
        )
        return None

    def number(self, name, low, high, default=attrs.NOTHING):
        """Return an int from `low` to `high`, both included."""
        expected = f'a whole number from {low} to {high}'
        number = self.take(name, int, expected, default)
        if number is None or number is default or low <= number <= high:
            return number
        self._found.add(
            self.node(name).place,
            f'field {name!r} is {number}',
            expected,
        )
        return None

    def finish(self):
        """Record every field that nobody took."""
        if not self._node.is_mapping:
            self._found.add(self.place, 'not a mapping', 'named fields')
            return
        known = ', '.join(sorted(self._taken))
        for name, node in self._node.value.items():
            if name not in self._taken:
                self._found.add(
                    node.name_place,
                    f'unknown field {name!r}',
                    f'one of {known}',
                )
