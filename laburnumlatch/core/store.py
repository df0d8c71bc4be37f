"""Interface to the platform's table service."""

import abc

import attrs


@attrs.define(frozen=True)
class Write:
    """A compare-and-set of one row.

    The write succeeds only if the row has `expected_version`; 0 means that
    there is no row.
    """

    key: str
    body: bytes
    expected_version: int


class Store(abc.ABC):
    """A store of versioned rows; one sequence numbers the writes of all rows.

    All methods raise `errors.StoreUnavailableError` if no response came; a
    write may then have taken effect. Its subclass `errors.CallRejectedError`
    means that the write has not taken effect and will not.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the `storemsg.StoreRow`; raise `errors.NotFoundError`."""

    @abc.abstractmethod
    async def read(self, table):
        """Return `storemsg.Changes` with all rows under a table's prefix."""

    @abc.abstractmethod
    async def watch(self, table, after, wait_ms):
        """Return the `storemsg.Changes` of a table since version `after`.

        Waits up to `wait_ms` for a change; the result is empty if there was
        none. Raises `errors.HistoryGoneError` if the store no longer has the
        changes since `after`, so that all rows have to be read.
        """

    @abc.abstractmethod
    async def transact(self, writes, guards=()):
        """Write all rows or none; return the new version, common to all.

        `guards` are (key, version) pairs of rows that are not written but
        must have that version; 0 means that there is no row. Raises
        `errors.VersionConflictError` if any version differs.
        """

    async def put(self, key, body, expected_version, guards=()):
        """Write one row and return its new version."""
        write = Write(key, body, expected_version)
        return await self.transact((write,), guards)
