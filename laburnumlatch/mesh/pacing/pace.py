"""The pace at which a cold backend server is sent requests.

A token bucket: each send takes a token, whatever it is for, and tokens come
back at the rate that the server bears. Sends to a warm server take tokens too,
so that what a server was sent just before it becomes cold counts.
"""

import math

from laburnumlatch.core import clock
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import messages
from laburnumlatch.mesh.pacing import coldness

# With one token, what the server could take in a gap between two requests
# would be lost. Two allow for requests that arrive by chance at the same time.
MAX_BURST = 2
# Of the sends that the bound of the deployment allows beyond the rate, the
# burst takes at most this share.
MAX_BURST_SHARE = 0.5
# Sends to a warm server take tokens down to a debt of what comes back in this
# time. The bound of the deployment counts sends over the same time.
MAX_DEBT_S = 1
# Sums of fractions may end just below a whole token.
ROUNDING = 1e-6


def free_starts(agent, now):
    """Return how many requests the pace allows to start now.

    Without a pace, that is the number of slots of the server.
    """
    backend = agent.backend
    if not coldness.remaining_ms(agent, now):
        return backend.slots
    return max(0, int(_tokens(agent, now) + ROUNDING))


def wait_ms(agent, queued):
    """Return how long a request waits for the pace behind `queued` others.

    Returns 0 if there is no pace. After the cold time nothing waits for it.
    """
    now = agent.now
    cold_ms = coldness.remaining_ms(agent, now)
    if not cold_ms:
        return 0
    missing = queued + 1 - _tokens(agent, now) - ROUNDING
    needed_ms = math.ceil(missing / _rate_per_ms(agent))
    return max(0, min(cold_ms, needed_ms))


def wake_at_next_start(agent, now):
    """Request a tick at the time at which the pace allows the next start."""
    next_ms = wait_ms(agent, 0)
    if next_ms:
        agent.wake_at(now + next_ms)


def count_send(agent, request, now):
    """Count a request that is sent to the own server."""
    request.tokens_taken = 0
    if not coldness.cold_rate(agent):
        return
    if coldness.remaining_ms(agent, now):
        counting.count(agent, 'paced_starts')
    before = _tokens(agent, now)
    _change_tokens(agent, -1, now)
    request.tokens_taken = before - agent.backend.start_tokens


def count_failure(agent, request, failure, now):
    """Take a send back if the own server did not get it, or not as its own.

    `failure` is a `messages.ExchangeFailed`. A server does no work for a
    request that is meant for another one. What the request has taken comes
    back: that is less than a token if the debt was at its limit.
    """
    is_unsent = failure.phase == messages.Phase.UNSENT
    is_misdirected = failure.reason == messages.Reason.NOT_OWNER
    if is_unsent and failure.reason == messages.Reason.BROKEN:
        coldness.expect_restart(agent, now)
    if coldness.cold_rate(agent) and (is_unsent or is_misdirected):
        _change_tokens(agent, request.tokens_taken, now)


def _change_tokens(agent, change, now):
    backend = agent.backend
    lowest = -MAX_DEBT_S * coldness.cold_rate(agent)
    tokens = _tokens(agent, now) + change
    backend.start_tokens = max(lowest, min(tokens, _burst(agent)))
    backend.tokens_at = now


def _tokens(agent, now):
    """Return the tokens that are left, negative if too much was sent."""
    backend = agent.backend
    refilled = (now - backend.tokens_at) * _rate_per_ms(agent)
    return min(_burst(agent), backend.start_tokens + refilled)


def _rate_per_ms(agent):
    return coldness.cold_rate(agent) / clock.MS_PER_S


def _burst(agent):
    """Return the size of the bucket, in sends.

    In any second the server then gets at most its rate and the burst. The
    bound counts sends in the same way, as its rate with the overage and slack.
    """
    bounds = agent.settings.bounds
    rate = coldness.cold_rate(agent)
    spare = rate * bounds.cold_overage + bounds.cold_slack - rate
    return max(1, min(MAX_BURST, spare * MAX_BURST_SHARE))
