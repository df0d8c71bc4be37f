"""Errors of the planner's own code, each of which costs one step of planning.

A plan is computed first and written afterwards, so an error while it is
computed changes nothing: the plan in force stays, leases are renewed, and the
other services are planned.
"""

import heapq

from laburnumlatch.core import logs
from laburnumlatch.core import tracebacks
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import leaserows

PLAN_STEP = 'plan'
# A step that has raised is tried again after this time, twice as long after
# each further error, unless what the hosts report has changed.
RETRY_MS = 400
MAX_RETRY_MS = 10_000
MAX_DOUBLINGS = 8
# A planner that can plan no service for this time gives the role up.
GIVE_UP_MS = 10_000
# Hosts, and busy buckets of keys, that a log line names.
MAX_LOGGED_ENTRIES = 8

_log = logs.logger('planner')


def attempt(agent, step, entity, compute, fallback=None):
    """Return what `compute` returns, or `fallback` if it raises.

    `step` names what is computed for `entity`, a service or a host. While an
    earlier error of it is not due to be tried again, that is `fallback`.
    """
    fault = agent.plan_faults.get((entity, step))
    if fault is not None and not _is_due(agent, fault):
        return fallback
    try:
        computed = compute()
    except Exception as error:
        _record(agent, step, entity, error)
        return fallback
    if fault is not None:
        agent.plan_faults.pop((entity, step))
        _log.info('plan-step-recovered', step=step, entity=entity)
    return computed


def can_plan_nothing(agent, services):
    """Return whether planning has failed for long, for each of `services`."""
    faults = [agent.plan_faults.get((name, PLAN_STEP)) for name in services]
    return bool(faults) and all(
        fault is not None and agent.now >= fault.since + GIVE_UP_MS
        for fault in faults
    )


def _is_due(agent, fault):
    if agent.now >= fault.retry_at:
        return True
    return fault.figures != _reported_figures(agent, fault.entity)


def _record(agent, step, entity, error):
    """Count an error, and log it unless it is one more of the same."""
    key = (entity, step)
    fault = agent.plan_faults.get(key)
    if fault is None:
        fault = agent.plan_faults.put(
            key, leaserows.PlanFault(entity, step, agent.now)
        )
    doublings = min(fault.count, MAX_DOUBLINGS)
    retry_ms = min(MAX_RETRY_MS, RETRY_MS * 2**doublings)
    described = tracebacks.describe(error)
    is_new = described['place'] != fault.place
    fault.count += 1
    fault.place = described['place']
    fault.detail = described['detail']
    fault.retry_at = agent.now + retry_ms
    fault.figures = _reported_figures(agent, entity)
    counting.count(agent, 'plan_faults', step=step)
    if is_new or _is_power_of_two(fault.count):
        _log.error(
            'plan-step-failed',
            step=step,
            entity=entity,
            **described,
            failures=fault.count,
            retry_ms=retry_ms,
            **_inputs(agent, entity, fault.figures),
        )


def _is_power_of_two(number):
    """Return whether to log a repeated error: ever less often."""
    return not number & (number - 1)


def _reported_figures(agent, entity):
    """Return what hosts report of their capacity, for a service or one host."""
    return tuple(
        leaserows.ReportedFigures(
            holder.host_id,
            holder.life,
            holder.slots,
            holder.slowness,
            holder.is_leaving,
            _mean_ms(agent, holder),
        )
        for holder in agent.lease_holders
        if entity in {holder.service, holder.host_id}
    )


def _mean_ms(agent, holder):
    loads = agent.bucket_loads.get(holder.service)
    return None if loads is None else loads.mean_ms.get(holder.host_id)


def _inputs(agent, entity, figures):
    """Return the fields of a log line with what a step was computed from."""
    loads = agent.bucket_loads.get(entity)
    counts = {} if loads is None else loads.counts
    busiest = heapq.nlargest(MAX_LOGGED_ENTRIES, counts, key=counts.get)
    return {
        'hosts': ' '.join(
            f'{host.host_id}:slots={host.slots},slowness={host.slowness},'
            f'mean_ms={host.mean_ms}'
            for host in figures[:MAX_LOGGED_ENTRIES]
        ),
        'buckets': ' '.join(
            f'{bucket}:{counts[bucket]:.1f}' for bucket in busiest
        ),
    }
