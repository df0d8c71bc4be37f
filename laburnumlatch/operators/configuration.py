"""Entries of operators' files, and the rows of the store that hold them."""

import attrs

from laburnumlatch.mesh import routes

TABLE = 'config/'
# `operatorfile` rejects a service of this name: its row would be the head row.
HEAD_NAME = 'head'
HEAD_KEY = f'{TABLE}{HEAD_NAME}'


@attrs.define(frozen=True)
class Intent:
    """What one file requests: a service, its routes, limits on callers."""

    service: routes.Service
    limits: routes.Limits
    routes: tuple[routes.Route, ...]


@attrs.define(frozen=True)
class Entry:
    """What one team declares about one service in one revision of its file.

    `digest` is the hash of `intent`, so it does not change with the layout
    or comments of the file. If the team withdraws the service, `intent` is
    None and `digest` is empty. `place` is `file:line:column`.
    """

    team: str
    name: str
    revision: int
    digest: str
    place: str
    intent: Intent | None = None


@attrs.define(frozen=True)
class ServiceEntries:
    """All teams' entries about one service: the row `config/<service>`."""

    name: str
    entries: tuple[Entry, ...] = ()


@attrs.define(frozen=True)
class Publication:
    """A publishing step that wrote to the store, and the version it created."""

    publication_id: str
    version: int


@attrs.define(frozen=True)
class Head:
    """The head row: the newest version, and the last publications in order."""

    version: int = 0
    publications: tuple[Publication, ...] = ()


@attrs.define(frozen=True)
class Conflict:
    """Two entries about a service that contradict each other.

    The places are those of the two entries, as `file:line:column`.
    """

    service: str
    problem: str
    first_place: str
    second_place: str


def store_key(name):
    """Return the key of the row of one service."""
    return f'{TABLE}{name}'
