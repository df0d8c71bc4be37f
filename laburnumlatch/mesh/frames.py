"""Frames over a TCP connection: a length, then one encoded message.

The bytes of a connection are one deflate stream: heads of requests repeat
the same names, and bytes between failure domains are dear.
"""

import abc
import asyncio
import struct
import zlib

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import wire
from laburnumlatch.mesh import peermsg

_LENGTH = struct.Struct('>I')
# The largest body of a request, and room for its head.
MAX_FRAME_BYTES = 75_497_472
LEVEL = 4
# A window of 8 KB holds the heads that repeat; a larger one costs memory for
# every connection.
WINDOW_BITS = 13
MEMORY_LEVEL = 5

_log = logs.logger('peers')
_codec = wire.Codec(peermsg.KINDS)


class FrameProtocol(asyncio.Protocol, abc.ABC):
    """Splits the bytes of a connection into messages."""

    def __init__(self):
        """Start without a connection."""
        self._buffer = bytearray()
        self._deflate = zlib.compressobj(
            LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self.transport = None

    @abc.abstractmethod
    def message_received(self, message):
        """Act on one message of `peermsg`."""

    def connection_made(self, transport):
        """Keep the connection."""
        self.transport = transport

    def data_received(self, chunk):
        """Decode what is complete; close the connection at bad input."""
        try:
            self._take(chunk)
            for message in self._messages():
                self.message_received(message)
        except (errors.WireError, zlib.error, KeyError) as error:
            _log.error('connection-refused', detail=error)
            self.transport.abort()

    def send(self, message):
        """Write one message; drop it if the connection has ended.

        Who waits for an answer learns of the end by `connection_lost`.
        """
        if self.transport.is_closing():
            return
        body = _codec.encode(message)
        packed = self._deflate.compress(_LENGTH.pack(len(body)))
        packed += self._deflate.compress(body)
        self.transport.write(packed + self._deflate.flush(zlib.Z_SYNC_FLUSH))

    def _take(self, chunk):
        room = MAX_FRAME_BYTES + _LENGTH.size - len(self._buffer)
        self._buffer += self._inflate.decompress(chunk, max(1, room))
        if self._inflate.unconsumed_tail:
            raise errors.WireError('more bytes than a frame may have')

    def _messages(self):
        start = 0
        found = []
        while len(self._buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise errors.WireError(f'frame of {length} bytes')
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _LENGTH.size : end])
            found.append(_codec.decode(body))
            start = end
        self._buffer = self._buffer[start:]
        return found
