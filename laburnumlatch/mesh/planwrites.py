"""Helpers of the planner for writing plans and sending them to agents.

They find the hosts that a pending write takes keys from, and send a plan to
one agent or to all.
"""

from laburnumlatch.mesh import members
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges


def loses_keys(agent, write, host_id):
    """Return whether a write takes keys from a host without a handover.

    `write` is a `leaserows.PlanWrite`. This is called for each lease renewal
    while the write is pending, so the result of comparing the two plans is
    cached in `write`.
    """
    current = agent.plan_of(write.plan.service)
    if current is None:
        return False
    if write.compared_version != current.version:
        write.compared_version = current.version
        write.losing_hosts = losing_hosts(current, write.plan)
    return host_id in write.losing_hosts


def losing_hosts(current, plan):
    """Return the hosts from which `plan` takes keys without their release.

    These own a key range in plan `current` and are neither the owner nor the
    former owner of an overlapping piece of `plan`.
    """
    return frozenset(
        old_piece.host_id
        for old_piece, new_piece in ranges.overlapping(
            current.pieces, plan.pieces
        )
        if old_piece.host_id not in {new_piece.host_id, new_piece.former}
    )


def send_to_all(agent, previous, plan, row_version, now):
    """Send a plan that has replaced `previous` to the agents of all hosts.

    Agents do not watch the store for plans, since each watch would cost a
    call. If there is a previous plan, only the difference is sent: whole plans
    would saturate the links of the hosts.
    """
    for lease_holder in agent.lease_holders:
        lease_holder.plan_sent_at = now
    change = (
        None if previous is None else planchanges.difference(previous, plan)
    )
    for host in members.live_hosts(agent):
        if host.host_id == agent.host_id:
            continue
        address = host.record.address
        if change is None:
            send_plan(agent, host.host_id, address, plan, row_version)
        else:
            agent.outbox.post(
                planmsg.SendPlanChange(
                    host.host_id, address, change, row_version
                )
            )


def send_plan(agent, host_id, address, plan, row_version):
    """Send a whole plan to the agent of one host."""
    agent.outbox.post(planmsg.SendPlan(host_id, address, plan, row_version))
