"""Retry budget of each service, kept jointly by all agents.

Each agent counts only its own requests and takes an equal part of the fixed
allowance, so that the sum over all agents stays within the bound.
"""

from laburnumlatch.core import clock
from laburnumlatch.core import records
from laburnumlatch.mesh import members

# An agent spends only this share of the bound. The rest is left for nested
# calls of retried requests: they count as retries too, but the agent that
# retries does not see them.
OWN_RETRY_SHARE = 0.6


@records.define
class SecondCounts:
    """Requests and retries of one service within one second."""

    requests: int = 0
    retries: int = 0


@records.define(frozen=True)
class Budget:
    """Retries that this agent sent within the window, and may send in all."""

    spent: int
    allowed: float


def count_request(agent, service, now):
    """Count a caller's request for a service."""
    _current_second(agent, service, now).requests += 1


def current_budget(agent, service, now):
    """Return this agent's `Budget` of a service in the current window."""
    window = _current_window(agent, service, now)
    requests = sum(second.requests for second in window.values())
    bounds = agent.settings.bounds
    hosts = max(1, len(members.live_hosts(agent)))
    allowed = bounds.retry_ratio * requests + bounds.retry_extra / hosts
    return Budget(
        spent=sum(second.retries for second in window.values()),
        allowed=OWN_RETRY_SHARE * allowed,
    )


def spend_retry(agent, service, now):
    """Spend one retry; return False if the budget does not allow it."""
    budget = current_budget(agent, service, now)
    if budget.spent + 1 > budget.allowed:
        return False
    _current_second(agent, service, now).retries += 1
    return True


def _current_second(agent, service, now):
    return _current_window(agent, service, now).setdefault(
        now // clock.MS_PER_S, SecondCounts()
    )


def _current_window(agent, service, now):
    """Return the counts of a service by second, without expired seconds."""
    window = agent.retry_windows.get(service)
    if window is None:
        window = agent.retry_windows.put(service, {})
    oldest = (now - agent.settings.bounds.retry_window_ms) // clock.MS_PER_S
    for second in tuple(window):
        if second < oldest:
            window.pop(second)
    return window
