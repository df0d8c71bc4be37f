"""Key ranges of a divided service: pure functions over a plan."""

import bisect
import operator

import attrs

from laburnumlatch.core import errors

KEY_COUNT = 65_536
# Requests are counted, and load is moved, by buckets: groups of 16 neighbouring
# keys.
KEYS_PER_BUCKET = 16
_start_of = operator.attrgetter('start')


@attrs.define(frozen=True)
class Life:
    """One run of a backend server: its identity and start, in ms of Unix time.

    A backend server that starts again holds nothing of before, even under
    the same identity.
    """

    server_id: str
    born: int


@attrs.define(frozen=True)
class Piece:
    """A range of keys and its owner: `start` to `end`, both inclusive.

    `fence` rises with every change of owner. `former` is the host that has
    to release the range first, or empty.
    """

    start: int
    end: int
    host_id: str
    life: Life
    fence: int
    former: str = ''

    @property
    def size(self):
        """How many keys the range has."""
        return self.end - self.start + 1

    def covers(self, key):
        """Tell whether `key` lies in the range."""
        return self.start <= key <= self.end


@attrs.define(frozen=True)
class Plan:
    """The owners of all keys of a service: one row of the store.

    `version` rises by one with each write. Pieces are in order and leave no
    gap. Each piece that changes owner gets a fence above all others.
    """

    service: str
    version: int
    pieces: tuple[Piece, ...]

    def piece_of(self, key):
        """Return the piece that covers `key`."""
        return self.pieces[self.index_of(key)]

    def index_of(self, key):
        """Return the index of the piece that covers `key`."""
        return bisect.bisect_right(self.pieces, key, key=_start_of) - 1


def validate(plan):
    """Return a plan that came from outside if it names an owner of each key.

    Raises `errors.WireError`.
    """
    following = 0
    for piece in plan.pieces:
        if piece.start != following or piece.end < piece.start:
            raise errors.WireError(f'plan with a gap at {following}')
        following = piece.end + 1
    if following != KEY_COUNT:
        raise errors.WireError(f'plan that ends at {following}')
    return plan


def overlap(first, second):
    """Return the common (start, end) of two ranges, or None."""
    start = max(first.start, second.start)
    end = min(first.end, second.end)
    return (start, end) if start <= end else None


def overlapping(first, second):
    """Yield the pairs of two plans' pieces that have keys in common.

    Both are in order and leave no gap, so one pass over both is enough.
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
    """Return the pieces with equal neighbours made one."""
    joined = []
    for piece in pieces:
        if joined and _continues(joined[-1], piece):
            joined[-1] = attrs.evolve(joined[-1], end=piece.end)
        else:
            joined.append(piece)
    return tuple(joined)


def split(pieces, cuts):
    """Return the pieces, cut so that each key of `cuts` starts one."""
    result = []
    for piece in pieces:
        inside = sorted({cut for cut in cuts if piece.start < cut <= piece.end})
        if not inside:
            result.append(piece)
            continue
        starts = [piece.start, *inside]
        ends = [*(cut - 1 for cut in inside), piece.end]
        result.extend(
            attrs.evolve(piece, start=start, end=end)
            for start, end in zip(starts, ends, strict=True)
        )
    return tuple(result)


def divide_equally(owners):
    """Return pieces of equal width for `owners`, (host_id, life) pairs.

    They consist of whole buckets, unless there are more owners than buckets:
    the load of a bucket that two hosts share could not be told apart.
    """
    count = len(owners)
    unit = KEYS_PER_BUCKET if count * KEYS_PER_BUCKET <= KEY_COUNT else 1
    units = KEY_COUNT // unit
    cuts = [units * number // count * unit for number in range(count + 1)]
    return tuple(
        Piece(cuts[number], cuts[number + 1] - 1, host_id, life, number + 1)
        for number, (host_id, life) in enumerate(owners)
    )


def _continues(first, second):
    return (
        first.host_id == second.host_id
        and first.life == second.life
        and first.fence == second.fence
        and first.former == second.former
    )
