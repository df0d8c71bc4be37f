"""What operators' files state, and the rows of the store that keep it."""

import attrs

from laburnumlatch.mesh import routes

TABLE = 'config/'
# Not allowed as the name of a service, see `operatorfile`.
HEAD_NAME = 'head'
HEAD_KEY = f'{TABLE}{HEAD_NAME}'


@attrs.define(frozen=True)
class Intent:
    """What one file states: a service, its routes, limits of callers."""

    service: routes.Service
    limits: routes.Limits
    routes: tuple[routes.Route, ...]


@attrs.define(frozen=True)
class Entry:
    """What one team states about one service in one revision of its file.

    `digest` is the hash of `intent`, so layout and comments of the file do
    not count. `intent` is None and `digest` empty if the team withdraws it.
    `place` is `file:line:column`.
    """

    team: str
    name: str
    revision: int
    digest: str
    place: str
    intent: Intent | None = None


@attrs.define(frozen=True)
class ServiceEntries:
    """The entries about one service: the row `config/<service>`."""

    name: str
    entries: tuple[Entry, ...] = ()


@attrs.define(frozen=True)
class Publication:
    """A publishing step that wrote something, and the version it made."""

    publication_id: str
    version: int


@attrs.define(frozen=True)
class Head:
    """The head row: the newest version and the last publications in order."""

    version: int = 0
    publications: tuple[Publication, ...] = ()


@attrs.define(frozen=True)
class Conflict:
    """Two entries that cannot both be in force as they stand."""

    service: str
    problem: str
    first_place: str
    second_place: str


def store_key(name):
    """Return the key of the row of one service."""
    return f'{TABLE}{name}'
