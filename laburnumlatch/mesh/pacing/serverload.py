"""What the own backend server reports of its load.

Its machine may be slow for moments, as other programs run there. The work
times that the agent keeps are those at the usual speed; estimates multiply them
by what the server reports, so that a slow moment counts once.
"""

import math

# About how long a machine stays slow. In this time, half of what a report
# differs from the usual slowness is forgotten.
SLOW_HALF_LIFE_MS = 400
# The time over which the usual slowness is averaged. The planner uses that, as
# keys must not move for a slow moment.
USUAL_MS = 10_000
# A report stands for this time at most, so that one after a long pause does
# not replace the mean.
MAX_REPORT_MS = 1000
# Limits of a slowness that is used, whatever the server reports.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 30


def update(agent, report, work_ms, now):
    """Record a `messages.ServerLoadReport` of the own server, unless None.

    `work_ms` is how long the request usually takes with whose response it
    came: the slowness is averaged over about that time.
    """
    if report is None:
        return
    load = agent.backend.load
    load.running = report.running
    load.waiting = report.waiting
    load.slots = report.slots
    if report.slowness is not None:
        reported = min(MAX_SLOWNESS, max(MIN_SLOWNESS, report.slowness))
        age_ms = now - load.reported_at if load.reported_at else 0
        load.slowness += _weight(age_ms, work_ms) * (reported - load.slowness)
        load.usual_slowness += _weight(min(age_ms, MAX_REPORT_MS), USUAL_MS) * (
            reported - load.usual_slowness
        )
    load.reported_at = now


def slowness(agent):
    """Return how long work takes on this machine now, 1 at the usual speed."""
    if agent.backend is None:
        return 1
    load = agent.backend.load
    half_lives = (agent.now - load.reported_at) / SLOW_HALF_LIFE_MS
    excess = load.slowness - load.usual_slowness
    return load.usual_slowness + excess * 0.5**half_lives


def usual_slowness(agent):
    """Return the mean slowness of this machine in the last seconds."""
    return 1 if agent.backend is None else agent.backend.load.usual_slowness


def slowdown(agent):
    """Return how many times longer than usual a new request takes, at least 1.

    A slow moment lasts about as long as a request, so that a new one meets
    about half of it.
    """
    usual = usual_slowness(agent)
    return max(1, (slowness(agent) + usual) / 2 / usual)


def usable_slots(backend):
    """Return how many requests the server may be sent at a time.

    That is what it announces, or what it says in responses if that is less.
    With 0 it would get no request, and never say anything else; so 0 is
    ignored.
    """
    return min(backend.slots, backend.load.slots or backend.slots)


def _weight(age_ms, over_ms):
    """Return the weight of a report in a mean over `over_ms`."""
    return 1 - math.exp(-age_ms / max(1, over_ms))
