"""Plans of services divided by key, and pure functions over them.

The keys of such a service are the integers below `KEY_COUNT`. Its plan divides
them into pieces, ranges of keys with one owner each.
"""

import bisect
import operator

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import records

KEY_COUNT = 65_536
# Requests are counted and load is moved in buckets of adjacent keys.
KEYS_PER_BUCKET = 16
BUCKET_COUNT = KEY_COUNT // KEYS_PER_BUCKET
_start_key = operator.attrgetter('start')


@records.define(frozen=True)
class Life:
    """One run of a backend server: its identity and when it started.

    `born` is the start in ms of Unix time. A restarted backend server holds
    none of its earlier keys, even if it keeps its identity.
    """

    server_id: str
    born: int


@records.define(frozen=True)
class Piece:
    """A range of keys with one owner: `start` to `end`, both inclusive.

    The owner is run `life` of the backend server of host `host_id`. `fence`
    is the fencing token, which increases with every change of owner. `former`
    is the host that must release the range before the owner may serve it;
    it is empty if the range is not being handed over.
    """

    start: int
    end: int
    host_id: str
    life: Life
    fence: int
    former: str = ''

    @property
    def size(self):
        """Number of keys in the range."""
        return self.end - self.start + 1

    def covers(self, key):
        """Return whether `key` lies in the range."""
        return self.start <= key <= self.end


@records.define(frozen=True)
class Plan:
    """The owners of all keys of a service, stored as one row of the store.

    `version` increases by one with each write. The pieces are sorted by key
    and cover the key space without a gap. A piece that changes owner gets a
    fence above all others of the plan.
    """

    service: str
    version: int
    pieces: tuple[Piece, ...]

    def piece_of(self, key):
        """Return the piece that covers `key`."""
        return self.pieces[self.index_of(key)]

    def index_of(self, key):
        """Return the index of the piece that covers `key`."""
        return bisect.bisect_right(self.pieces, key, key=_start_key) - 1


def validate(plan):
    """Return a decoded plan if its pieces cover each key exactly once.

    Raises `errors.WireError` if they leave a gap or overlap.
    """
    next_key = 0
    for piece in plan.pieces:
        if piece.start != next_key or piece.end < piece.start:
            raise errors.WireError(f'plan has no valid piece at key {next_key}')
        next_key = piece.end + 1
    if next_key != KEY_COUNT:
        raise errors.WireError(f'plan covers {next_key} keys of {KEY_COUNT}')
    return plan


def overlap(first, second):
    """Return the intersection of two ranges as (start, end), or None."""
    start = max(first.start, second.start)
    end = min(first.end, second.end)
    return (start, end) if start <= end else None


def uncovered_parts(piece, others):
    """Yield (start, end) of each part of a range that no other one covers."""
    covered = sorted(
        part for other in others if (part := overlap(piece, other))
    )
    start = piece.start
    for part in (*covered, (piece.end + 1, piece.end + 1)):
        if start < part[0]:
            yield start, part[0] - 1
        start = max(start, part[1] + 1)


def overlapping(first, second):
    """Yield each pair of pieces, one of each plan, that share keys.

    Takes the pieces of two plans. Both are sorted and without gaps, so one
    pass over the two is enough.
    """
    others = iter(second)
    other = next(others, None)
    for piece in first:
        while other is not None and other.start <= piece.end:
            yield piece, other
            if other.end > piece.end:
                break
            other = next(others, None)


def join(pieces):
    """Return the pieces with adjacent ones merged that differ only in keys."""
    joined = []
    for piece in pieces:
        if joined and _is_mergeable(joined[-1], piece):
            joined[-1] = attrs.evolve(joined[-1], end=piece.end)
        else:
            joined.append(piece)
    return tuple(joined)


def split(pieces, cuts):
    """Return the pieces, split so that each key in `cuts` starts a piece."""
    result = []
    for piece in pieces:
        inner_cuts = sorted({
            cut for cut in cuts if piece.start < cut <= piece.end
        })
        if not inner_cuts:
            result.append(piece)
            continue
        starts = [piece.start, *inner_cuts]
        ends = [*(cut - 1 for cut in inner_cuts), piece.end]
        result.extend(
            attrs.evolve(piece, start=start, end=end)
            for start, end in zip(starts, ends, strict=True)
        )
    return tuple(result)


def bucket_of(key):
    """Return the bucket of a key."""
    return key // KEYS_PER_BUCKET


def buckets_of(start, end):
    """Return the buckets of keys `start` to `end`, both inclusive."""
    return range(bucket_of(start), bucket_of(end) + 1)


def divide_equally(owners, first_fence=1):
    """Return pieces of equal width, one for each (host_id, life) of `owners`.

    Their fencing tokens are `first_fence` and the following ones.

    The pieces consist of whole buckets unless there are more owners than
    buckets. Requests are counted by bucket, so the load of a bucket shared by
    two hosts could not be attributed to either of them.
    """
    count = len(owners)
    unit = KEYS_PER_BUCKET if count * KEYS_PER_BUCKET <= KEY_COUNT else 1
    units = KEY_COUNT // unit
    cuts = [units * number // count * unit for number in range(count + 1)]
    return tuple(
        Piece(
            cuts[number],
            cuts[number + 1] - 1,
            host_id,
            life,
            first_fence + number,
        )
        for number, (host_id, life) in enumerate(owners)
    )


def _is_mergeable(first, second):
    return (
        first.host_id == second.host_id
        and first.life == second.life
        and first.fence == second.fence
        and first.former == second.former
    )
