"""Writes long messages in pieces, as fast as the other side takes them."""

import asyncio
import collections

# Bytes that are handed to the transport at a time, and in one pass of the
# loop: other connections take their turns in between.
PIECE_BYTES = 65_536
PASS_BYTES = 262_144


class PieceWriter:
    """Output of a connection that is held here, not in its transport.

    The owner passes `pause_writing` and `resume_writing` of its protocol on to
    `pause` and `resume`.
    """

    def __init__(self, transport, on_written=None, on_drained=None):
        """Write to `transport`, in order.

        `on_written` is called with the number of bytes that have been handed
        to the transport, `on_drained` when nothing is left after some bytes
        had to wait.
        """
        self._transport = transport
        self._on_written = on_written
        self._on_drained = on_drained
        self._views = collections.deque()
        self._size = 0
        self._is_paused = False
        self._is_closed = False
        self._next_pass = None

    def __len__(self):
        """Return the number of bytes that the transport has not got yet."""
        return self._size

    @property
    def is_closed(self):
        """Whether all further bytes are dropped."""
        return self._is_closed

    @property
    def unsent_bytes(self):
        """Bytes that have not left the process."""
        return self._size + self._transport.get_write_buffer_size()

    def write(self, *parts):
        """Write bytes-like objects, which must not change any more."""
        if self._is_closed:
            return
        for part in parts:
            if part:
                self._views.append(memoryview(part))
                self._size += len(part)
        if self._next_pass is None:
            self._hand_over()

    def pause(self):
        """Hand over no more: the other side does not take it."""
        self._is_paused = True

    def resume(self):
        """Go on handing over."""
        self._is_paused = False
        if self._views and self._next_pass is None:
            self._run_pass()

    def close(self):
        """Drop what was not handed over, and all later bytes.

        The connection is gone, or about to be.
        """
        self._is_closed = True
        self._views.clear()
        self._size = 0

    def _run_pass(self):
        """Hand over bytes that had to wait."""
        self._next_pass = None
        self._hand_over()
        if not self._views and self._on_drained is not None:
            self._on_drained()

    def _hand_over(self):
        """Hand over as much as one pass of the loop may; go on in the next."""
        left_bytes = PASS_BYTES
        while self._views and not self._is_paused and left_bytes > 0:
            pieces = self._take_pieces()
            size = sum(len(piece) for piece in pieces)
            left_bytes -= size
            self._transport.writelines(pieces)
            if self._on_written is not None:
                self._on_written(size)
        if self._views and not self._is_paused:
            self._next_pass = asyncio.get_running_loop().call_soon(
                self._run_pass
            )

    def _take_pieces(self):
        """Remove and return pieces of at most `PIECE_BYTES` together."""
        pieces = []
        room = PIECE_BYTES
        while self._views and room:
            view = self._views.popleft()
            pieces.append(view[:room])
            if len(view) > room:
                self._views.appendleft(view[room:])
            room -= len(pieces[-1])
        self._size -= PIECE_BYTES - room
        return pieces
