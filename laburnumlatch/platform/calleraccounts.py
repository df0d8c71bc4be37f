"""What the connections of callers hold in memory, and how much they move."""

import attrs

# The objects of one connection.
CONNECTION_BYTES = 5120
# The share of what small things may take that one caller address may have.
ADDRESS_SHARE = 0.75
# A connection is taken to move this much before it has shown what it does.
FIRST_RATE = 1_000_000
# Added to the rate of a connection, in bytes of one check.
RATE_FLOOR = 1024


@attrs.define(eq=False)
class AddressAccount:
    """What all connections of one caller address hold.

    `small_bytes` are those that belong to no body.
    """

    ip_text: str
    small_bytes: int = 0
    connection_count: int = 0


class ConnectionAccount:
    """Counts what one connection holds and moves, in bytes.

    `held_bytes` is what it holds. `moved_bytes` is what it received, and what
    the caller took, since the last call of `note_rate`.
    """

    def __init__(self, memory, address):
        """Count in a `bodymemory.BodyMemory` and an `AddressAccount`."""
        self.address = address
        self.held_bytes = 0
        self.moved_bytes = 0
        self._rate = FIRST_RATE
        self._memory = memory

    @property
    def idleness(self):
        """How much it holds for what it moved in the last checks."""
        rate = self._rate + self.moved_bytes + RATE_FLOOR
        return self.held_bytes / rate

    def adjust(self, more_bytes):
        """Count bytes of a body as held; a negative number releases them."""
        self.held_bytes += more_bytes
        self._memory.adjust(more_bytes)

    def adjust_small(self, more_bytes):
        """Count bytes of no body as held; a negative number releases them."""
        self.held_bytes += more_bytes
        self.address.small_bytes += more_bytes
        self._memory.adjust_small(more_bytes)

    def fits_small(self, size):
        """Return whether so many bytes fit that belong to no body."""
        return self.address_has_room(size) and self._memory.fits_small(size)

    def address_has_room(self, size):
        """Return whether they fit under the bound of the caller address."""
        bound = self._memory.max_small_bytes * ADDRESS_SHARE
        return self.address.small_bytes + size <= bound

    def note_rate(self):
        """Take what was moved since the last call into account."""
        self._rate = (self._rate + self.moved_bytes) // 2
        self.moved_bytes = 0
