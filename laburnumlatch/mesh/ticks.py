"""The fixed order of the systems, and one tick over them."""

from laburnumlatch.mesh import admission
from laburnumlatch.mesh import configuring
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import dispatch
from laburnumlatch.mesh import expiry
from laburnumlatch.mesh import holdings
from laburnumlatch.mesh import intake
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import leaving
from laburnumlatch.mesh import members
from laburnumlatch.mesh import outcomes
from laburnumlatch.mesh import ownserver
from laburnumlatch.mesh import placement
from laburnumlatch.mesh import planner
from laburnumlatch.mesh import role
from laburnumlatch.mesh import silence
from laburnumlatch.mesh import throttling

# The store's answers are counted before other systems take them. What is
# believed about hosts and keys comes before requests, so that each
# request is decided on the newest state. Requests are taken in before their
# ends are looked for, since one tick may bring both; ends come before starts,
# so that a free slot of the backend server is used in the same tick.
ORDER = (
    counting,
    configuring,
    ownserver,
    members,
    role,
    leases,
    planner,
    holdings,
    intake,
    expiry,
    outcomes,
    silence,
    placement,
    throttling,
    admission,
    dispatch,
    leaving,
)


_NAMED = tuple(
    (system.__name__.rpartition('.')[2], system.run) for system in ORDER
)


def tick(agent, now, note=None):
    """Run every system once at `now`, in ms of the agent's clock.

    `note`, if given, takes the name of each system that has run.
    """
    agent.begin_tick(now)
    for name, run in _NAMED:
        run(agent, now)
        if note is not None:
            note(name)
