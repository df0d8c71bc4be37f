"""Deployments in memory whose failure domains are evacuated."""

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import settings
from laburnumlatch.mesh.evacuation import domains

BOUND_MS = settings.Bounds().evacuation_ms
# No request may start at a server from then on, by the agents' margin. The
# agents poll the store of the model for changes.
END_MS = BOUND_MS - domains.MARGIN_MS + fleetsim.fleetstore.WATCH_POLL_MS
STEP_MS = 10
COMPLETION_MS = 2500


def deployment(**policies):
    """Return hosts b0 to b5 and m0 to m2, two divided ones in each domain."""
    return fleetsim.deployment(divided=6, others=3, **policies)


def serve(fleet, duration_ms, callers=(), step_ms=STEP_MS):
    """Send two requests each `step_ms` for a time; return their numbers.

    They come from the hosts in `callers`, or from all with a running agent.
    """
    numbers = []
    for _ in range(duration_ms // step_ms):
        hosts = callers or sorted(fleet.agents)
        key = fleet.rng.randrange(fleetconfig.KEY_COUNT)
        numbers.append(fleet.call(fleet.rng.choice(hosts), '/look/', key=key))
        numbers.append(fleet.call(fleet.rng.choice(hosts), '/'))
        fleet.run(step_ms)
    return numbers


def refused(fleet, numbers):
    """Return the outcomes of requests that got no response."""
    fleet.run(COMPLETION_MS)
    return [
        fleet.outcomes[number]
        for number in numbers
        if type(fleet.outcomes[number]).__name__ != 'Deliver'
    ]


def starts(fleet, host_id, after=0):
    """Return the IDs of requests that a server began after a time in ms."""
    return [
        request_id
        for at, request_id in fleet.backends[host_id].started
        if at > after
    ]


def late_starts(fleet, domain, after):
    """Return the requests that began in a domain later than `after`, in ms."""
    return [
        request_id
        for host_id, name in fleet.domains.items()
        if name == domain
        for request_id in starts(fleet, host_id, after)
    ]


def plan_of(fleet):
    """Return the newest plan of the divided service that any agent knows."""
    plans = [agent.plan_of('bokun') for agent in fleet.agents.values()]
    return max(filter(None, plans), key=lambda plan: plan.version)


def first_key(fleet, host_id):
    """Return the first key of a host by the newest plan."""
    return next(
        piece.start
        for piece in plan_of(fleet).pieces
        if piece.host_id == host_id
    )


def keys_in(fleet, domain):
    """Return how many keys the newest plan gives to hosts of a domain."""
    return sum(
        piece.size
        for piece in plan_of(fleet).pieces
        if fleet.domains[piece.host_id] == domain
    )


def check_owners(fleet):
    """Raise AssertionError if keys had two owners, or a fence that fell."""
    assert not fleet.violations
    assert not fleet.early_grants
    assert not fleet.low_fences
