"""Merges operators' entries; the result depends only on the set of entries.

Merging is commutative, associative and idempotent, so the order in which
entries arrive does not matter and concurrent publishers reach the same
configuration.
"""

import functools
import itertools

import attrs

from laburnumlatch.mesh import routes
from laburnumlatch.operators import configuration

# In ascending order of strictness: the later kind wins.
_KINDS_BY_STRICTNESS = (
    routes.Kind.SAFE,
    routes.Kind.UPLOAD,
    routes.Kind.ONCE,
)


def merge(*sources):
    """Return the entries in force of several iterables, in a fixed order.

    For each team and service only the entries of the highest revision are
    kept. Of entries with the same content, the one whose place sorts first
    is kept.
    """
    newest = {}
    for entry in itertools.chain(*sources):
        claim = (entry.name, entry.team)
        by_digest = newest.setdefault(claim, {})
        revision = max(
            (kept.revision for kept in by_digest.values()), default=0
        )
        if entry.revision < revision:
            continue
        if entry.revision > revision:
            by_digest.clear()
        kept = by_digest.get(entry.digest, entry)
        by_digest[entry.digest] = min(kept, entry, key=_place)
    kept_entries = itertools.chain(
        *(by_digest.values() for by_digest in newest.values())
    )
    return tuple(sorted(kept_entries, key=_sort_key))


def intents(entries):
    """Return a (`configuration.Intent`, place) pair per service, by name.

    Where teams disagree on a service, the stricter value applies. The place
    is that of the first entry.
    """
    return tuple(
        (
            functools.reduce(_stricter, [entry.intent for entry in group]),
            group[0].place,
        )
        for group in _by_service(entries)
    )


def conflicts(entries):
    """Return the `configuration.Conflict`s between entries of one service.

    A withdrawn entry conflicts only with entries of its own team.
    """
    all_conflicts = []
    for _, group in itertools.groupby(merge(entries), key=_name):
        first, *others = sorted(group, key=_withdrawn_last)
        all_conflicts.extend(
            _conflict(first, other)
            for other in others
            if other.intent is not None or other.team == first.team
        )
    return tuple(all_conflicts)


def _by_service(entries):
    """Return the merged entries in one list per service, none withdrawn."""
    active = [entry for entry in merge(entries) if entry.intent is not None]
    return [list(group) for _, group in itertools.groupby(active, key=_name)]


def _conflict(first, other):
    problem = f'teams {first.team} and {other.team} both claim the service'
    if first.team == other.team:
        problem = f'revision {first.revision} has two contents'
    return configuration.Conflict(first.name, problem, first.place, other.place)


def _stricter(first, second):
    """Combine two intents.

    `first` is the one whose team name or digest sorts first; values without
    an order of strictness, such as the health path, are taken from it.
    """
    service, other = first.service, second.service
    combined = attrs.evolve(
        service,
        connections=min(service.connections, other.connections),
        is_divided=service.is_divided or other.is_divided,
        warmup_ms=max(service.warmup_ms, other.warmup_ms),
    )
    return configuration.Intent(
        combined,
        stricter_limits(first.limits, second.limits),
        _merge_routes(first.routes, second.routes),
    )


def stricter_limits(first, second):
    """Return `routes.Limits` with the lower value of each limit."""
    lower = map(min, attrs.astuple(first), attrs.astuple(second))
    return routes.Limits(*lower)


def _merge_routes(first, second):
    """Return the union of two tuples of routes, combining equal names."""
    by_name = {route.name: route for route in first}
    for route in second:
        present = by_name.get(route.name, route)
        by_name[route.name] = _stricter_route(present, route)
    return tuple(by_name[name] for name in sorted(by_name))


def _stricter_route(first, second):
    return attrs.evolve(
        first,
        kind=max(first.kind, second.kind, key=_KINDS_BY_STRICTNESS.index),
        timeout_ms=_lower(first.timeout_ms, second.timeout_ms),
        target_ms=_lower(first.target_ms, second.target_ms),
        attempts=min(first.attempts, second.attempts),
    )


def _lower(first, second):
    """Return the lower of two bounds; None means no bound."""
    return min(
        (bound for bound in (first, second) if bound is not None),
        default=None,
    )


def _place(entry):
    return entry.place


def _name(entry):
    return entry.name


def _sort_key(entry):
    return (entry.name, entry.team, entry.digest)


def _withdrawn_last(entry):
    return (entry.intent is None, *_sort_key(entry))
