"""A backend server that leaves while reads at it get no response."""

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings
from tests import test_mesh_late_input

DRAIN_MS = settings.Bounds().drain_ms
WORK_MS = 90


class TestSilentReads:
    """Reads whose connections became silent before the server leaves."""

    def test_none_is_retried_after_the_drain_time(self):
        """Guards against a retry that reaches a server which has left.

        All slots are taken by reads that get no response, which is the case
        in which a read is retried on a new connection.
        """
        fleet = fleetsim.deployment(others=1)
        backend = fleet.backends['m0']
        backend.work_ms = WORK_MS
        for _ in range(40):
            fleet.call('m0', '/')
            fleet.run(WORK_MS)
        backend.is_draining = True
        agent = fleet.agents['m0']
        while agent.backend.closing_at is None:
            fleet.run(1)
        leaves_at = fleet.now + DRAIN_MS
        fleet.run(agent.backend.closing_at - fleet.now - 5)
        backend.silent_connections = agent.backend.slots
        for number in range(agent.backend.slots):
            # The sender has not learned yet that the server leaves.
            forward = test_mesh_late_input.forward(routes.Kind.SAFE, number)
            fleet.post(
                'm0', messages.ForwardArrived(90_000 + number, 'b0', forward)
            )
        fleet.run(2000)
        started_late = [at for at, _id in backend.started if at > leaves_at]
        assert not started_late
