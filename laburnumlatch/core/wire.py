"""Encoding of messages between agents, and of rows in the store."""

import zlib

import cattrs
import msgpack
from cattrs import errors as cattrs_errors
from cattrs.preconf import msgpack as msgpack_preconf

from laburnumlatch.core import errors
from laburnumlatch.core import headfields

FORMAT_VERSION = 1
# First byte of a zlib stream. No uncompressed row starts with it, since rows
# are packed as maps.
COMPRESSED_PREFIX = b'x'
COMPRESSION_LEVEL = 6
# Limit of a decompressed row of the store; a plan of 100,000 pieces has 8 MB.
MAX_DECOMPRESSED_BYTES = 16_777_216

# Items of one list in a message. A list of empty items takes 60 times as much
# memory as its bytes; the longest list, the fields of a head, has 8,192.
MAX_ITEMS = 65_536

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

    `fields` is a list in the order of the class, without field names, which
    keeps lease datagrams small.
    """

    def __init__(self, kinds):
        """Take the message classes; the position of each is its number."""
        self._kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._converter = msgpack_preconf.make_converter(
            unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        )
        # On the connection, fields are a list of pairs.
        self._converter.register_unstructure_hook(headfields.HeadFields, tuple)
        self._converter.register_structure_hook(
            headfields.HeadFields, _structure_fields
        )

    def encode(self, message):
        """Return one message as bytes."""
        return msgpack.packb((
            FORMAT_VERSION,
            self._numbers[type(message)],
            self._converter.unstructure(message),
        ))

    def decode(self, body):
        """Return the message in `body`; raise `errors.WireError` if invalid."""
        version, kind_number, fields = _unpack_envelope(body)
        if version != FORMAT_VERSION:
            raise errors.WireError(f'unknown message format {version!r}')
        if type(kind_number) is not int or not (
            0 <= kind_number < len(self._kinds)
        ):
            raise errors.WireError(f'unknown message kind {kind_number!r}')
        kind = self._kinds[kind_number]
        try:
            return self._converter.structure(fields, kind)
        except _STRUCTURE_ERRORS as error:
            raise errors.WireError(
                f'invalid {kind.__name__}: {error}'
            ) from error


def _structure_fields(pairs, _kind):
    return headfields.pack(pairs)


def pack(row):
    """Return an attrs row as bytes, with its field names."""
    return msgpack.packb(_converter.unstructure(row))


def pack_compressed(row):
    """Return an attrs row that may be large as compressed bytes.

    `unpack` accepts both this form and that of `pack`.
    """
    return zlib.compress(pack(row), COMPRESSION_LEVEL)


def unpack(body, kind):
    """Return the row of the attrs class `kind` in `body`.

    Raises `errors.WireError` if the bytes are invalid.
    """
    try:
        if body.startswith(COMPRESSED_PREFIX):
            body = _decompress(body)
        return _converter.structure(msgpack.unpackb(body), kind)
    except _UNPACK_ERRORS as error:
        raise errors.WireError(f'invalid {kind.__name__}: {error}') from error


def _decompress(body):
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise errors.WireError(
            'compressed row is truncated or exceeds the size limit'
        )
    return decompressed


def _unpack_envelope(body):
    try:
        version, kind_number, fields = msgpack.unpackb(
            body, max_array_len=MAX_ITEMS, max_map_len=MAX_ITEMS
        )
    except _UNPACK_ERRORS as error:
        raise errors.WireError(f'not a valid message: {error}') from error
    return version, kind_number, fields
