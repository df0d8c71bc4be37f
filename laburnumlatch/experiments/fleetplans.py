"""Simulated transport of plans and plan changes between agents."""

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.mesh import planmsg


class PlanTransport:
    """Carries plans from the planner to the agents; some may be lost."""

    def __init__(self, fleet):
        """Create the transport for the agents of a `fleetsim.Fleet`."""
        self._fleet = fleet

    def process_outbox(self, host_id, outbox):
        """Schedule the plans and plan changes in an agent's outbox."""
        for plan in outbox.take(planmsg.SendPlan):
            told = planmsg.PlanTold(plan.plan, plan.row_version)
            self._send(host_id, plan, told)
        for change in outbox.take(planmsg.SendPlanChange):
            told = planmsg.PlanChangeTold(change.change, change.row_version)
            self._send(host_id, change, told)

    def _send(self, host_id, command, message):
        fleet = self._fleet
        fleet.sent_plans.append(command)
        if fleet.plans_to_lose:
            fleet.plans_to_lose -= 1
        elif not fleet.is_partitioned(host_id, command.host_id):
            fleet.schedule(
                fleetconfig.NETWORK_DELAY_MS,
                fleet.post,
                command.host_id,
                message,
            )
