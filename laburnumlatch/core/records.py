"""Rows and messages: attrs classes whose comparison is not generated code.

attrs compiles methods of its own for each class, which would take a large part
of the processor time of a start. `define` leaves only `__init__` to it.
"""

import functools
import operator

import attrs

# Functions that return the compared values of a record, by its class.
_getters = {}


def define(record_class=None, *, frozen=False):
    """Define an attrs class, as `attrs.define` does, at less cost.

    Comparison, hash and `repr` behave like those of attrs. Used with or
    without arguments; classes with an order use `attrs.define`.
    """
    if record_class is None:
        return functools.partial(define, frozen=frozen)
    defined = attrs.define(record_class, frozen=frozen, eq=False, repr=False)
    names = [field.name for field in attrs.fields(defined) if field.eq]
    _getters[defined] = operator.attrgetter(*names) if names else type
    defined.__eq__ = _equals
    # Rows that can change have no hash, as in attrs.
    defined.__hash__ = _hash if frozen else None
    defined.__repr__ = _repr
    return defined


def _equals(record, other):
    if type(record) is not type(other):
        return NotImplemented
    values_of = _getters[type(record)]
    return values_of(record) == values_of(other)


def _hash(record):
    return hash(_getters[type(record)](record))


def _repr(record):
    described = ', '.join(
        f'{field.name}={getattr(record, field.name)!r}'
        for field in attrs.fields(type(record))
        if field.repr
    )
    return f'{type(record).__qualname__}({described})'
