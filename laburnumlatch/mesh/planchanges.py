"""Differences between successive plans of a service: pure functions."""

import attrs

from laburnumlatch.core import errors
from laburnumlatch.mesh import ranges


@attrs.define(frozen=True)
class Change:
    """The difference between a plan and the one of version `base_version`.

    `pieces` are sorted by key. They replace all pieces of the base plan that
    cover the same keys.
    """

    service: str
    base_version: int
    version: int
    pieces: tuple[ranges.Piece, ...]


class UnfitChangeError(errors.WireError):
    """A change cannot be applied, as it was made against another plan."""


def difference(plan, following):
    """Return the `Change` that turns a plan into the one that follows it."""
    old_pieces = set(plan.pieces)
    return Change(
        following.service,
        plan.version,
        following.version,
        tuple(piece for piece in following.pieces if piece not in old_pieces),
    )


def apply(plan, change):
    """Return the plan that results from a change.

    Raises `UnfitChangeError` if the change was made against another version,
    or if its pieces do not begin and end where pieces of the plan do.
    """
    if change.base_version != plan.version:
        raise UnfitChangeError(
            f'change is based on plan version {change.base_version}'
        )
    pieces = []
    next_index = 0
    for run in _contiguous_runs(change.pieces):
        first = plan.index_of(run[0].start)
        last = plan.index_of(run[-1].end)
        fits_start = plan.pieces[first].start == run[0].start
        if not fits_start or plan.pieces[last].end != run[-1].end:
            raise UnfitChangeError(
                f'change at key {run[0].start} does not match the plan'
            )
        pieces.extend(plan.pieces[next_index:first])
        pieces.extend(run)
        next_index = last + 1
    pieces.extend(plan.pieces[next_index:])
    return ranges.Plan(plan.service, change.version, tuple(pieces))


def _contiguous_runs(pieces):
    """Return the pieces grouped into lists of adjacent ones."""
    runs = []
    for piece in pieces:
        if runs and piece.start == runs[-1][-1].end + 1:
            runs[-1].append(piece)
        else:
            runs.append([piece])
    return runs
