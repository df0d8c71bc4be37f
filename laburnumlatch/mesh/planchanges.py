"""Plans as what has changed since the one before: pure functions."""

import attrs

from laburnumlatch.core import errors
from laburnumlatch.mesh import ranges


@attrs.define(frozen=True)
class Change:
    """What a plan has new against the one of `base_version`.

    `pieces`, in order, take the place of all that cover the same keys.
    """

    service: str
    base_version: int
    version: int
    pieces: tuple[ranges.Piece, ...]


class UnfitChangeError(errors.WireError):
    """A change is about another plan than the one that is known."""


def difference(plan, following):
    """Return the `Change` that leads from a plan to the one after it."""
    known = set(plan.pieces)
    return Change(
        following.service,
        plan.version,
        following.version,
        tuple(piece for piece in following.pieces if piece not in known),
    )


def apply(plan, change):
    """Return the plan after a change; raise `UnfitChangeError`."""
    if change.base_version != plan.version:
        raise UnfitChangeError(f'change of version {change.base_version}')
    pieces = []
    following = 0
    for run in _runs(change.pieces):
        first = plan.index_of(run[0].start)
        last = plan.index_of(run[-1].end)
        fits_start = plan.pieces[first].start == run[0].start
        if not fits_start or plan.pieces[last].end != run[-1].end:
            raise UnfitChangeError(f'change at {run[0].start}')
        pieces.extend(plan.pieces[following:first])
        pieces.extend(run)
        following = last + 1
    pieces.extend(plan.pieces[following:])
    return ranges.Plan(plan.service, change.version, tuple(pieces))


def _runs(pieces):
    """Return the pieces in lists without a gap."""
    runs = []
    for piece in pieces:
        if runs and piece.start == runs[-1][-1].end + 1:
            runs[-1].append(piece)
        else:
            runs.append([piece])
    return runs
