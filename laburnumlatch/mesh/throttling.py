"""System: admits fewer requests of a route while their nested calls fail.

A backend server calls other services while it runs a request, and fails the
request if a nested call is refused. While a called service is overloaded, most
of the work on such requests is wasted, and so are the nested calls that
succeeded. This agent sees the nested calls of its own backend server, and
admits only as many requests of the calling route as have calls that succeed.
"""

import enum

import attrs

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting

ADJUST_INTERVAL_MS = 250
# Fewer requests are admitted once more than this share of the calls fail.
MAX_FAILED_CALL_RATIO = 0.1
DECREASE_FACTOR = 0.85
INCREASE_STEP = 0.05
# Some requests are always admitted: their calls show when the called service
# has room again.
MIN_SHARE = 0.1
# Every request has the same chance of admission, and the share has been
# adjusted by then. A longer time would only delay the caller, and not improve
# its chance.
RETRY_AFTER_MS = 250

_log = logs.logger('throttling')


class CallEnd(enum.StrEnum):
    """How a nested call of a running request ended.

    `LATE`: its response came after its own target and also after the target
    of the request that made it.
    """

    IN_TIME = 'in-time'
    LATE = 'late'
    FAILED = 'failed'


@attrs.define
class Throttle:
    """Admission of the requests of one route.

    `share` is the share of its requests that is admitted. Each request adds
    `share` to `credit`, and each admitted one takes 1 off. `calls`, `late` and
    `failed` count the nested calls that have ended since the last adjustment.
    """

    route: str
    share: float = 1
    credit: float = 0
    calls: int = 0
    late: int = 0
    failed: int = 0


def run(agent, now):
    """Adjust the shares to the nested calls that have ended."""
    if not len(agent.throttles) or not agent.due(
        'throttling/adjust', ADJUST_INTERVAL_MS, now
    ):
        return
    for route, throttle in agent.throttles.items():
        calls, late, failed = throttle.calls, throttle.late, throttle.failed
        previous_share = throttle.share
        adjust(throttle)
        if throttle.share < previous_share:
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
    """Lower the share if too many calls failed, else raise it; reset counts."""
    if throttle.late + throttle.failed > MAX_FAILED_CALL_RATIO * throttle.calls:
        throttle.share = max(MIN_SHARE, throttle.share * DECREASE_FACTOR)
    else:
        throttle.share = min(1, throttle.share + INCREASE_STEP)
    throttle.calls = 0
    throttle.late = 0
    throttle.failed = 0


def count_call(agent, route, end):
    """Count a nested call of a request of `route`; `end` is a `CallEnd`.

    A call that was answered too late for its parent request counts as failed:
    the called service is overloaded. A call that missed only its own target
    did not delay the parent beyond its target, and a call that met its own
    target is not the reason why the parent is late.
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


def admit(agent, route):
    """Decide whether the next request of a route is admitted."""
    throttle = agent.throttles.get(route)
    if throttle is None:
        return True
    throttle.credit += throttle.share
    if throttle.credit < 1:
        return False
    throttle.credit -= 1
    return True
