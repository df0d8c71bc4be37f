"""Output of a connection to a server: requests, and whether they got there."""

import asyncio

from laburnumlatch.core import piecewriter
from laburnumlatch.core import sockets

# Time between two checks whether a request has been written.
CHECK_INTERVAL_S = 0.02


class RequestOutput:
    """Writes requests as the server takes them."""

    def __init__(self, transport):
        """Write to `transport`."""
        self._transport = transport
        self._writer = piecewriter.PieceWriter(transport)

    @property
    def unsent_bytes(self):
        """Bytes that have not left the process."""
        return self._writer.unsent_bytes

    @property
    def is_sent(self):
        """Whether all bytes have left the process."""
        return not self.unsent_bytes

    @property
    def is_written(self):
        """Whether the server's host has got all bytes."""
        return self.is_sent and not sockets.queued_bytes(self._transport)

    def pause(self):
        """Hand nothing more to the transport, as it is full."""
        self._writer.pause()

    def resume(self):
        """Go on writing to the transport."""
        self._writer.resume()

    def write(self, *parts):
        """Write bytes-like objects in order."""
        self._writer.write(*parts)

    def has_ended_well(self, error):
        """Return whether a connection that is lost has taken all bytes.

        `error` is that of `connection_lost`. It is None also if the server
        has ended its side and reset the connection later.
        """
        if error is not None or not self.is_written:
            return False
        return not sockets.has_failed(self._transport)

    def close_when_written(self, on_failure):
        """Close the connection once the server's host has got all bytes.

        If the server resets the connection before, `on_failure` is called.
        """
        if self._transport.is_closing():
            return
        if sockets.has_failed(self._transport):
            on_failure()
        elif self.is_written:
            self._transport.close()
        else:
            asyncio.get_running_loop().call_later(
                CHECK_INTERVAL_S, self.close_when_written, on_failure
            )

    def drop(self):
        """Drop what the transport has not got: the connection is lost."""
        self._writer.close()

    def abort(self):
        """Close the connection at once."""
        self.drop()
        self._transport.abort()
