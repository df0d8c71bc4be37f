"""Messages between systems and the front end to the store."""

from laburnumlatch.core import records

# Calls, from systems to the front end. The response to a call bears its
# `ticket`, so that the system can match them.


@records.define(frozen=True)
class StorePut:
    """Write a row if it still has `expected_version`; 0 means no row.

    `guards` are (key, version) pairs of other rows that must be unchanged.
    """

    ticket: str
    key: str
    body: bytes
    expected_version: int
    guards: tuple[tuple[str, int], ...] = ()


@records.define(frozen=True)
class StoreRead:
    """Read all rows of a table, given as a key prefix that ends in a slash."""

    ticket: str
    table: str


@records.define(frozen=True)
class StoreWatch:
    """Wait up to `wait_ms` for rows of a table newer than version `after`."""

    ticket: str
    table: str
    after: int
    wait_ms: int


# Responses, from the front end to systems, and the rows in them.


@records.define(frozen=True)
class StoreRow:
    """A row of the table service."""

    key: str
    version: int
    body: bytes


@records.define(frozen=True)
class Changes:
    """Rows of a table, complete up to `version` of the store.

    `removed` are the keys of rows that are gone, in the response to a watch.
    `changed_in` is the version of the newest row or removal, 0 without any.
    """

    rows: tuple[StoreRow, ...]
    version: int
    removed: tuple[str, ...] = ()
    changed_in: int = 0


@records.define(frozen=True)
class StoreChanges:
    """Response to `StoreRead` and `StoreWatch`; `removed` as in `Changes`."""

    ticket: str
    rows: tuple[StoreRow, ...]
    version: int
    removed: tuple[str, ...] = ()


@records.define(frozen=True)
class StoreWritten:
    """Response to a `StorePut` that took effect; the row has `version`."""

    ticket: str
    version: int


@records.define(frozen=True)
class StoreRefused:
    """Response to a `StorePut` that wrote nothing, as a version differed."""

    ticket: str


@records.define(frozen=True)
class StoreFailed:
    """The call failed, or the store did not respond.

    A write may have taken effect, or may still do so later, unless
    `is_rejected` is true: then the store has rejected the call before doing
    anything.
    """

    ticket: str
    detail: str
    is_rejected: bool = False
