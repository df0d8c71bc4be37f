"""Output of a caller's connection."""

from laburnumlatch.core import piecewriter
from laburnumlatch.core import sockets


class CallerOutput:
    """Writes responses as the caller takes them.

    What has not been handed to the transport counts in memory.
    """

    def __init__(self, transport, count_buffered, on_drained):
        """Write to `transport`.

        `count_buffered` is called with the number of bytes that are held from
        now on, negative if they are not any more; `on_drained` when the caller
        has taken what had to wait for it.
        """
        self._transport = transport
        self._count_buffered = count_buffered
        self._on_drained = on_drained
        self._writer = piecewriter.PieceWriter(
            transport, lambda size: count_buffered(-size), self._drained
        )
        self._is_transport_full = False
        self._is_last_written = False
        self._is_ended = False

    @property
    def is_paused(self):
        """Whether the caller leaves responses unread."""
        return self._is_transport_full or bool(len(self._writer))

    @property
    def is_ended(self):
        """Whether the end of the output has been sent."""
        return self._is_ended

    @property
    def unsent_bytes(self):
        """Bytes that have not left the process."""
        return self._writer.unsent_bytes

    @property
    def queued_bytes(self):
        """Bytes that have left the process, and not arrived."""
        return sockets.queued_bytes(self._transport)

    def pause(self):
        """Hand over no more: the transport is full."""
        self._is_transport_full = True
        self._writer.pause()

    def resume(self):
        """Go on handing over."""
        self._is_transport_full = False
        self._writer.resume()

    def write(self, *parts):
        """Write bytes-like objects in order, unless the connection is lost."""
        if self._writer.is_closed:
            return
        for part in parts:
            self._count_buffered(len(part))
        self._writer.write(*parts)

    def end(self):
        """Send the end of the output behind what was written."""
        self._is_last_written = True
        if not len(self._writer) and not self._is_ended:
            self._is_ended = True
            self._transport.write_eof()

    def clear(self):
        """Drop what was not handed over: the connection is lost."""
        self._count_buffered(-len(self._writer))
        self._writer.close()

    def _drained(self):
        if self._is_last_written:
            self.end()
        self._on_drained()
