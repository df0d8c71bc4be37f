"""Which requests the local backend server may be sent now."""

from laburnumlatch.mesh import holdings
from laburnumlatch.mesh.pacing import serverload


def may_start(agent, request, now):
    """Return whether this host may run a request now.

    A request with a key of a service divided by key may start only while the
    local backend server holds that key.
    """
    key = request.head.key
    if key is None or not agent.is_divided(request.service):
        return True
    return holdings.may_start(agent, key, now)


def last_place_with_room(agent):
    """Return the last place in the queue from which a request starts at once.

    Places count from 0. Queued requests whose keys are not held take no slot.
    It is -1 if no slot is free, and the end of the queue if no other request
    takes the last free slot.
    """
    free_slots = serverload.usable_slots(agent.backend) - len(agent.running)
    if free_slots <= 0:
        return -1
    for place, request in enumerate(agent.queue.in_order()):
        if may_start(agent, request, agent.now):
            free_slots -= 1
            if not free_slots:
                return place
    return len(agent.queue)
