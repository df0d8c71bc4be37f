"""Frames over a TCP connection: a length, then one encoded message.

All frames that one side sends on a connection form one deflate stream: the
heads of requests repeat the same names, and traffic between failure domains
is expensive.

A long body is sent in parts, one in each pass of the loop and no more than the
other side takes, so that other frames wait only for what is in the buffer of
the transport.
"""

import abc
import asyncio
import struct
import zlib

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import sockets
from laburnumlatch.core import wire
from laburnumlatch.mesh import bodyparts
from laburnumlatch.mesh import deflating
from laburnumlatch.mesh import peermsg

_LENGTH = struct.Struct('>I')
# The largest body of a request, plus space for its head.
MAX_FRAME_BYTES = 75_497_472

_log = logs.logger('peers')
_codec = wire.Codec(peermsg.KINDS)


class FrameProtocol(asyncio.Protocol, abc.ABC):
    """Sends messages as frames, and decodes received bytes to messages.

    `incoming` and `outgoing` are the bodies that are under way in parts.
    `peer_reads_parts` is whether the other agent takes them.
    """

    def __init__(self, memory, *, counts_outgoing=True):
        """Start without a connection.

        `memory` is the `bodymemory.BodyMemory` of the process. It counts the
        bodies that are being sent if `counts_outgoing` is set.
        """
        self.incoming = bodyparts.IncomingBodies(memory)
        self.outgoing = bodyparts.OutgoingBodies(
            memory if counts_outgoing else None
        )
        self.peer_reads_parts = False
        self._is_write_paused = False
        self._next_part = None
        self._written_bytes = 0
        self._buffer = bytearray()
        self._deflater = deflating.Deflater()
        self._inflate = deflating.inflater()
        self.transport = None

    @abc.abstractmethod
    def message_received(self, message):
        """Handle one decoded message of `peermsg`."""

    def connection_made(self, transport):
        """Store the transport of the new connection."""
        self.transport = transport
        sockets.limit_unsent(transport)

    def pause_writing(self):
        """Send no parts of bodies for now; called by asyncio."""
        self._is_write_paused = True

    def resume_writing(self):
        """Go on sending parts of bodies; called by asyncio."""
        self._is_write_paused = False
        self._schedule_part()

    @property
    def taken_bytes(self):
        """How many bytes of those sent have left the process."""
        return self._written_bytes - self.transport.get_write_buffer_size()

    @property
    def unsent_bytes(self):
        """How many bytes wait to leave the process."""
        return self.outgoing.left_bytes + self.transport.get_write_buffer_size()

    def data_received(self, chunk):
        """Handle all complete messages; abort the connection on bad input."""
        try:
            self._decompress(chunk)
            for message in self._decode_frames():
                self.message_received(message)
        except (errors.WireError, zlib.error, KeyError) as error:
            _log.error('connection-refused', detail=error)
            self.transport.abort()

    def send(self, message, *, is_stored=False):
        """Send one message; drop it if the connection is closing.

        A sender that expects a response learns of this by `connection_lost`.
        With `is_stored` the message is not compressed.
        """
        if self.transport.is_closing():
            return
        encode = self._deflater.encode
        if is_stored:
            encode = self._deflater.store
        body = _codec.encode(message)
        packed = b''.join(encode(_LENGTH.pack(len(body)), body))
        self._written_bytes += len(packed)
        self.transport.write(packed)

    def send_with_body(self, message, key, body):
        """Send a message, and then the body that it announces in parts.

        `key` is the number and exchange of the request.
        """
        self.send(message)
        self.outgoing.add(key, body, is_stored=deflating.is_worth_storing(body))
        self._schedule_part()

    def _schedule_part(self):
        if self._next_part is None and len(self.outgoing):
            self._next_part = asyncio.get_running_loop().call_soon(
                self._send_part
            )

    def _send_part(self):
        """Send one part of a body, unless the other side takes none."""
        self._next_part = None
        is_blocked = self._is_write_paused or self.transport.is_closing()
        if is_blocked or not len(self.outgoing):
            return
        key, part, is_stored = self.outgoing.take_part()
        self.send(peermsg.BodyPart(*key, part), is_stored=is_stored)
        self._schedule_part()

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
            with memoryview(self._buffer) as view:
                decoded.append(_codec.decode(view[start + _LENGTH.size : end]))
            start = end
        if start:
            self._buffer = self._buffer[start:]
        return decoded
