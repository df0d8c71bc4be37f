"""Handovers of pieces, when agents restart or many pieces move at once."""

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges

# Until the grants of a former process have ended, and those of the next one
# have begun.
RECOVERY_MS = leaserows.latest_end_ms() + 2000
MAX_STEPS = 3000


def moving_pieces(fleet):
    """Return the pieces of the newest plan that are being handed over."""
    plan = max(
        (agent.plan_of(fleetconfig.SERVICE) for agent in fleet.agents.values()),
        key=lambda one: one.version,
    )
    return [piece for piece in plan.pieces if piece.former]


def acknowledged_pieces(fleet, former):
    """Return the pieces whose new owners have acknowledged the handover."""
    handovers = fleet.agents[former].handovers
    return [
        piece
        for piece in moving_pieces(fleet)
        for key in ((piece.start, piece.end, piece.fence),)
        if handovers.get(key) and handovers.get(key).is_acknowledged
    ]


def drained_to_new_owner():
    """Return a deployment and the new owner of a piece that is handed over.

    It has just acknowledged the handover. The planner, which owns no keys, is
    paused.
    """
    fleet = fleetsim.deployment()
    (first_planner,) = fleet.planner_hosts()
    fleet.stop(first_planner)
    fleet.run(fleetsim.SETTLE_MS)
    fleet.start(first_planner)
    fleet.run(fleetsim.SETTLE_MS)
    (planner_host,) = fleet.planner_hosts()
    assert fleet.backends[planner_host].service != fleetconfig.SERVICE
    fleet.backends['b2'].is_draining = True
    for _ in range(MAX_STEPS):
        fleet.run(1)
        pieces = acknowledged_pieces(fleet, 'b2')
        if pieces:
            fleet.paused.add(planner_host)
            return fleet, planner_host, pieces[0].host_id
    raise AssertionError('nothing was handed over')


class TestRestartedOwner:
    """A new owner whose agent restarts behind its acknowledgement."""

    def test_keys_are_held_again_soon(self):
        """Guards against keys that nobody serves for half a minute.

        The agent had forgotten the handover, and the former owner, to which it
        was acknowledged, did not send it again.
        """
        fleet, planner_host, owner = drained_to_new_owner()
        fleet.stop(owner)
        fleet.run(200)
        fleet.start(owner)
        fleet.paused.discard(planner_host)
        fleet.run(RECOVERY_MS)
        assert fleet.owned_key_count() == ranges.KEY_COUNT
        assert not fleet.violations
