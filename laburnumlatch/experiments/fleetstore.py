"""The store of the deployment in memory."""

from laburnumlatch.core import storemsg


class Store:
    """Rows with versions; calls of cut hosts have no answer.

    The next `rejects` writes of a key are turned down by saying so.
    """

    def __init__(self):
        """Start without rows."""
        self.rows = {}
        self.version = 0
        self.refuses = set()
        self.is_down = False
        self.rejects = {}
        self.writes = 0

    def answer(self, host_id, message):
        """Return the answer to a call, or None while a watch waits."""
        if self.is_down or host_id in self.refuses:
            return storemsg.StoreFailed(message.ticket, 'refused')
        if isinstance(message, storemsg.StorePut):
            if self._is_rejected(message.key):
                return storemsg.StoreFailed(
                    message.ticket, 'status 503', is_rejected=True
                )
            return self._put(message)
        after = getattr(message, 'after', 0)
        rows = self.newer(message.table, after)
        if isinstance(message, storemsg.StoreWatch) and not rows:
            return None
        return storemsg.StoreChanges(message.ticket, rows, self.version)

    def newer(self, table, after):
        """Return rows of a table above a version, oldest first."""
        found = [
            row
            for row in self.rows.values()
            if row.key.startswith(table) and row.version > after
        ]
        return tuple(sorted(found, key=lambda row: row.version))

    def _is_rejected(self, key):
        left = self.rejects.get(key, 0)
        self.rejects[key] = max(0, left - 1)
        return left > 0

    def _put(self, message):
        wanted = [(message.key, message.expected_version), *message.guards]
        for key, version in wanted:
            known = self.rows.get(key)
            known_version = known.version if known else 0
            if version != known_version:
                return storemsg.StoreRefused(message.ticket)
        self.writes += 1
        self.version += 1
        self.rows[message.key] = storemsg.StoreRow(
            message.key, self.version, message.body
        )
        return storemsg.StoreWritten(message.ticket, self.version)
