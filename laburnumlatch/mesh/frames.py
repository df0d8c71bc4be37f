"""Frames over a TCP connection: a length, then one encoded message.

All frames that one side sends on a connection form one deflate stream: the
heads of requests repeat the same names, and traffic between failure domains
is expensive.
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
# The largest body of a request, plus space for its head.
MAX_FRAME_BYTES = 75_497_472
COMPRESSION_LEVEL = 4
# A window of 8 KB covers the heads that repeat; a larger one costs memory on
# every connection.
WINDOW_BITS = 13
MEMORY_LEVEL = 5

_log = logs.logger('peers')
_codec = wire.Codec(peermsg.KINDS)


class FrameProtocol(asyncio.Protocol, abc.ABC):
    """Sends messages as frames, and decodes received bytes to messages."""

    def __init__(self):
        """Start without a connection."""
        self._buffer = bytearray()
        self._deflate = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self.transport = None

    @abc.abstractmethod
    def message_received(self, message):
        """Handle one decoded message of `peermsg`."""

    def connection_made(self, transport):
        """Store the transport of the new connection."""
        self.transport = transport

    def data_received(self, chunk):
        """Handle all complete messages; abort the connection on bad input."""
        try:
            self._decompress(chunk)
            for message in self._decode_frames():
                self.message_received(message)
        except (errors.WireError, zlib.error, KeyError) as error:
            _log.error('connection-refused', detail=error)
            self.transport.abort()

    def send(self, message):
        """Send one message; drop it if the connection is closing.

        A sender that expects a response learns of this by `connection_lost`.
        """
        if self.transport.is_closing():
            return
        body = _codec.encode(message)
        packed = self._deflate.compress(_LENGTH.pack(len(body)))
        packed += self._deflate.compress(body)
        self.transport.write(packed + self._deflate.flush(zlib.Z_SYNC_FLUSH))

    def _decompress(self, chunk):
        """Decompress a chunk into the buffer; fail beyond the largest frame."""
        free_bytes = MAX_FRAME_BYTES + _LENGTH.size - len(self._buffer)
        self._buffer += self._inflate.decompress(chunk, max(1, free_bytes))
        if self._inflate.unconsumed_tail:
            raise errors.WireError('buffered data exceeds the frame limit')

    def _decode_frames(self):
        """Remove the complete frames from the buffer; return the messages."""
        start = 0
        decoded = []
        while len(self._buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise errors.WireError(f'frame of {length} bytes is too long')
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _LENGTH.size : end])
            decoded.append(_codec.decode(body))
            start = end
        self._buffer = self._buffer[start:]
        return decoded
