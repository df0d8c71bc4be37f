"""Queues of typed messages between front ends and systems."""

import collections
import itertools
import operator

_arrival_number = operator.itemgetter(0)
_message = operator.itemgetter(1)


class Mailbox:
    """Messages grouped by class, in order of arrival within each class."""

    def __init__(self):
        """Start empty."""
        self._by_kind = collections.defaultdict(list)
        self._size = 0
        self._arrival_numbers = itertools.count()

    def __len__(self):
        """Return the number of queued messages."""
        return self._size

    def post(self, message):
        """Append one message."""
        self._by_kind[type(message)].append((
            next(self._arrival_numbers),
            message,
        ))
        self._size += 1

    def take(self, kind, *others):
        """Remove and return all messages of these classes, in arrival order."""
        entries = self._by_kind.pop(kind, None) or []
        for other in others:
            entries.extend(self._by_kind.pop(other, ()))
        if not entries:
            return entries
        if others:
            entries.sort(key=_arrival_number)
        self._size -= len(entries)
        return list(map(_message, entries))

    def take_answers(self, kind, prefix):
        """Remove and return the messages whose ticket starts with `prefix`.

        Several systems call the store; each takes only the responses to its
        own calls and leaves the others queued.
        """
        entries = self._by_kind.get(kind)
        if not entries:
            return []
        matching = [
            entry for entry in entries if entry[1].ticket.startswith(prefix)
        ]
        if matching:
            self._by_kind[kind] = [
                entry for entry in entries if entry not in matching
            ]
            self._size -= len(matching)
        return list(map(_message, matching))

    def peek(self, kind):
        """Return all messages of the class `kind` without removing them."""
        return tuple(map(_message, self._by_kind.get(kind, ())))

    def counts(self):
        """Return (class, number of queued messages) for each class."""
        return [(kind, len(entries)) for kind, entries in self._by_kind.items()]

    def clear(self):
        """Remove all messages and return how many there were."""
        removed = self._size
        self._size = 0
        self._by_kind.clear()
        return removed
