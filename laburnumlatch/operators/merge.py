"""Merge of operators' entries: a pure function of the set of entries.

The order of arrival never matters: merging is commutative, associative and
idempotent, so racing publishers reach the same configuration.
"""

import functools
import itertools

import attrs

from laburnumlatch.operators import configuration


def merge(*sources):
    """Return the entries in force of several iterables of entries, ordered.

    Of one team and service only the highest revision stays; of one content
    stated in several places only the first place by name.
    """
    newest = {}
    for entry in itertools.chain(*sources):
        claim = (entry.name, entry.team)
        rival = newest.setdefault(claim, {})
        revision = max((kept.revision for kept in rival.values()), default=0)
        if entry.revision < revision:
            continue
        if entry.revision > revision:
            rival.clear()
        kept = rival.get(entry.digest, entry)
        rival[entry.digest] = min(kept, entry, key=_place)
    kept_entries = itertools.chain(
        *(rival.values() for rival in newest.values())
    )
    return tuple(sorted(kept_entries, key=_precedence))


def services(entries):
    """Return the `rows.Service` of each service that has live entries."""
    return tuple(
        functools.reduce(_stricter, [entry.service for entry in group])
        for group in _by_service(entries)
    )


def conflicts(entries):
    """Return a `configuration.Conflict` for each entry that meets another."""
    found = []
    for _, group in itertools.groupby(merge(entries), key=_name):
        first, *others = sorted(group, key=_live_first)
        found.extend(
            _conflict(first, other)
            for other in others
            if other.service is not None or other.team == first.team
        )
    return tuple(found)


def _by_service(entries):
    live = [entry for entry in merge(entries) if entry.service is not None]
    return [list(group) for _, group in itertools.groupby(live, key=_name)]


def _conflict(first, other):
    problem = f'teams {first.team} and {other.team} both claim the service'
    if first.team == other.team:
        problem = f'revision {first.revision} has two contents'
    return configuration.Conflict(first.name, problem, first.place, other.place)


def _stricter(first, second):
    """Combine two services; `first` has the smaller team name or digest."""
    return attrs.evolve(
        first,
        checks_grants=first.checks_grants and second.checks_grants,
        concurrent=min(first.concurrent, second.concurrent),
        connections=min(first.connections, second.connections),
        body_bytes=min(first.body_bytes, second.body_bytes),
        classes=_join(first.classes, second.classes, _stricter_class),
        operations=_join(
            first.operations, second.operations, _stricter_operation
        ),
    )


def _join(first, second, combine):
    """Return the union of two dicts; names in both are combined."""
    joined = {**second, **first}
    for name in first.keys() & second.keys():
        joined[name] = combine(first[name], second[name])
    return dict(sorted(joined.items()))


def _stricter_class(first, second):
    return attrs.evolve(first, queue=min(first.queue, second.queue))


def _stricter_operation(first, second):
    return attrs.evolve(
        first,
        repeatable=first.repeatable and second.repeatable,
        deadline_ms=min(first.deadline_ms, second.deadline_ms),
    )


def _place(entry):
    return entry.place


def _name(entry):
    return entry.name


def _precedence(entry):
    return (entry.name, entry.team, entry.digest)


def _live_first(entry):
    return (entry.service is None, *_precedence(entry))
