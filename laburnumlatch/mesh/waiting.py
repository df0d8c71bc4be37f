"""Policies for the queue of a backend server: order, longest wait, retry time.

They decide on table rows alone, so that tests can replay a load against each
of them without sockets.
"""

import abc

from laburnumlatch.core import errors

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
# A nested call is refused if its forecast exceeds its slack by this ratio.
NESTED_FORECAST_RATIO = 2
# A request is due at this share of its time, but at its target at the latest,
# so that short targets go first and callers with long timeouts are not last.
DUE_RATIO = 1 / 3


class WaitPolicy(abc.ABC):
    """Orders the queue of a backend server and bounds the wait in it.

    `displaces` is whether queued requests are refused as soon as more urgent
    ones keep them from starting within their bound.
    """

    displaces = False

    @abc.abstractmethod
    def rank(self, request, exceeded=0):
        """Return the rank of a `rows.Request`; lower ranks start first.

        `exceeded` is how many of its route and its domain have had more than
        their share of the server.
        """

    def late_rank(self, request):
        """Return the rank of a nested call whose origin will miss its target.

        By default it is the same as that of other calls.
        """
        return self.rank(request)

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


class ValueWaitPolicy(WaitPolicy):
    """Delays or refuses first what costs callers least.

    A nested call has its own rank or that of the request that began it, the
    more urgent one. Refusing it wastes the work on that request, so it may wait
    as long as its response is of use. The wait of other requests is bounded by
    their target.
    """

    displaces = True

    def rank(self, request, exceeded=0):
        """Rank urgent requests first, then those whose time ends soonest.

        Timeouts of callers are about three times their target, so requests are
        due at a share of their time; a caller that comes back has less time
        than a new one. A nested call is due when its origin is: the more work
        has been done on that, the sooner.
        """
        if request.is_nested:
            due = min(request.deadline, request.origin_target_end)
            return request.rank, False, exceeded, due
        left_ms = request.deadline - request.arrived_at
        due_ms = min(left_ms * DUE_RATIO, request.target_ms)
        return request.rank, False, exceeded, request.arrived_at + due_ms

    def late_rank(self, request):
        """Rank the call behind all others of its rank.

        A response in time is worth more than a late one. If late calls went
        first, because their time ends soonest, all calls would become late.
        """
        return request.rank, True, 0, request.arrived_at

    def max_wait_ms(self, request, slack_ms):
        """Return a share of the target, at most the slack.

        The wait of a nested call is a forecast that may be wrong, and a refusal
        wastes the work on its request. So it is refused only if it would wait
        far too long; `admission` refuses it once it cannot end in time.
        """
        if request.is_nested:
            return slack_ms * NESTED_FORECAST_RATIO
        ratio = ONCE_MAX_WAIT_RATIO
        if request.is_safe:
            ratio = SAFE_MAX_WAIT_RATIO
        return min(slack_ms, ratio * request.target_ms)

    def retry_after_ms(self, wait_ms):
        """Return the share of the wait after which others have started."""
        return wait_ms * RETRY_AFTER_RATIO


class TargetWaitPolicy(WaitPolicy):
    """Bounds the wait by the target, and serves short targets first.

    The baseline with which tests compare `ValueWaitPolicy`.

    This handles overload. With a bound near the deadline, the queue stays full
    up to that bound, and every request that starts has waited too long to end
    in time. With a bound within the target, as many requests start, but they
    end in time.
    """

    def rank(self, request, exceeded=0):
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

    def rank(self, request, exceeded=0):
        """Rank by arrival."""
        return request.arrived_at, request.number

    def max_wait_ms(self, request, slack_ms):
        """Return the slack."""
        return slack_ms

    def retry_after_ms(self, wait_ms):
        """Return the whole wait."""
        return wait_ms


def named(name):
    """Return the policy that the settings select; raise `InvalidInputError`."""
    policies = {
        'value': ValueWaitPolicy,
        'target': TargetWaitPolicy,
        'deadline': DeadlineWaitPolicy,
    }
    if name not in policies:
        raise errors.InvalidInputError(
            f'wait policy {name!r}: expected one of {", ".join(policies)}'
        )
    return policies[name]()
