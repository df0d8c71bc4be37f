"""Grants of key ranges as a backend server keeps them."""

import itertools

import attrs


@attrs.define(frozen=True)
class Grant:
    """Keys `start` to `end`, both inclusive, under a fence, up to a time."""

    start: int
    end: int
    fence: int
    until: float

    def covers(self, key):
        """Tell whether `key` lies in the range."""
        return self.start <= key <= self.end

    def overlaps(self, other):
        """Tell whether two ranges have keys in common."""
        return self.start <= other.end and other.start <= self.end

    def contains(self, other):
        """Tell whether another range lies in this one."""
        return self.start <= other.start and other.end <= self.end


@attrs.define
class Ledger:
    """The grants of one life of a backend server.

    Times are of any one clock. `_seen` holds every range that was granted,
    so that a grant which arrives late is refused.
    """

    _grants: list[Grant] = attrs.Factory(list)
    _seen: list[Grant] = attrs.Factory(list)

    def live_grants(self, now):
        """Return the grants that have not ended."""
        return [grant for grant in self._grants if grant.until > now]

    def holds(self, key, now):
        """Tell whether work on `key` may begin."""
        return any(grant.covers(key) for grant in self.live_grants(now))

    def accept(self, grant):
        """Take a grant unless a higher fence was seen; return whether taken."""
        seen = [one for one in self._seen if one.overlaps(grant)]
        if any(one.fence > grant.fence for one in seen):
            return False
        self.release(grant)
        self._grants.append(grant)
        self._seen = [one for one in self._seen if not grant.contains(one)]
        self._seen.append(grant)
        return True

    def release(self, released):
        """Forget the keys of a range."""
        kept = []
        for grant in self._grants:
            if not grant.overlaps(released):
                kept.append(grant)
                continue
            if grant.start < released.start:
                kept.append(attrs.evolve(grant, end=released.start - 1))
            if released.end < grant.end:
                kept.append(attrs.evolve(grant, start=released.end + 1))
        self._grants = kept


def find_overlaps(ledgers, now):
    """Return triples (name, name, grant) of keys that two ledgers hold.

    `ledgers` is a dict by name.
    """
    live = [
        (name, grant)
        for name, ledger in ledgers.items()
        for grant in ledger.live_grants(now)
    ]
    live.sort(key=_start)
    return [
        (name, other, grant)
        for (name, grant), (other, second) in itertools.combinations(live, 2)
        if name != other and grant.overlaps(second)
    ]


def _start(named):
    return named[1].start
