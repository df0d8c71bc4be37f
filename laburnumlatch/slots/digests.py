"""Pure functions that compare sets of documents by short hashes."""

import struct

from laburnumlatch.core import hashing
from laburnumlatch.slots import docrows

HEXADECIMAL = 16
MARK_BYTES = 4
PACKED_BYTES = MARK_BYTES * docrows.BUCKETS
_MASK = 2 ** (8 * MARK_BYTES) - 1
_PACKED = struct.Struct(f'!{docrows.BUCKETS}I')


def bucket_of(key):
    """Return the bucket of a document key, a (kind, name) pair."""
    return _number(key) % docrows.BUCKETS


def replace(spreading, known, document):
    """Account in a `docrows.Spreading` for `document`, in place of `known`."""
    number = bucket_of(document.key)
    if known is None:
        spreading.keys[number].append(document.key)
    else:
        spreading.buckets[number] ^= _mark(known)
    spreading.buckets[number] ^= _mark(document)


def top(buckets):
    """Return the hash of all documents, 16 hexadecimal digits."""
    return hashing.digest(pack(buckets))


def pack(buckets):
    """Return a hash of each bucket, in `PACKED_BYTES` bytes."""
    return _PACKED.pack(*(mark & _MASK for mark in buckets))


def differing(buckets, packed):
    """Return the numbers of the buckets whose hash differs in `packed`."""
    return [
        number
        for number, mark in enumerate(_PACKED.unpack(packed))
        if mark != buckets[number] & _MASK
    ]


def _mark(document):
    return _number((*document.key, str(document.version)))


def _number(parts):
    text = '\0'.join(parts)
    return int(hashing.digest(text.encode()), HEXADECIMAL)
