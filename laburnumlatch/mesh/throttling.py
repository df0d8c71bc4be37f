"""System: admits fewer requests of a route while the calls they make fail.

A backend server calls other services while it runs a request, and fails the
request if a call is refused. Where such a service is overloaded, work on most
requests is wasted, and so are the calls that did succeed. This agent sees
the calls of its own backend server, and admits only as many requests of the
calling route as have calls that succeed.
"""

import enum

import attrs

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting

ADJUST_MS = 250
# Calls may fail at this rate before fewer requests are admitted.
FAILED_RATE = 0.1
DECREASE_RATE = 0.85
INCREASE_SHARE = 0.05
# Some requests always go on: their calls show when there is room again.
LEAST_SHARE = 0.1
# Each request has the same chance, and the share is new by then; a caller who
# is told to come back later is answered later, and not more often.
RETRY_MS = 250

_log = logs.logger('throttling')


class CallEnd(enum.StrEnum):
    """How a call of a running request ended.

    `LATE`: after its own target, when that of the request that made it had
    passed too.
    """

    IN_TIME = 'in-time'
    LATE = 'late'
    FAILED = 'failed'


@attrs.define
class Throttle:
    """Admission of one route: `share` of its requests, by `credit`.

    `calls`, `late` and `failed` count the calls of its requests that have
    ended since `share` was adjusted.
    """

    route: str
    share: float = 1
    credit: float = 0
    calls: int = 0
    late: int = 0
    failed: int = 0


def run(agent, now):
    """Adjust the shares to the calls that ended."""
    if not len(agent.throttles) or not agent.due(
        'throttling/adjust', ADJUST_MS, now
    ):
        return
    for route, throttle in agent.throttles.items():
        calls, late, failed = throttle.calls, throttle.late, throttle.failed
        former = throttle.share
        adjust(throttle)
        if throttle.share < former:
            _log.info(
                'throttled-more',
                route=route,
                share=round(throttle.share, 2),
                calls=calls,
                late=late,
                failed=failed,
            )
        if throttle.share >= 1:
            agent.throttles.pop(route)


def adjust(throttle):
    """Admit less if too many calls failed, else a little more."""
    if throttle.late + throttle.failed > FAILED_RATE * throttle.calls:
        throttle.share = max(LEAST_SHARE, throttle.share * DECREASE_RATE)
    else:
        throttle.share = min(1, throttle.share + INCREASE_SHARE)
    throttle.calls = 0
    throttle.late = 0
    throttle.failed = 0


def count_call(agent, route, end):
    """Count a call that a request of `route` made; `end` is a `CallEnd`.

    A call that was answered too late for the request that made it counts as
    failed: the service that is called has more work than it can do. One that
    only missed its own target has cost the caller nothing, and one within it
    is not why its request is late.
    """
    counting.count(agent, 'calls_ended', route=route, outcome=end)
    throttle = agent.throttles.get(route)
    if throttle is None:
        if end == CallEnd.IN_TIME:
            return
        throttle = agent.throttles.put(route, Throttle(route))
    throttle.calls += 1
    throttle.late += end == CallEnd.LATE
    throttle.failed += end == CallEnd.FAILED


def admits(agent, route):
    """Tell whether the next request of a route may run."""
    throttle = agent.throttles.get(route)
    if throttle is None:
        return True
    throttle.credit += throttle.share
    if throttle.credit < 1:
        return False
    throttle.credit -= 1
    return True
