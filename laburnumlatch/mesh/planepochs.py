"""Plans from before the store was restored from a copy.

The store may have lost the newest plan, and a planner may know only the one
before it. So the first planner of an epoch takes no key from any owner until
all leases of earlier planners have ended. Until then owners go on under leases
that are provisional: they renew the grants that last, and get no others. An
owner that knows a newer plan sends it to the planner.

Then the planner confirms the newest plan that is known, as one of the new
epoch. All its fencing tokens are new: those of a lost plan are not known.
"""

import attrs

from laburnumlatch.core import versions
from laburnumlatch.mesh import role


def is_confirmed(plan, term):
    """Return whether a plan was written in the epoch of a planner's term."""
    return versions.epoch_of(plan.version) >= versions.epoch_of(term)


def are_leases_provisional(agent):
    """Return whether this planner's plans may be older than those in force."""
    return not all(
        is_confirmed(row.plan, agent.role.term) for row in agent.plans
    )


def must_wait_for_leases(agent, plan, now):
    """Return whether leases of unknown earlier planners may not have ended.

    `plan` is the newest known one of a service, None if there is none: then
    the store may have lost it, unless it was never restored.
    """
    planner_role = agent.role
    if plan is None:
        is_certain = planner_role.is_first or not agent.current_epoch
    else:
        is_certain = is_confirmed(plan, planner_role.term)
    return not is_certain and now < role.unknown_leases_end(planner_role)


def confirm(plan, term):
    """Return a plan as the first of the epoch of `term`, with new fences."""
    epoch = versions.epoch_of(term)
    last_fence = max(piece.fence for piece in plan.pieces)
    first_fence = versions.following(last_fence, epoch)
    return attrs.evolve(
        plan,
        version=versions.following(plan.version, epoch),
        pieces=tuple(
            attrs.evolve(piece, fence=fence)
            for fence, piece in enumerate(plan.pieces, first_fence)
        ),
    )
