"""Runs all systems of an agent once per tick, in a fixed order.

A system is a module with a function `run(agent, now)`. It takes messages from
the inbox, updates the tables of the agent's state and posts messages to the
outbox.
"""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import configuring
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import departures
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import holdings
from laburnumlatch.mesh import intake
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import members
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import ownserver
from laburnumlatch.mesh import pipelining
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import planner
from laburnumlatch.mesh import role
from laburnumlatch.mesh import silence
from laburnumlatch.mesh import storeepochs
from laburnumlatch.mesh import systemruns
from laburnumlatch.mesh import throttling
from laburnumlatch.mesh.evacuation import progress
from laburnumlatch.mesh.overload import displacement
from laburnumlatch.mesh.pacing import coldqueue

# `counting` counts the store's responses before other systems remove them
# from the inbox, and `storeepochs` looks at their versions. The state of hosts
# and keys is updated before requests are handled, so that each request is
# routed by the newest state. Arrivals are processed before ends, since one tick
# may bring both for the same request;
# ends are processed before starts, so that a slot of the backend server that
# became free is used in the same tick.
SYSTEMS = (
    counting,
    storeepochs,
    configuring,
    ownserver,
    departures,
    members,
    role,
    leases,
    planner,
    progress,
    holdings,
    intake,
    expiry,
    outcomes,
    silence,
    pipelining,
    placement,
    throttling,
    admission,
    displacement,
    coldqueue,
    dispatch,
    leaving,
)

NAMED_SYSTEMS = tuple(
    (system.__name__.rpartition('.')[2], system.run) for system in SYSTEMS
)


def tick(agent, now, on_system_run=None):
    """Run every system once at `now`, in ms of the agent's clock.

    `on_system_run`, if given, is called with the name of each system after
    it has run. Raises `errors.SystemFailedError` if one raises that does more
    than to report.
    """
    agent.begin_tick(now)
    for name, run in NAMED_SYSTEMS:
        systemruns.run(agent, name, run, now)
        if on_system_run is not None:
            on_system_run(name)
