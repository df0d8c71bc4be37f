"""Frames over a TCP connection: a length, then one encoded message."""

import abc
import asyncio
import struct

from laburnumlatch import errors
from laburnumlatch import logs
from laburnumlatch import wire
from laburnumlatch.mesh import peermsg

_LENGTH = struct.Struct('>I')
# The largest body of a request, and room for its head.
MAX_FRAME_BYTES = 75_497_472

_log = logs.logger('peers')
_codec = wire.Codec(peermsg.KINDS)


class FrameProtocol(asyncio.Protocol, abc.ABC):
    """Splits the bytes of a connection into messages."""

    def __init__(self):
        """Start without a connection."""
        self._buffer = bytearray()
        self.transport = None

    @abc.abstractmethod
    def received(self, message):
        """Act on one message of `peermsg`."""

    def connection_made(self, transport):
        """Keep the connection."""
        self.transport = transport

    def data_received(self, chunk):
        """Decode what is complete; close the connection at bad input."""
        self._buffer += chunk
        try:
            for message in self._messages():
                self.received(message)
        except errors.WireError as error:
            _log.error('connection closed: {}', error)
            self.transport.abort()

    def send(self, message):
        """Write one message."""
        body = _codec.encode(message)
        self.transport.write(_LENGTH.pack(len(body)) + body)

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
