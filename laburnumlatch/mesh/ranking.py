"""Hosts by a figure that changes, the highest first."""

import heapq


class Ranking:
    """Keeps the host with the highest figure at hand."""

    def __init__(self, figures):
        """Rank hosts by `figures`, a number by host."""
        self._figures = dict(figures)
        self._heap = [(-figure, host_id) for host_id, figure in figures.items()]
        heapq.heapify(self._heap)

    def highest(self):
        """Return (host, figure) with the highest figure, (None, 0) if none."""
        while self._heap:
            negative, host_id = self._heap[0]
            figure = self._figures.get(host_id)
            if figure == -negative:
                return host_id, figure
            # The figure has changed since, or the host was removed.
            heapq.heappop(self._heap)
        return None, 0

    def change(self, host_id, figure):
        """Rank a host anew; ignored if it was removed."""
        if self._figures.get(host_id) is not None:
            self._figures.update({host_id: figure})
            heapq.heappush(self._heap, (-figure, host_id))

    def remove(self, host_id):
        """Rank a host no more."""
        self._figures.pop(host_id, None)
