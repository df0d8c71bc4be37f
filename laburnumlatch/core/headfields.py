"""Header fields of a message, packed into one text.

A pair of texts for each field takes 50 to 115 bytes, so a head of 15 KB that
consists of very short lines would take up to 345 KB. Packed, a head takes about
as many bytes as it had on the connection.
"""

from collections import abc

import attrs

# Ends a name and separates fields. No field of a valid head contains it.
_LINE_END = '\n'
SEPARATOR = ','


@attrs.define(frozen=True, eq=False, repr=False)
class HeadFields(abc.Sequence):
    """The (name, text) pairs of a message, in its order.

    `packed` has each name, and behind it its text, with line ends between
    all of them; it is empty if there are no fields. Two of them are equal if
    they have the same pairs, and so is a tuple of these pairs.
    """

    packed: str = ''

    def __iter__(self):
        """Return an iterator over the pairs."""
        if not self.packed:
            return iter(())
        parts = iter(self.packed.split(_LINE_END))
        return zip(parts, parts, strict=True)

    def __len__(self):
        """Return the number of pairs."""
        return (self.packed.count(_LINE_END) + 1) // 2

    def __getitem__(self, index):
        """Return a pair, or a tuple of pairs for a slice."""
        return tuple(self)[index]

    def __eq__(self, other):
        """Return whether the other has the same pairs in the same order."""
        if isinstance(other, HeadFields):
            return self.packed == other.packed
        if isinstance(other, tuple):
            return tuple(self) == other
        return NotImplemented

    def __hash__(self):
        """Return the hash of the tuple of pairs."""
        return hash(tuple(self))

    def get(self, name, default=None):
        """Return the text of a field; of a repeated one, all joined by `,`.

        Names are compared without regard to case.
        """
        name = name.lower()
        # Most fields that are asked for are missing, and this is quick.
        if name not in self.packed.lower():
            return default
        texts = [text for field, text in self if field.lower() == name]
        return SEPARATOR.join(texts) if texts else default

    def without(self, names):
        """Return the fields whose names, in lower case, are not in `names`."""
        kept = [
            part
            for name, text in self
            if name.lower() not in names
            for part in (name, text)
        ]
        return HeadFields(_LINE_END.join(kept)) if kept else EMPTY

    def __repr__(self):
        """Return the pairs."""
        return f'HeadFields({tuple(self)})'


EMPTY = HeadFields()


def pack(pairs):
    """Return `HeadFields` of pairs; those that are packed stay as they are.

    Fields that contain a line end are left out: passed on, they would end
    the field and begin another one. Raises TypeError for a name or text that
    is no text, and ValueError for what is no pair.
    """
    if isinstance(pairs, HeadFields):
        return pairs
    parts = [part for name, text in pairs for part in (name, text)]
    packed = _LINE_END.join(parts)
    if packed.count(_LINE_END) >= max(1, len(parts)):
        names_and_texts = zip(parts[::2], parts[1::2], strict=True)
        return pack([
            pair for pair in names_and_texts if _LINE_END not in ''.join(pair)
        ])
    return HeadFields(packed) if parts else EMPTY
