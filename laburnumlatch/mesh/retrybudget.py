"""Budget of repeats for each service, which all agents keep together.

Each agent counts only its own requests and takes an equal part of the fixed
allowance, so that the sum over all agents stays within the bound.
"""

import attrs

from laburnumlatch.core import clock
from laburnumlatch.mesh import members

# Calls that a repeated run makes count as repeats too, and an agent does not
# see them; this part of the bound is left for them.
USED_RATE = 0.6


@attrs.define
class Second:
    """Requests and repeats of one second, for one service."""

    requests: int = 0
    repeats: int = 0


@attrs.define(frozen=True)
class Budget:
    """Repeats that this agent has sent, and how many it may send."""

    spent: int
    allowed: float


def count_request(agent, service, now):
    """Count a caller's request for a service."""
    _second(agent, service, now).requests += 1


def current_budget(agent, service, now):
    """Return this agent's `Budget` of a service in the present window."""
    window = _window(agent, service, now)
    requests = sum(second.requests for second in window.values())
    bounds = agent.settings.bounds
    hosts = max(1, len(members.live_hosts(agent)))
    allowed = bounds.retry_ratio * requests + bounds.retry_extra / hosts
    return Budget(
        spent=sum(second.repeats for second in window.values()),
        allowed=USED_RATE * allowed,
    )


def spend_retry(agent, service, now):
    """Spend one repeat; return False if the budget has none left."""
    budget = current_budget(agent, service, now)
    if budget.spent + 1 > budget.allowed:
        return False
    _second(agent, service, now).repeats += 1
    return True


def _second(agent, service, now):
    return _window(agent, service, now).setdefault(
        now // clock.MS_PER_S, Second()
    )


def _window(agent, service, now):
    window = agent.retry_windows.get(service)
    if window is None:
        window = agent.retry_windows.put(service, {})
    oldest = (now - agent.settings.bounds.retry_window_ms) // clock.MS_PER_S
    for second in tuple(window):
        if second < oldest:
            window.pop(second)
    return window
