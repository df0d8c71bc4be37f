"""Which regions the requests of a route may reach.

A route may have a list of regions. Its requests, with their bodies and nested
calls, reach hosts in these regions only, besides the agent that the caller
connected to. A nested call is bound by its own route and by the request that
makes it. A binding is a set of region names, or None if there is none.
"""

import attrs

# A backend server may make nested calls for a request that has ended here:
# its caller has left, or its deadline has passed.
RETENTION_MS = 30_000


@attrs.define(frozen=True)
class Binding:
    """Regions that bind the nested calls of a request, `until` a time in ms."""

    regions: frozenset[str]
    until: int


def binding_of_call(agent, route, request_id):
    """Return the binding of a request that arrived from its caller.

    A nested call is recognized by its ID, `PARENT.SUFFIX`.
    """
    own = route.regions or None
    parent_id = request_id.rpartition('.')[0]
    parent = agent.region_bindings.get(parent_id) if parent_id else None
    if parent is None:
        return own
    return parent.regions if own is None else own & parent.regions


def binding_of_forward(forward):
    """Return the binding that another agent sent with a request."""
    return None if forward.regions is None else frozenset(forward.regions)


def encode(binding):
    """Return a binding as it is sent with a request to another agent."""
    return None if binding is None else tuple(sorted(binding))


def allows(agent, request, host):
    """Return whether a request may reach the agent and server of a host.

    The region of a failure domain that the settings do not name is not
    allowed.
    """
    if request.regions is None:
        return True
    region = agent.settings.regions.get(host.record.domain)
    return region in request.regions


def is_excluded(agent, request, host):
    """Return whether the regions keep a request from being served.

    `host` is the chosen one. If it is None, the request may wait for a host as
    long as any known one of the service is in an allowed region.
    """
    if request.regions is None:
        return False
    if host is None and not agent.has_members:
        return False
    if host is not None:
        return not allows(agent, request, host)
    return not any(
        known.record.service == request.service
        and allows(agent, request, known)
        for known in agent.hosts
    )


def record_send(agent, request, now):
    """Keep the binding of a request that is sent to the own server.

    It binds the nested calls, also for some time after the request has ended.
    """
    for request_id in agent.region_binding_ends.pop_due(now):
        binding = agent.region_bindings.get(request_id)
        if binding is not None and binding.until <= now:
            agent.region_bindings.pop(request_id)
    if request.regions is None:
        return
    until = max(now, request.deadline) + RETENTION_MS
    agent.region_bindings.put(
        request.request_id, Binding(request.regions, until)
    )
    agent.region_binding_ends.push(until, request.request_id)
