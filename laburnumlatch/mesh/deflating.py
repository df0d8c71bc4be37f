"""One deflate stream for all frames that are sent on a connection.

Heads of requests repeat the same names and become short. Long bodies that would
not are stored in the stream as they are: to compress 64 KB takes about 3 ms of
processor time, to store them almost none.
"""

import struct
import zlib

COMPRESSION_LEVEL = 4
# A window of 8 KB covers the heads that repeat; a larger one costs memory on
# every connection.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
# Bodies from this length on are stored unless a sample of them compresses to
# less than this share.
MIN_STORED_BYTES = 16_384
SAMPLE_BYTES = 2048
MAX_SAMPLE_RATIO = 0.9
# A stored block of deflate (RFC 1951, 3.2.4): its kind, which is 0, its length,
# and that length with all bits inverted.
_BLOCK_HEAD = struct.Struct('<BHH')
MAX_BLOCK_BYTES = 65_535


class Deflater:
    """Encodes the frames of one connection, each so that it can be read."""

    def __init__(self):
        """Start a stream."""
        self._compress = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def encode(self, *parts):
        """Return the pieces of the stream for some bytes of a frame."""
        pieces = [self._compress.compress(part) for part in parts]
        pieces.append(self._compress.flush(zlib.Z_SYNC_FLUSH))
        return pieces

    def store(self, *parts):
        """Return the pieces for bytes that are not compressed.

        What follows refers to nothing before them, as the other side has other
        bytes in its window then than the compressor here.
        """
        pieces = [self._compress.flush(zlib.Z_FULL_FLUSH)]
        for part in parts:
            view = memoryview(part)
            for start in range(0, len(view), MAX_BLOCK_BYTES):
                block = view[start : start + MAX_BLOCK_BYTES]
                size = len(block)
                pieces += [
                    _BLOCK_HEAD.pack(0, size, size ^ MAX_BLOCK_BYTES),
                    block,
                ]
        return pieces


def inflater():
    """Return a decompressor for the stream of a `Deflater`."""
    return zlib.decompressobj(-WINDOW_BITS)


def is_worth_storing(body):
    """Return whether a body is long and compresses to about its length."""
    if len(body) < MIN_STORED_BYTES:
        return False
    middle = len(body) // 2
    sample = memoryview(body)[middle : middle + SAMPLE_BYTES]
    compressed = zlib.compress(sample, 1)
    return len(compressed) > len(sample) * MAX_SAMPLE_RATIO
