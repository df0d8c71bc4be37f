"""When the grants at a backend server have certainly ended."""

import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import grantends
from laburnumlatch.mesh import leaserows

TICKET = 70_001
HOLD_MS = 3800
SHORT_HOLD_MS = 400


def fleet_with_grant(state):
    """Return a deployment, an agent, and its only holding.

    A grant of the holding is in flight to the backend server, which has just
    been found to be down. No earlier grant lasts.
    """
    fleet = fleetsim.deployment()
    agent = fleet.agents['b1']
    (holding,) = agent.holdings
    holding.state = state
    holding.ticket = TICKET
    holding.sent_at = fleet.now
    holding.hold_ms = HOLD_MS
    holding.granted_until = 0
    agent.backend.failed_since = fleet.now
    agent.backend.resume_at = fleet.now + 10 * HOLD_MS
    return fleet, agent, holding


class TestEndOfGrants:
    """The end of grants that a host reports with its renewals.

    The planner may give the keys away from then on.
    """

    @pytest.mark.parametrize(
        'state',
        [leaserows.HoldingState.GRANTING, leaserows.HoldingState.HELD],
    )
    def test_grant_in_flight_counts(self, state):
        """Guards against a grant that the server takes after the report.

        It may arrive at any time until its call is given up.
        """
        fleet, agent, _holding = fleet_with_grant(state)
        sent_at = fleet.now
        while fleet.now < sent_at + backendmsg.GRANT_TIMEOUT_MS:
            reported = grantends.grants_end(agent, fleet.now)
            assert reported >= sent_at + backendmsg.GRANT_TIMEOUT_MS + HOLD_MS
            fleet.run(50)

    def test_later_shorter_grant_does_not_shorten_the_end(self):
        """Guards against forgetting an earlier grant without response."""
        fleet, agent, holding = fleet_with_grant(leaserows.HoldingState.HELD)
        fleet.post('b1', backendmsg.GrantAnswered(TICKET, None))
        fleet.run(1)
        lost_at = fleet.now
        holding.ticket = TICKET + 1
        holding.sent_at = lost_at
        holding.hold_ms = SHORT_HOLD_MS
        fleet.post('b1', backendmsg.GrantAnswered(TICKET + 1, None))
        fleet.run(1)
        assert grantends.grants_end(agent, fleet.now) >= lost_at + HOLD_MS

    def test_grant_in_flight_to_a_former_life_counts(self):
        """Guards against a grant that the next run of the server takes.

        It was sent before that run announced itself, and must have ended
        before the keys get another owner.
        """
        fleet, agent, holding = fleet_with_grant(leaserows.HoldingState.HELD)
        sent_at = fleet.now
        fleet.backends['b1'].restart()
        fleet.run(fleetconfig.ANNOUNCEMENT_INTERVAL_MS)
        assert holding.is_stale
        reported = grantends.grants_end(agent, fleet.now)
        assert reported >= sent_at + backendmsg.GRANT_TIMEOUT_MS + HOLD_MS
