"""State of a deployment for `status` and `explain`."""

import attrs

from laburnumlatch.core import wire
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import role
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.operators import configuration


@attrs.define(frozen=True)
class State:
    """What an agent knows, or what the rows of the store say.

    An agent knows no operators' entries: it reads only what is in force.
    """

    in_force: routes.Configuration | None = None
    entries: tuple[configuration.Entry, ...] = ()
    plans: tuple[ranges.Plan, ...] = ()
    hosts: tuple[rows.HostRecord, ...] = ()
    planner: str = ''


def from_agent(agent):
    """Return the `State` that an agent's tables hold."""
    return State(
        in_force=agent.configuration,
        plans=tuple(row.plan for row in agent.plans),
        hosts=tuple(host.record for host in agent.hosts),
        planner=agent.role.holder,
    )


async def from_store(store, form):
    """Return the `State` in a `store.Store`.

    `form` is the `configcodec.ConfigurationCodec` of the row that agents read.
    """
    planner = await _rows(store, role.TABLE, leaserows.RoleRecord)
    stated = await _rows(
        store, configuration.TABLE, configuration.ServiceEntries
    )
    return State(
        in_force=await _in_force(store, form),
        entries=tuple(entry for row in stated for entry in row.entries),
        plans=await _rows(store, members.PLAN_PREFIX, ranges.Plan),
        hosts=await _rows(store, members.HOST_PREFIX, rows.HostRecord),
        planner=planner[0].holder if planner else '',
    )


async def _in_force(store, form):
    table = form.key.partition('/')[0]
    for row in (await store.read(f'{table}/')).rows:
        if row.key == form.key:
            return form.decode(row.body)
    return None


async def _rows(store, prefix, kind):
    """Return the rows under a prefix as `kind`, without the head row."""
    changes = await store.read(prefix)
    return tuple(
        wire.unpack(row.body, kind)
        for row in changes.rows
        if row.key != configuration.HEAD_KEY
    )
