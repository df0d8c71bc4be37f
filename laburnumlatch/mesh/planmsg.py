"""Messages about plans of divided services, between systems and peers."""

import attrs

from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import ranges


@attrs.define(frozen=True)
class SendPlan:
    """Tell the agent of a host of a plan that the planner has written."""

    host_id: str
    address: str
    plan: ranges.Plan
    row_version: int


@attrs.define(frozen=True)
class SendPlanChange:
    """Tell the agent of a host what a plan has new against the one before."""

    host_id: str
    address: str
    change: planchanges.Change
    row_version: int


@attrs.define(frozen=True)
class PlanTold:
    """The planner has written this plan, as `row_version` of its row."""

    plan: ranges.Plan
    row_version: int


@attrs.define(frozen=True)
class PlanChangeTold:
    """The planner has written the plan that this change leads to."""

    change: planchanges.Change
    row_version: int
