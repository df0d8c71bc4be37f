"""Rows about runs of the backend server that have left."""

import attrs

from laburnumlatch.core import records
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import storeretry


@records.define(frozen=True)
class Departure:
    """A run of a backend server that has announced that it leaves.

    From `closing_at`, in ms of the agent's clock, no request may reach it.
    """

    life: ranges.Life
    closing_at: int


@records.define(frozen=True)
class NamedDeparture:
    """Announcement of a backend server that it leaves, without its start.

    It was sent at `announced_at`, in Unix ms. From `closing_at`, in ms of the
    agent's clock, no request may reach that server. A life that began after
    `announced_at` is another server with the same identity.
    """

    announced_at: int
    closing_at: int


@records.define
class DepartureLog:
    """Row of the store with the departures on this host.

    `is_known` is set once it was read. `version` is that of the row, 0 if
    there is none, None if it is to be read, also again after a write whose
    outcome is not known. `saved_lives` are in the row, `lives_in_write` in
    the last write of it.
    """

    is_known: bool = False
    version: int | None = None
    saved_lives: frozenset[ranges.Life] = frozenset()
    lives_in_write: tuple[ranges.Life, ...] = ()
    retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)
