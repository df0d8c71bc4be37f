"""Header fields packed into one text, and their way between agents."""

import itertools
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from laburnumlatch.core import errors
from laburnumlatch.core import headfields
from laburnumlatch.core import wire
from laburnumlatch.mesh import messages
from tests import streams

TEXTS = strategies.text(
    strategies.characters(max_codepoint=255, exclude_characters='\n')
)
PAIRS = strategies.lists(strategies.tuples(TEXTS, TEXTS))
HEAD_BYTES = 15_000


class TestHeadFields:
    """The pairs that were packed, and nothing else."""

    @hypothesis.given(PAIRS)
    def test_pairs_survive(self, pairs):
        """Guards against fields that change when they are packed."""
        packed = headfields.pack(pairs)
        assert list(packed) == pairs
        assert len(packed) == len(pairs)
        assert packed == tuple(pairs)

    @hypothesis.given(PAIRS, TEXTS)
    def test_get_joins_all_texts_of_a_name(self, pairs, name):
        """Guards against a field that is found by one case only."""
        doubled = [*pairs, (name, '1'), *pairs, (name.upper(), '2')]
        texts = [
            text for field, text in doubled if field.lower() == name.lower()
        ]
        assert headfields.pack(doubled).get(name) == ','.join(texts)

    def test_line_end_adds_no_field(self):
        """Guards against a text that another hop reads as two fields."""
        pairs = [('a', 'b\nX-Shard-Key'), ('c\nd', 'e'), ('f', 'g')]
        assert headfields.pack(pairs) == (('f', 'g'),)

    def test_parsed_head_takes_about_its_bytes(self):
        """Guards against Python objects for each line of a head."""
        lines = tuple(itertools.repeat(b'a:', HEAD_BYTES // 4))
        request = streams.post(*lines, b'Content-Length: 0')
        tracemalloc.start()
        requests, is_bad = streams.parse(
            [request], max_head_bytes=len(request) * 2
        )
        held_bytes, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert not is_bad
        assert len(requests[0][2]) == len(lines) + 2
        assert held_bytes < 2 * len(request)


class TestFrames:
    """Fields on a connection between agents."""

    codec = wire.Codec((messages.Answer,))

    def test_fields_are_pairs_on_the_connection(self):
        """Guards against heads that agents of other builds cannot read."""
        pairs = (('a', 'b'), ('c', ''))
        encoded = self.codec.encode(messages.Answer(200, pairs, b''))
        assert b'\x92\x92\xa1a\xa1b\x92\xa1c\xa0' in encoded
        assert self.codec.decode(encoded).fields == pairs

    def test_list_without_bound_is_refused(self):
        """Guards against a frame that takes many times its bytes."""
        empty = tuple(itertools.repeat((), wire.MAX_ITEMS + 1))
        with pytest.raises(errors.WireError):
            self.codec.decode(wire.msgpack.packb((1, 0, (200, empty, b''))))

    @pytest.mark.parametrize('fields', [[['a']], [[1, 2]], [['a', None]], 5])
    def test_other_fields_are_refused(self, fields):
        """Guards against a frame that ends the process of its receiver."""
        encoded = wire.msgpack.packb((1, 0, (200, fields, b'')))
        with pytest.raises(errors.WireError):
            self.codec.decode(encoded)
