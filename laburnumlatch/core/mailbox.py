"""Typed messages that wait between front ends and systems."""

import collections
import itertools
import operator

_place = operator.itemgetter(0)
_message = operator.itemgetter(1)


class Mailbox:
    """Messages by their class, each kind in order of arrival."""

    def __init__(self):
        """Start empty."""
        self._by_kind = collections.defaultdict(list)
        self._size = 0
        self._places = itertools.count()

    def __len__(self):
        """Return the number of messages that wait."""
        return self._size

    def post(self, message):
        """Append one message."""
        self._by_kind[type(message)].append((next(self._places), message))
        self._size += 1

    def take(self, kind, *others):
        """Remove and return all messages of these classes, in order."""
        placed = self._by_kind.pop(kind, None) or []
        for other in others:
            placed.extend(self._by_kind.pop(other, ()))
        if not placed:
            return placed
        if others:
            placed.sort(key=_place)
        self._size -= len(placed)
        return list(map(_message, placed))

    def take_answers(self, kind, prefix):
        """Remove and return the messages whose ticket starts with `prefix`.

        Answers of the store are for the system that asked; others stay.
        """
        placed = self._by_kind.get(kind)
        if not placed:
            return []
        own = [one for one in placed if one[1].ticket.startswith(prefix)]
        if own:
            self._by_kind[kind] = [one for one in placed if one not in own]
            self._size -= len(own)
        return list(map(_message, own))

    def peek(self, kind):
        """Return all messages of the class `kind` and leave them here."""
        return tuple(map(_message, self._by_kind.get(kind, ())))

    def counts(self):
        """Return (kind, number of messages) of all that waits."""
        return [(kind, len(found)) for kind, found in self._by_kind.items()]

    def clear(self):
        """Remove all messages and return how many there were."""
        left = self._size
        self._size = 0
        self._by_kind.clear()
        return left
