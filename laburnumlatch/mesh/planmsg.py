"""Messages about plans of services divided by key.

`SendPlan` and `SendPlanChange` are requests of systems to the link to other
agents; `PlanTold` and `PlanChangeTold` are what a receiving agent gets.
"""

from laburnumlatch.core import records
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import ranges


@records.define(frozen=True)
class SendPlan:
    """Request to send a written plan to the agent of a host.

    `row_version` is the version of the plan's row in the store.
    """

    host_id: str
    address: str
    plan: ranges.Plan
    row_version: int


@records.define(frozen=True)
class SendPlanChange:
    """Request to send the difference from the previous plan to an agent.

    `row_version` is the version of the row of the plan that results.
    """

    host_id: str
    address: str
    change: planchanges.Change
    row_version: int


@records.define(frozen=True)
class PlanTold:
    """A plan received from the planner, written as `row_version` of its row."""

    plan: ranges.Plan
    row_version: int


@records.define(frozen=True)
class PlanChangeTold:
    """The difference from the previous plan, received from the planner.

    The planner has written the resulting plan as `row_version` of its row.
    """

    change: planchanges.Change
    row_version: int
