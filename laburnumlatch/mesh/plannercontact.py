"""Whether an agent is in contact with the planner."""

# An agent counts the planner as silent if it has received nothing from it for
# this time.
PLANNER_SILENCE_MS = 1500


def follows_planner(agent, now):
    """Return whether another agent's planner responds and has the store."""
    lease = agent.lease
    is_followed = agent.role.holder and not agent.role.is_held
    return bool(
        is_followed
        and lease.planner_has_store
        and now < lease.planner_contact_at + PLANNER_SILENCE_MS
    )
