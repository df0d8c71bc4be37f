"""Figures of a run of the demo, and its report as text."""

import collections
import itertools

from standins import callers


def outcomes(records):
    """Return {route: {outcome with status: count}} of `callers.Record`s."""
    counts_by_route = collections.defaultdict(collections.Counter)
    for record in records:
        label = str(record.outcome)
        if record.outcome != callers.Outcome.ANSWERED and record.status:
            label = f'{label} {record.status}'
        counts_by_route[record.workload.name][label] += 1
    return {
        name: dict(counts) for name, counts in sorted(counts_by_route.items())
    }


def imbalance(specs, runs):
    """Return {service: busy time of its busiest server / mean busy time}.

    `specs` are the `deployment.HostSpec`s, `runs` the number of executed
    requests by host ID. Busy time is that number times the work time of the
    server, because servers differ in speed.
    """
    busy_times_ms = collections.defaultdict(list)
    for spec in specs:
        busy_ms = runs.get(spec.host_id, 0) * spec.profile.work_ms
        busy_times_ms[spec.profile.service].append(busy_ms)
    return {
        service: round(max(times) * len(times) / max(1, sum(times)), 2)
        for service, times in busy_times_ms.items()
    }


def unavailable(records):
    """Return {route: {total and longest gap in ms, number of gaps}}.

    A gap of a key begins with the start of a request that was not answered,
    and ends with the next answered request of the same route and key that
    began later.
    """
    records_by_key = collections.defaultdict(list)
    for record in records:
        records_by_key[record.workload.name, record.key].append(record)
    gaps_ms = collections.defaultdict(list)
    for (route, _key), key_records in records_by_key.items():
        gaps_ms[route].extend(_gaps_ms(key_records))
    return {
        name: {
            'total_ms': round(sum(durations_ms)),
            'longest_ms': round(max(durations_ms, default=0)),
            'gaps': len(durations_ms),
        }
        for name, durations_ms in sorted(gaps_ms.items())
    }


def _gaps_ms(records):
    gap_start_ms = None
    for record in sorted(records, key=lambda one: one.ended_at_ms):
        if record.outcome != callers.Outcome.ANSWERED:
            gap_start_ms = (
                record.started_at_ms if gap_start_ms is None else gap_start_ms
            )
        elif gap_start_ms is not None and record.started_at_ms >= gap_start_ms:
            yield record.ended_at_ms - gap_start_ms
            gap_start_ms = None
    if gap_start_ms is not None:
        yield max(one.ended_at_ms for one in records) - gap_start_ms


def text(report):
    """Return a report of `demo.Demo.run` as text for people."""
    sections = (
        _plan_lines(report['plans']),
        _count_lines('outcomes', report['outcomes']),
        _loss_lines(report['loss']),
        [f'keys that two servers held at once: {report["shared_keys"]}'],
        _figure_lines(
            'load imbalance (busiest backend server / mean)',
            report['imbalance'],
        ),
        _unavailable_lines(report['unavailable']),
    )
    return '\n'.join(itertools.chain.from_iterable(sections))


def _plan_lines(plans):
    for plan in plans:
        owners = ', '.join(
            f'{host} {count}' for host, count in plan['owners'].items()
        )
        yield f'plan of {plan["service"]} version {plan["version"]}: {owners}'


def _count_lines(title, groups):
    yield f'{title}:'
    for group, counts in groups.items():
        listing = ', '.join(f'{name} {count}' for name, count in counts.items())
        yield f'  {group}: {listing}'


def _figure_lines(title, figures):
    yield f'{title}:'
    for name, figure in figures.items():
        yield f'  {name}: {figure}'


def _unavailable_lines(groups):
    yield 'unavailable time (sum over keys / longest gap):'
    for group, gap in groups.items():
        yield (
            f'  {group}: {gap["total_ms"]} ms / {gap["longest_ms"]} ms, '
            f'{gap["gaps"]} gaps'
        )


def _loss_lines(loss):
    yield f'agent of {loss["host"]} killed; keys seen there: {loss["keys"]}'
    if loss['served_again']:
        yield f'  all of them served again after {loss["after_ms"]} ms'
    else:
        yield (
            f'  {loss["missing"]} of them NOT served again within '
            f'{loss["after_ms"]} ms'
        )
