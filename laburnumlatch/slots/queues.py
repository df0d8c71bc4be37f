"""Queues of requests for the local backend server, one row per class.

Every step costs the same however many requests wait.
"""

from laburnumlatch.slots import rows


def enter(world, request):
    """Put a request at the end of the queue of its class."""
    queue = world.queues.get(request.class_name)
    if queue is None:
        service = world.services.get(request.service)
        queue = rows.Queue(
            request.class_name,
            service.classes[request.class_name].priority,
        )
        world.queues.put(request.class_name, queue)
    queue.waiting[request.number] = None
    queue.entered.append(request.number)


def leave(world, request):
    """Take a request out of its queue; nothing happens if it is not there."""
    queue = world.queues.get(request.class_name)
    if queue is not None:
        queue.waiting.pop(request.number, None)


def by_priority(world):
    """Return the queues, most urgent first."""
    return sorted(world.queues, key=lambda queue: queue.priority)


def in_order(world):
    """Yield the requests that wait, in the order in which they may start.

    The caller may take the requests that it got out of their queues.
    """
    for queue in by_priority(world):
        for number in tuple(queue.waiting):
            yield world.requests.get(number)
