"""Rows and messages that are compared without generated code."""

import attrs
import pytest

from laburnumlatch.core import records


@records.define(frozen=True)
class _Reading:
    name: str
    level: int = 0
    cache: dict = attrs.field(factory=dict, eq=False, repr=False)


@records.define
class _Gauge:
    level: int


@records.define(frozen=True)
class _Empty:
    """A message without fields."""


class TestRecords:
    """Guards against rows that compare by identity, or differ from attrs."""

    def test_compares_by_fields(self):
        assert _Reading('a', 1, {1: 2}) == _Reading('a', 1)
        assert _Reading('a', 1) != _Reading('a', 2)
        assert _Reading('a') != 'a'
        assert _Gauge(0) != _Empty()
        assert _Empty() == _Empty()

    def test_equal_records_have_the_same_hash(self):
        assert {_Reading('a', 1): 'found'}[_Reading('a', 1)] == 'found'
        assert len({_Empty(), _Empty()}) == 1

    def test_a_row_that_can_change_has_no_hash(self):
        with pytest.raises(TypeError):
            hash(_Gauge(1))

    def test_frozen_rows_do_not_change(self):
        with pytest.raises(attrs.exceptions.FrozenInstanceError):
            _Reading('a').level = 2

    def test_shows_its_fields(self):
        assert repr(_Reading('a', 1)) == "_Reading(name='a', level=1)"
