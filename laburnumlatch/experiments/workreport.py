"""The figures of a workload run, as a plain dict and as text."""

import json
import types

import attrs
import logbook

from laburnumlatch.core import errors
from laburnumlatch.experiments import measures
from laburnumlatch.experiments import workload
from laburnumlatch.experiments import workrun
from laburnumlatch.operators import publish
from laburnumlatch.slots import choice

DIGITS = 3

# The baseline of every measurement.
NAIVE = types.MappingProxyType({
    'policy': choice.RandomChoice,
    'plan': 'modulo',
    'retry': 'always',
})


def scenario(name, paths=(), fault='none', **changes):
    """Return the `workload.Scenario` of a deployment by name.

    `paths` are operators' files, by default those in `deploy/<name>`.
    """
    deployment = workload.DEPLOYMENTS.get(name)
    if deployment is None:
        expected = ', '.join(workload.DEPLOYMENTS)
        raise errors.InvalidInputError(
            f'deployment {name!r}: expected one of {expected}',
        )
    entries = publish.collect(paths or [f'deploy/{name}'])
    made = workload.Scenario(
        deployment,
        tuple(entry.service for entry in entries),
        **changes,
    )
    return attrs.evolve(made, faults=workload.faults_of(fault, made))


def measure(chosen, report=None):
    """Run a scenario and return its figures by service.

    `report` is called with the share that is done, from 0 to 1.
    """
    with logbook.NullHandler().applicationbound():
        run = workrun.Run(chosen).finish(report)
    return {
        service.name: _service_figures(run, service)
        for service in chosen.services
    }


def as_json(figures):
    """Return the figures for programs."""
    return json.dumps(figures, sort_keys=True)


def as_text(figures):
    """Return the figures for people, one line each."""
    lines = []
    for service_name, found in figures.items():
        lines.append(f'{service_name}:')
        lines.extend(f'  {name}: {shown}' for name, shown in found.items())
    return '\n'.join(lines)


def _service_figures(run, service):
    chosen = run.scenario
    host_ids = workload.host_ids(chosen, service.name)
    speeds = dict(
        zip(host_ids, chosen.deployment.speeds[service.name], strict=True)
    )
    busy_ms = {host_id: run.servers[host_id].busy_ms for host_id in host_ids}
    spread = measures.imbalance(busy_ms, speeds)
    results = [ended for ended in run.results if ended.service == service.name]
    return {
        'imbalance': round(spread.variation, DIGITS),
        'max_over_mean': round(spread.max_over_mean, DIGITS),
        'churn': measures.churn(run.plans[service.name]),
        'unavailable_ms': measures.unavailable_ms(results),
        'useful_per_s': _useful_per_s(results, chosen.duration_ms),
        'useful_share': {
            class_name: round(share, DIGITS)
            for class_name, share in measures.useful_share(results).items()
        },
        'latency_ms': measures.latency(results),
        'most_running': max(
            run.servers[host_id].most_running for host_id in host_ids
        ),
    }


def _useful_per_s(results, duration_ms):
    useful = sum(ended.is_useful for ended in results)
    return round(useful * workload.MS_PER_S / duration_ms, 1)
