"""Divides the requests of a split route among its services by weight.

Each agent takes the parts in the order of a low-discrepancy sequence that
begins at random. So the shares hold at one agent with many requests and, as
agents begin independently, also over many agents with few requests each.
"""

import math

import attrs

from laburnumlatch.core import logs

# The fractional part of the golden ratio. As the step between positions it
# spreads any number of consecutive ones most evenly over the range 0 to 1.
STEP = (math.sqrt(5) - 1) / 2

_log = logs.logger('configuration')


def choose_service(agent, route):
    """Return the service that gets the next request of a route.

    A part without capacity refuses its requests; they get no other service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    position = agent.split_positions.get(route.name)
    if position is None:
        position = agent.rng.random()
    agent.split_positions.put(route.name, math.fmod(position + STEP, 1))
    return _service_at(route.shares, position)


def drop_stale(agent):
    """Drop the positions of routes that are not in the configuration."""
    names = {route.name for route in agent.configuration.routes}
    for name, _position in agent.split_positions.items():
        if name not in names:
            agent.split_positions.pop(name)


def replace_unweighted(configuration, former):
    """Return a configuration without routes whose weights are all 0.

    Such a route keeps the form that it has in `former`, the configuration in
    force or None. Without one it is left out.
    """
    if all(_is_weighted(route) for route in configuration.routes):
        return configuration
    known = {}
    if former is not None:
        known = {route.name: route for route in former.routes}
    kept = [
        route if _is_weighted(route) else _last_valid(route, known)
        for route in configuration.routes
    ]
    return attrs.evolve(
        configuration, routes=tuple(route for route in kept if route)
    )


def _is_weighted(route):
    return any(share.weight for share in route.shares)


def _last_valid(route, known):
    last = known.get(route.name)
    _log.warning('route-without-weights', route=route.name, kept=bool(last))
    return last


def _service_at(shares, position):
    """Return the service at a position from 0 to 1 in the sum of weights."""
    left = position * sum(share.weight for share in shares)
    weighted = [share for share in shares if share.weight]
    for share in weighted:
        left -= share.weight
        if left < 0:
            return share.service
    # Rounding may leave a position at the end of the last part.
    return weighted[-1].service
