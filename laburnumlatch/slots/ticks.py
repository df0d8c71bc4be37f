"""The fixed order of the systems, and one tick over them."""

from laburnumlatch.slots import admission
from laburnumlatch.slots import counting
from laburnumlatch.slots import deadlines
from laburnumlatch.slots import dispatch
from laburnumlatch.slots import documents
from laburnumlatch.slots import health
from laburnumlatch.slots import leases
from laburnumlatch.slots import members
from laburnumlatch.slots import outcomes
from laburnumlatch.slots import ownership
from laburnumlatch.slots import planning
from laburnumlatch.slots import routing
from laburnumlatch.slots import spread
from laburnumlatch.slots import witnesses

# State about hosts and plans comes before requests, so that each request is
# decided on the newest state; ends of requests come before starts, so that
# a freed slot of the backend server is used in the same tick.
ORDER = (
    documents,
    spread,
    members,
    planning,
    witnesses,
    leases,
    ownership,
    counting,
    health,
    deadlines,
    outcomes,
    routing,
    admission,
    dispatch,
)


def tick(world, now):
    """Run every system once at `now`, in ms of the agent's clock."""
    world.begin_tick(now)
    for system in ORDER:
        system.run(world, now)
