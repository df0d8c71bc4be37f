"""What a run of the demo showed: plans, outcomes and the measures."""

import collections
import itertools

from standins import callers


def outcomes(records):
    """Return {route: {outcome and status: count}}."""
    counted = collections.defaultdict(collections.Counter)
    for record in records:
        name = str(record.outcome)
        if record.outcome != callers.Outcome.ANSWERED and record.status:
            name = f'{name} {record.status}'
        counted[record.workload.name][name] += 1
    return {name: dict(counts) for name, counts in sorted(counted.items())}


def imbalance(specs, runs):
    """Return {service: highest busy time / mean busy time of its servers}.

    `specs` are the hosts, `runs` the number of runs by host ID. Busy time is
    runs by work time, since servers differ in speed.
    """
    busy = collections.defaultdict(list)
    for spec in specs:
        own = runs.get(spec.host_id, 0) * spec.profile.work_ms
        busy[spec.profile.service].append(own)
    return {
        service: round(max(times) * len(times) / max(1, sum(times)), 2)
        for service, times in busy.items()
    }


def unavailable(records):
    """Return {route: {total and longest gap in ms, number of gaps}}.

    A gap of a key runs from the start of a request that was not answered to
    the end of the next one of the same route and key that was.
    """
    by_key = collections.defaultdict(list)
    for record in records:
        by_key[record.workload.name, record.key].append(record)
    gaps = collections.defaultdict(list)
    for (route, _key), of_key in by_key.items():
        gaps[route].extend(_gaps(of_key))
    return {
        name: {
            'total_ms': round(sum(lengths)),
            'longest_ms': round(max(lengths, default=0)),
            'gaps': len(lengths),
        }
        for name, lengths in sorted(gaps.items())
    }


def _gaps(records):
    since = None
    for record in sorted(records, key=lambda one: one.ended_at_ms):
        if record.outcome != callers.Outcome.ANSWERED:
            since = record.started_at_ms if since is None else since
        elif since is not None and record.started_at_ms >= since:
            yield record.ended_at_ms - since
            since = None
    if since is not None:
        yield max(one.ended_at_ms for one in records) - since


def text(report):
    """Return the report of a run as lines for people."""
    sections = (
        _plans(report['plans']),
        _counts('outcomes', report['outcomes']),
        _loss(report['loss']),
        [f'keys that two servers held at once: {report["shared_keys"]}'],
        _pairs(
            'load imbalance (busiest backend server / mean)',
            report['imbalance'],
        ),
        _unavailable(report['unavailable']),
    )
    return '\n'.join(itertools.chain.from_iterable(sections))


def _plans(plans):
    for plan in plans:
        owners = ', '.join(
            f'{host} {count}' for host, count in plan['owners'].items()
        )
        yield f'plan of {plan["service"]} version {plan["version"]}: {owners}'


def _counts(title, groups):
    yield f'{title}:'
    for group, counts in groups.items():
        counted = ', '.join(f'{name} {count}' for name, count in counts.items())
        yield f'  {group}: {counted}'


def _pairs(title, figures):
    yield f'{title}:'
    for name, figure in figures.items():
        yield f'  {name}: {figure}'


def _unavailable(groups):
    yield 'unavailable time (sum over keys / longest gap):'
    for group, gap in groups.items():
        yield (
            f'  {group}: {gap["total_ms"]} ms / {gap["longest_ms"]} ms, '
            f'{gap["gaps"]} gaps'
        )


def _loss(loss):
    yield f'agent of {loss["host"]} killed; keys seen there: {loss["keys"]}'
    if loss['served_again']:
        yield f'  all of them served again after {loss["after_ms"]} ms'
    else:
        yield (
            f'  {loss["missing"]} of them NOT served again within '
            f'{loss["after_ms"]} ms'
        )
