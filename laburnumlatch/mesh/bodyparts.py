"""Bodies that travel between agents in parts, which take turns.

A body longer than one part follows the message that announces its length. So
other messages need not wait until the whole body has been sent.
"""

import collections

from laburnumlatch.core import bodybuffer
from laburnumlatch.core import errors
from laburnumlatch.core import records

PART_BYTES = 65_536


@records.define
class _OutgoingBody:
    """What is left of a body; with `is_stored` it is not compressed."""

    left: memoryview
    is_stored: bool
    size: int


class OutgoingBodies:
    """The bodies that are being sent on one connection, by key.

    With `memory`, a `bodymemory.BodyMemory`, each of them counts there until
    its last part has been taken.
    """

    def __init__(self, memory=None):
        """Start empty."""
        self._memory = memory
        # The one whose turn is next comes first.
        self._bodies = collections.OrderedDict()

    def __len__(self):
        """Return the number of bodies."""
        return len(self._bodies)

    @property
    def left_bytes(self):
        """How many bytes have not been taken."""
        return sum(len(outgoing.left) for outgoing in self._bodies.values())

    def __contains__(self, key):
        """Return whether a body has not been sent to its end."""
        return key in self._bodies

    def add(self, key, body, *, is_stored):
        """Add a body that is not empty; `is_stored` is for `take_part`."""
        self.drop(key)
        size = len(body)
        self._bodies[key] = _OutgoingBody(memoryview(body), is_stored, size)
        if self._memory is not None:
            self._memory.hold(size)

    def drop(self, key):
        """Send no more of a body."""
        outgoing = self._bodies.pop(key, None)
        if outgoing is not None:
            self._release(outgoing)

    def clear(self):
        """Send no more of any body."""
        for key in tuple(self._bodies):
            self.drop(key)

    def take_part(self):
        """Remove the next part; return (key, part, is_stored)."""
        key, outgoing = self._bodies.popitem(last=False)
        part = outgoing.left[:PART_BYTES]
        outgoing.left = outgoing.left[PART_BYTES:]
        if outgoing.left:
            self._bodies[key] = outgoing
        else:
            self._release(outgoing)
        return key, part, outgoing.is_stored

    def _release(self, outgoing):
        if self._memory is not None:
            self._memory.release(outgoing.size)


@records.define
class _IncomingBody:
    """A body that was received in part, and the message that announced it."""

    message: object
    buffer: bodybuffer.BodyBuffer
    size: int


class IncomingBodies:
    """The bodies that are being received on one connection, by key.

    `memory` is the `bodymemory.BodyMemory` of the process, in which each body
    counts from its announcement until it is whole or dropped.
    """

    def __init__(self, memory):
        """Start empty."""
        self._memory = memory
        self._bodies = {}

    def __contains__(self, key):
        """Return whether a body is being received."""
        return key in self._bodies

    def begin(self, key, message, size):
        """Expect a body of `size` bytes; `add` returns the message with it."""
        self.drop(key)
        self._memory.hold(size)
        self._bodies[key] = _IncomingBody(
            message, bodybuffer.BodyBuffer(size), size
        )

    def add(self, key, part):
        """Add a part; return (message, body) if the body is whole now.

        Returns None otherwise, and for a body that was dropped. Raises
        `errors.WireError` if there is more than was announced.
        """
        incoming = self._bodies.get(key)
        if incoming is None:
            return None
        try:
            incoming.buffer.append(part)
        except ValueError as error:
            raise errors.WireError(str(error)) from error
        if not incoming.buffer.is_whole:
            return None
        self.drop(key)
        return incoming.message, incoming.buffer.take()

    def drop(self, key):
        """Forget a body; later parts of it are ignored."""
        incoming = self._bodies.pop(key, None)
        if incoming is not None:
            self._memory.release(incoming.size)

    def clear(self):
        """Forget all bodies."""
        for key in tuple(self._bodies):
            self.drop(key)
