"""Rows about the exchange of documents with the store and other agents."""

import attrs

from laburnumlatch.core import tables
from laburnumlatch.operators import configuration

BUCKETS = 256


def _empty_buckets():
    return [0 for _ in range(BUCKETS)]


def _empty_keys():
    return [[] for _ in range(BUCKETS)]


@attrs.define
class StoreReader:
    """How this agent reads the store.

    `cursor` is the highest version in any completed scan. Documents from
    neighbours don't move it, since they say nothing about other rows.
    `next_read` is in ms, or None before the first read.
    """

    cursor: int = 0
    failures: int = 0
    next_read: int | None = None


@attrs.define
class Configured:
    """Which versions of the configuration this agent has.

    `counts` holds per service the count of its row, `marks` the XOR of their
    marks. `in_force` is the highest count of a head up to which the agent had
    all rows.
    """

    head: configuration.Head = attrs.Factory(configuration.Head)
    counts: tables.Table = attrs.Factory(tables.Table)
    marks: int = 0
    in_force: int = 0


@attrs.define
class Spreading:
    """What this agent needs to compare its documents with a neighbour's.

    `buckets` holds per bucket the XOR of the marks of its documents.
    `keys` lists the documents in each bucket.
    `changed` are documents accepted in this tick. `wanted` holds, by key of
    the document, the (version, due time in ms) last asked for; `refused` the
    (version, digest) of a document that could not be used. `neighbours` are
    the IDs of the hosts among which partners are drawn.
    """

    buckets: list[int] = attrs.Factory(_empty_buckets)
    keys: list[list] = attrs.Factory(_empty_keys)
    changed: list = attrs.Factory(list)
    wanted: tables.Table = attrs.Factory(tables.Table)
    refused: tables.Table = attrs.Factory(tables.Table)
    neighbours: tuple[str, ...] = ()
