"""Plans on their way to the store, and to agents once they are written."""

from laburnumlatch.mesh import members
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges


def loses_keys(agent, write, host_id):
    """Tell whether a host would lose keys by a write without its release.

    `write` is a `leaserows.PlanWrite`. All renewals ask this while it is under
    way, so plans are compared once.
    """
    known = agent.plan_of(write.plan.service)
    if known is None:
        return False
    if write.compared_version != known.version:
        write.compared_version = known.version
        write.losing_hosts = losing_hosts(known, write.plan)
    return host_id in write.losing_hosts


def losing_hosts(known, plan):
    """Return the hosts that lose keys of `known` by `plan` unreleased."""
    return frozenset(
        piece.host_id
        for piece, new in ranges.overlapping(known.pieces, plan.pieces)
        if piece.host_id not in {new.host_id, new.former}
    )


def tell_all(agent, known, plan, row_version, now):
    """Tell all agents of a plan that has taken the place of `known`.

    A watch of each would cost a call; whole plans fill the links of hosts.
    """
    for lease_holder in agent.lease_holders:
        lease_holder.plan_sent_at = now
    change = None if known is None else planchanges.difference(known, plan)
    for host in members.live_hosts(agent):
        if host.host_id == agent.host_id:
            continue
        address = host.record.address
        if change is None:
            tell(agent, host.host_id, address, plan, row_version)
        else:
            agent.outbox.post(
                planmsg.SendPlanChange(
                    host.host_id, address, change, row_version
                )
            )


def tell(agent, host_id, address, plan, row_version):
    """Send a whole plan to the agent of one host."""
    agent.outbox.post(planmsg.SendPlan(host_id, address, plan, row_version))
