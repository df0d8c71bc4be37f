"""The accepted configuration: a row of the store per service, and a head."""

import attrs

from laburnumlatch.core import hashing
from laburnumlatch.slots import rows

DOCUMENT_KIND = 'config'
# Not allowed as the name of a service, see `operatorfile`.
HEAD_NAME = 'head'
HEAD_KEY = f'{DOCUMENT_KIND}/{HEAD_NAME}'
HEXADECIMAL = 16


@attrs.define(frozen=True)
class Entry:
    """What one team states about one service in one revision of its file.

    `digest` is the hash of `service`, so layout and comments of the file do
    not count. `service` is None and `digest` empty if the team withdraws it.
    `place` is `file:line:column`.
    """

    team: str
    name: str
    revision: int
    digest: str
    place: str
    service: rows.Service | None = None


@attrs.define(frozen=True)
class Stated:
    """The entries about one service: the row `config/<service>`.

    `count` is the count of the head that was written with it.
    """

    name: str
    entries: tuple[Entry, ...] = ()
    count: int = 0


@attrs.define(frozen=True)
class Head:
    """The head row: how many publications there were, and the last of them.

    `publications` are IDs of publishing steps, the newest last. `services`
    and `marks` are the number of rows of services and the XOR of their marks:
    whoever has the same has every row.
    """

    count: int = 0
    publications: tuple[str, ...] = ()
    services: int = 0
    marks: int = 0


@attrs.define(frozen=True)
class Conflict:
    """Two entries that state different things about one service."""

    service: str
    problem: str
    first_place: str
    second_place: str


def store_key(name):
    """Return the key of the row of one service."""
    return f'{DOCUMENT_KIND}/{name}'


def mark(stated):
    """Return a number of 64 bits for the version of a `Stated`; 0: no row."""
    if not stated.count:
        return 0
    text = f'{stated.name}\0{stated.count}'
    return int(hashing.digest(text.encode()), HEXADECIMAL)
