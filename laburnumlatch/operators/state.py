"""Reads the state of a deployment for `status` and `explain`."""

import attrs

from laburnumlatch.core import wire
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh.evacuation import progress
from laburnumlatch.operators import configuration


@attrs.define(frozen=True)
class State:
    """Configuration, plans and hosts as seen by an agent or in the store.

    `planner` is the host ID of the planner role's holder, or empty. `entries`
    is empty for an agent, which reads only the configuration in force.
    `evacuated` are the failure domains that the operator has evacuated, and
    `requests_left` is how many requests have yet to leave the agent's host for
    that reason, None for the store. `plan_faults` are the steps of planning
    that fail at the planner, empty for the store and for other agents.
    """

    in_force: routes.Configuration | None = None
    entries: tuple[configuration.Entry, ...] = ()
    plans: tuple[ranges.Plan, ...] = ()
    hosts: tuple[rows.HostRecord, ...] = ()
    planner: str = ''
    evacuated: tuple[str, ...] = ()
    requests_left: int | None = None
    plan_faults: tuple[leaserows.PlanFault, ...] = ()


def from_agent(agent):
    """Return the `State` in the tables of an `agentstate.AgentState`."""
    return State(
        in_force=agent.configuration,
        plans=tuple(row.plan for row in agent.plans),
        hosts=tuple(host.record for host in agent.hosts),
        planner=agent.role.holder,
        evacuated=tuple(progress.effective_domains(agent)),
        requests_left=progress.remaining(agent).requests,
        plan_faults=tuple(agent.plan_faults),
    )


async def from_store(store, codec):
    """Return the `State` read from a `store.Store`.

    `codec` is the `configcodec.ConfigurationCodec` of the row that agents
    read. The rows are not read at one moment.
    """
    role_rows = await _unpacked_rows(store, role.TABLE, leaserows.RoleRecord)
    services = await _unpacked_rows(
        store, configuration.TABLE, configuration.ServiceEntries
    )
    table = codec.key.partition('/')[0]
    operator_rows = (await store.read(f'{table}/')).rows
    return State(
        in_force=_in_force(operator_rows, codec),
        entries=tuple(
            entry for service in services for entry in service.entries
        ),
        plans=await _unpacked_rows(store, members.PLAN_PREFIX, ranges.Plan),
        hosts=await _unpacked_rows(store, members.HOST_PREFIX, rows.HostRecord),
        planner=role_rows[0].holder if role_rows else '',
        evacuated=tuple(
            row.key.removeprefix(codec.evacuation_prefix)
            for row in operator_rows
            if row.key.startswith(codec.evacuation_prefix)
        ),
    )


def _in_force(operator_rows, codec):
    """Return the configuration that agents read, or None."""
    for row in operator_rows:
        if row.key == codec.key:
            return codec.decode(row.body)
    return None


async def _unpacked_rows(store, prefix, row_class):
    """Return the rows under a prefix as `row_class`, except the head row."""
    changes = await store.read(prefix)
    return tuple(
        wire.unpack(row.body, row_class)
        for row in changes.rows
        if row.key != configuration.HEAD_KEY
    )
