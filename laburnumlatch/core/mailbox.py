"""Typed messages that wait between front ends and systems."""

import collections


class Mailbox:
    """Messages by their class, each kind in order of arrival."""

    def __init__(self):
        """Start empty."""
        self._by_kind = collections.defaultdict(list)
        self._size = 0

    def __len__(self):
        """Return the number of messages that wait."""
        return self._size

    def post(self, message):
        """Append one message."""
        self._by_kind[type(message)].append(message)
        self._size += 1

    def take(self, kind):
        """Remove and return all messages of the class `kind`, in order."""
        if kind not in self._by_kind:
            return []
        taken = self._by_kind.pop(kind)
        self._size -= len(taken)
        return taken

    def take_answers(self, kind, prefix):
        """Remove and return the messages whose ticket starts with `prefix`.

        Answers of the store are for the system that asked; others stay.
        """
        answers = self._by_kind.get(kind)
        if not answers:
            return []
        own = [one for one in answers if one.ticket.startswith(prefix)]
        if own:
            self._by_kind[kind] = [one for one in answers if one not in own]
            self._size -= len(own)
        return own

    def peek(self, kind):
        """Return all messages of the class `kind` and leave them here."""
        return tuple(self._by_kind.get(kind, ()))

    def counts(self):
        """Return (kind, number of messages) of all that waits."""
        return [(kind, len(found)) for kind, found in self._by_kind.items()]

    def clear(self):
        """Remove all messages and return how many there were."""
        left = self._size
        self._size = 0
        self._by_kind.clear()
        return left
