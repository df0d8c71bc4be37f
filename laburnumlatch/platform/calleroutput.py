"""Output of a caller's connection."""

import collections

from laburnumlatch.core import logs
from laburnumlatch.core import piecewriter
from laburnumlatch.core import sockets

_log = logs.logger('callers')


class CallerOutput:
    """Writes responses as the caller takes them.

    A part counts in memory until its last byte has been handed to the
    transport, and what a full transport holds counts, too.
    """

    def __init__(self, transport, account, on_drained):
        """Write to `transport`.

        Bytes count in `account`, a `calleraccounts.ConnectionAccount`;
        `on_drained` is called when the caller has taken what had to wait.
        """
        self._transport = transport
        sockets.limit_unsent(transport)
        self._account = account
        # Sizes of the parts that were not handed over whole.
        self._part_sizes = collections.deque()
        self._handed_bytes = 0
        self._transport_bytes = 0
        self._on_drained = on_drained
        self._writer = piecewriter.PieceWriter(
            transport, self._note_handed, self._drained
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
        self._count_transport(self._transport.get_write_buffer_size())
        self._writer.pause()

    def resume(self):
        """Go on handing over."""
        self._is_transport_full = False
        self._count_transport(0)
        self._writer.resume()

    def write(self, *parts):
        """Write bytes-like objects in order, unless the connection is lost."""
        if self._writer.is_closed:
            return
        for part in parts:
            if part:
                self._part_sizes.append(len(part))
                self._account.adjust(len(part))
        self._writer.write(*parts)

    def hand_over_early(self):
        """Let the kernel take all it can: it sends on if the process ends."""
        sockets.limit_unsent(self._transport, 0)

    def end(self):
        """Send the end of the output behind what was written."""
        self._is_last_written = True
        if len(self._writer) or self._is_ended:
            return
        self._is_ended = True
        try:
            self._transport.write_eof()
        except OSError as error:
            # The caller has left, and its host has reset the connection.
            _log.info('caller-gone', detail=error)
            self._transport.abort()

    def clear(self):
        """Drop what was not handed over: the connection is lost."""
        self._account.adjust(-sum(self._part_sizes))
        self._part_sizes.clear()
        self._handed_bytes = 0
        self._count_transport(0)
        self._writer.close()

    def _note_handed(self, size):
        """Count the parts as free that were handed over to their end."""
        self._account.moved_bytes += size
        self._handed_bytes += size
        while self._part_sizes and self._handed_bytes >= self._part_sizes[0]:
            part_bytes = self._part_sizes.popleft()
            self._handed_bytes -= part_bytes
            self._account.adjust(-part_bytes)

    def _count_transport(self, size):
        """Count what the transport holds."""
        self._account.adjust(size - self._transport_bytes)
        self._transport_bytes = size

    def _drained(self):
        if self._is_last_written:
            self.end()
        self._on_drained()
