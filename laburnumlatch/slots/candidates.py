"""A bounded choice of hosts for each key, the same on every agent."""

import bisect

from laburnumlatch.core import hashing

# Enough to meet every failure domain of a region (36 domains in 10 regions)
# many times over; more would make a plan cost the square of the hosts.
WINDOW = 48


class Ring:
    """Rows of hosts by incarnation, in the order of their hashes."""

    def __init__(self, by_incarnation):
        """Order `by_incarnation`, a dict of rows of hosts."""
        self.rows = by_incarnation
        self._placed = sorted(
            (hashing.position(one.host_id), one.host_id, one.number, one)
            for one in by_incarnation
        )
        self.domains = {row.domain for row in by_incarnation.values()}

    def __contains__(self, incarnation):
        """Tell whether the ring holds `incarnation`."""
        return incarnation in self.rows

    def __len__(self):
        """Return the number of hosts."""
        return len(self._placed)

    def near(self, key, domains):
        """Return up to `WINDOW` incarnations that follow the hash of `key`.

        If they lie in fewer than `domains` failure domains although there
        are more, all incarnations are returned.
        """
        count = len(self._placed)
        start = bisect.bisect(self._placed, (hashing.position(key),))
        found = [
            self._placed[(start + step) % count][-1]
            for step in range(min(WINDOW, count))
        ]
        reached = {self.rows[one].domain for one in found}
        if len(reached) >= min(domains, len(self.domains)):
            return found
        return [placed[-1] for placed in self._placed]
