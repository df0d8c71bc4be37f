"""Encoding of messages between agents, and of rows in the store."""

import zlib

import cattrs
import msgpack
from cattrs import errors as cattrs_errors
from cattrs.preconf import msgpack as msgpack_preconf

from laburnumlatch.core import errors

FORMAT_VERSION = 1
# The start of a zlib stream; no packed row starts so, as rows are maps.
COMPRESSED_START = b'x'
COMPRESSION_LEVEL = 6
# What a row of the store may unpack to: a plan of 100,000 pieces has 8 MB.
MAX_ROW_BYTES = 16_777_216

_STRUCTURE_ERRORS = (
    cattrs_errors.BaseValidationError,
    TypeError,
    ValueError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_UNPACK_ERRORS = (msgpack.UnpackException, zlib.error, *_STRUCTURE_ERRORS)

_converter = msgpack_preconf.make_converter(forbid_extra_keys=True)


class Codec:
    """Encodes messages of a fixed set of kinds as `[version, kind, fields]`.

    Fields stand in a list in the order of the class, without names: a lease
    datagram has to stay small.
    """

    def __init__(self, kinds):
        """Give each message class in `kinds` its position as number."""
        self._kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._converter = msgpack_preconf.make_converter(
            unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        )

    def encode(self, message):
        """Return the bytes of one message."""
        return msgpack.packb((
            FORMAT_VERSION,
            self._numbers[type(message)],
            self._converter.unstructure(message),
        ))

    def decode(self, body):
        """Return the message in `body`; raise `errors.WireError`."""
        version, number, fields = _unpack_head(body)
        if version != FORMAT_VERSION:
            raise errors.WireError(f'message format {version!r} is unknown')
        if type(number) is not int or not 0 <= number < len(self._kinds):
            raise errors.WireError(f'message kind {number!r} is unknown')
        kind = self._kinds[number]
        try:
            return self._converter.structure(fields, kind)
        except _STRUCTURE_ERRORS as error:
            raise errors.WireError(f'bad {kind.__name__}: {error}') from error


def pack(row):
    """Return the bytes of an attrs row, with field names."""
    return msgpack.packb(_converter.unstructure(row))


def pack_compressed(row):
    """Return the compressed bytes of a row that may be long.

    `unpack` takes them like those of `pack`.
    """
    return zlib.compress(pack(row), COMPRESSION_LEVEL)


def unpack(body, kind):
    """Return an attrs row of class `kind`; raise `errors.WireError`."""
    try:
        if body.startswith(COMPRESSED_START):
            body = _decompress(body)
        return _converter.structure(msgpack.unpackb(body), kind)
    except _UNPACK_ERRORS as error:
        raise errors.WireError(f'bad {kind.__name__}: {error}') from error


def _decompress(body):
    inflate = zlib.decompressobj()
    unpacked = inflate.decompress(body, MAX_ROW_BYTES)
    if not inflate.eof:
        raise errors.WireError('a row that is cut, or unpacks to too much')
    return unpacked


def _unpack_head(body):
    try:
        version, number, fields = msgpack.unpackb(body)
    except _UNPACK_ERRORS as error:
        raise errors.WireError(f'not a message: {error}') from error
    return version, number, fields
