"""Policies for the queue of a backend server: order, longest wait, return.

They decide on rows alone, so that a load can be replayed against each of
them without sockets.
"""

import abc

# The longest wait as a part of the target. Callers repeat safe requests; the
# others may be lost, so they may wait longer.
SAFE_WAIT_RATE = 0.4
ONCE_WAIT_RATE = 0.8
# A request that waits longer for each of its calls misses its own target, and
# calls that wait to their deadline push out what callers ask for.
NESTED_WAIT_RATE = 0.6
# Calls of running requests have short targets, and many come at once; at
# their own target they would push out what callers ask for.
NESTED_TARGET_RATE = 3
# The part of the expected wait after which a refused caller finds room.
RETURN_RATE = 0.6


class WaitPolicy(abc.ABC):
    """How requests wait for a backend server, and when they are turned away."""

    @abc.abstractmethod
    def rank(self, request):
        """Return the rank of a `rows.Request`; lower ranks start first."""

    @abc.abstractmethod
    def longest_wait_ms(self, request, left_ms):
        """Return the wait beyond which a request is refused at once.

        `left_ms` is how long it may wait and still end within its deadline.
        """

    @abc.abstractmethod
    def return_ms(self, wait_ms):
        """Return after what time a refused caller is likely to find room.

        `wait_ms` is the wait for which the request was refused.
        """


class TargetWaitPolicy(WaitPolicy):
    """Bounds the wait by the target, and serves short targets first.

    Answers overload: with a bound near the deadline the queue stands at that
    bound, and everything that starts has waited too long to end in time. A
    bound within the target lets as many requests start, but end in time.
    """

    def rank(self, request):
        """Rank urgent requests first, then those whose target is nearest."""
        rate = NESTED_TARGET_RATE if request.is_nested else 1
        return request.priority, request.arrived + rate * request.target_ms

    def longest_wait_ms(self, request, left_ms):
        """Return a part of the target."""
        if request.is_nested:
            rate = NESTED_WAIT_RATE
        elif request.is_safe:
            rate = SAFE_WAIT_RATE
        else:
            rate = ONCE_WAIT_RATE
        return min(left_ms, rate * request.target_ms)

    def return_ms(self, wait_ms):
        """Return the part of the wait by which others will have started."""
        return wait_ms * RETURN_RATE


class DeadlineWaitPolicy(WaitPolicy):
    """Serves in order of arrival, and refuses what would miss its deadline.

    The baseline that `TargetWaitPolicy` is measured against.
    """

    def rank(self, request):
        """Rank by arrival."""
        return request.arrived, request.number

    def longest_wait_ms(self, request, left_ms):
        """Return the time left."""
        return left_ms

    def return_ms(self, wait_ms):
        """Return the whole wait."""
        return wait_ms
