"""Ranking of hosts by a changing score: a heap with lazy deletion."""

import heapq


class Ranking:
    """Keeps track of the host with the highest score."""

    def __init__(self, scores):
        """Rank hosts by `scores`, a number for each host."""
        self._scores = dict(scores)
        self._heap = [(-score, host_id) for host_id, score in scores.items()]
        heapq.heapify(self._heap)

    def highest(self):
        """Return (host, score) of the highest score, (None, 0) if empty."""
        while self._heap:
            negative, host_id = self._heap[0]
            score = self._scores.get(host_id)
            if score == -negative:
                return host_id, score
            # Outdated entry: the score has changed or the host was removed.
            heapq.heappop(self._heap)
        return None, 0

    def change(self, host_id, score):
        """Set the score of a host; ignored if the host was removed."""
        if self._scores.get(host_id) is not None:
            self._scores.update({host_id: score})
            heapq.heappush(self._heap, (-score, host_id))

    def remove(self, host_id):
        """Remove a host from the ranking."""
        self._scores.pop(host_id, None)
