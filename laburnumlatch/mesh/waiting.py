"""Policies for the queue of a backend server: order, longest wait, retry time.

They decide on table rows alone, so that tests can replay a load against each
of them without sockets.
"""

import abc

# The longest wait of a request, as a share of its target. Callers retry safe
# requests; other requests may be lost when refused, so they may wait longer.
SAFE_MAX_WAIT_RATIO = 0.4
ONCE_MAX_WAIT_RATIO = 0.8
# A request whose nested calls wait longer than this misses its own target, and
# nested calls that wait until their deadline displace requests of callers.
NESTED_MAX_WAIT_RATIO = 0.6
# Nested calls have short targets, and many arrive at once; if they were ranked
# by their own target, they would displace requests of callers.
NESTED_TARGET_RATIO = 3
# A refused caller usually finds room after this share of the expected wait.
RETRY_AFTER_RATIO = 0.6


class WaitPolicy(abc.ABC):
    """Orders the queue of a backend server and bounds the wait in it."""

    @abc.abstractmethod
    def rank(self, request):
        """Return the rank of a `rows.Request`; lower ranks start first."""

    @abc.abstractmethod
    def max_wait_ms(self, request, slack_ms):
        """Return the longest wait; a request that would wait longer is refused.

        `slack_ms` is how long the request may wait and still end within its
        deadline.
        """

    @abc.abstractmethod
    def retry_after_ms(self, wait_ms):
        """Return after how many ms a refused caller is likely to find room.

        `wait_ms` is the expected wait for which the request was refused.
        """


class TargetWaitPolicy(WaitPolicy):
    """Bounds the wait by the target, and serves short targets first.

    This handles overload. With a bound near the deadline, the queue stays full
    up to that bound, and every request that starts has waited too long to end
    in time. With a bound within the target, as many requests start, but they
    end in time.
    """

    def rank(self, request):
        """Rank urgent requests first, then those whose target is nearest."""
        ratio = NESTED_TARGET_RATIO if request.is_nested else 1
        return request.priority, request.arrived_at + ratio * request.target_ms

    def max_wait_ms(self, request, slack_ms):
        """Return a share of the target, at most the slack."""
        if request.is_nested:
            ratio = NESTED_MAX_WAIT_RATIO
        elif request.is_safe:
            ratio = SAFE_MAX_WAIT_RATIO
        else:
            ratio = ONCE_MAX_WAIT_RATIO
        return min(slack_ms, ratio * request.target_ms)

    def retry_after_ms(self, wait_ms):
        """Return the share of the wait after which others have started."""
        return wait_ms * RETRY_AFTER_RATIO


class DeadlineWaitPolicy(WaitPolicy):
    """Serves in order of arrival; refuses requests that miss their deadline.

    The baseline with which tests compare `TargetWaitPolicy`.
    """

    def rank(self, request):
        """Rank by arrival."""
        return request.arrived_at, request.number

    def max_wait_ms(self, request, slack_ms):
        """Return the slack."""
        return slack_ms

    def retry_after_ms(self, wait_ms):
        """Return the whole wait."""
        return wait_ms
