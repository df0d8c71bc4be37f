"""Bookkeeping of granted key ranges in a backend server."""

import itertools

import attrs


@attrs.define(frozen=True)
class Grant:
    """Keys `start` to `end`, both inclusive, held with a fence until a time."""

    start: int
    end: int
    fence: int
    until: float

    def covers(self, key):
        """Tell whether `key` lies in the range."""
        return self.start <= key <= self.end

    def overlaps(self, other):
        """Tell whether this range and another have keys in common."""
        return self.start <= other.end and other.start <= self.end

    def contains(self, other):
        """Tell whether another range lies within this one."""
        return self.start <= other.start and other.end <= self.end


@attrs.define
class Ledger:
    """The grants of one life of a backend server.

    All times are of the same clock, in any unit. `_accepted` also keeps ranges
    that were released or have expired, so that a delayed grant with a lower
    fence is rejected.
    """

    _grants: list[Grant] = attrs.Factory(list)
    _accepted: list[Grant] = attrs.Factory(list)

    def live_grants(self, now):
        """Return the grants that have not expired."""
        return [grant for grant in self._grants if grant.until > now]

    def holds(self, key, now):
        """Tell whether a request for `key` may start."""
        return any(grant.covers(key) for grant in self.live_grants(now))

    def accept(self, grant):
        """Accept a grant unless a key had a higher fence.

        Return whether it was accepted.
        """
        overlapping = [
            earlier for earlier in self._accepted if earlier.overlaps(grant)
        ]
        if any(earlier.fence > grant.fence for earlier in overlapping):
            return False
        self.release(grant)
        self._grants.append(grant)
        self._accepted = [
            earlier for earlier in self._accepted if not grant.contains(earlier)
        ]
        self._accepted.append(grant)
        return True

    def release(self, released):
        """Remove the keys of a range from all grants."""
        remaining = []
        for grant in self._grants:
            if not grant.overlaps(released):
                remaining.append(grant)
                continue
            if grant.start < released.start:
                remaining.append(attrs.evolve(grant, end=released.start - 1))
            if released.end < grant.end:
                remaining.append(attrs.evolve(grant, start=released.end + 1))
        self._grants = remaining


def find_overlaps(ledgers, now):
    """Return a triple (name, name, grant) for each overlap of two ledgers.

    `ledgers` is a dict by name. The grant is that of the first name.
    """
    active_grants = [
        (name, grant)
        for name, ledger in ledgers.items()
        for grant in ledger.live_grants(now)
    ]
    active_grants.sort(key=_start)
    return [
        (name, other_name, grant)
        for (name, grant), (other_name, other_grant) in itertools.combinations(
            active_grants, 2
        )
        if name != other_name and grant.overlaps(other_grant)
    ]


def _start(entry):
    return entry[1].start
