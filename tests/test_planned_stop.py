"""A planned stop in calm, while work takes long."""

import attrs
import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages

WORK_MS = 2600
PATIENCE_MS = 3400
GAP_MS = 150
GRACE_MS = 6000
# Callers ask whether the agent is ready once a second, and leave after two.
CALLERS_LEAVE_MS = 2500


def slow_deployment():
    """Return a deployment whose work takes long and whose routes wait."""
    routes = tuple(
        attrs.evolve(route, timeout_ms=None)
        for route in fleetconfig.CONFIGURATION.routes
    )
    hosts = [(f'b{number}', 'bokun', 'd0') for number in range(3)]
    hosts += [(f'm{number}', 'moti', 'd0') for number in range(2)]
    fleet = fleetsim.Fleet(
        hosts,
        configuration=attrs.evolve(fleetconfig.CONFIGURATION, routes=routes),
    )
    fleet.run(fleetsim.SETTLE_MS)
    for backend in fleet.backends.values():
        backend.work_ms = WORK_MS
    return fleet


def calls_during_stop(fleet, stopping, asked, path, until_ms):
    """Stop an agent; return the requests sent to the agent `asked`."""
    fleet.post(stopping, messages.Stopping())
    numbers = []
    for _ in range(until_ms // GAP_MS):
        numbers.append(fleet.call(asked, path, key=9, time_left_ms=PATIENCE_MS))
        fleet.run(GAP_MS)
    fleet.run(GRACE_MS + PATIENCE_MS)
    return numbers


def runs_of(fleet, number):
    """Return how often a request began at a backend server."""
    return sum(
        request_id == f'r{number}'
        for backend in fleet.backends.values()
        for _at, request_id in backend.started
    )


class TestLongWork:
    """Work that may last beyond the grace time."""

    @pytest.mark.parametrize('path', ['/', '/look/', '/book/'])
    @pytest.mark.parametrize('stopping', ['b0', 'b1', 'm0'])
    def test_forwards_are_not_cut_off(self, stopping, path):
        """Guards against forwards that run when the process ends."""
        fleet = slow_deployment()
        calls_during_stop(fleet, stopping, 'b2', path, GRACE_MS)
        assert not fleet.cut_off

    @pytest.mark.parametrize('path', ['/', '/look/', '/book/'])
    @pytest.mark.parametrize('stopping', ['b0', 'm0'])
    def test_callers_of_the_agent_are_answered(self, stopping, path):
        """Guards against requests that are read and never answered."""
        fleet = slow_deployment()
        numbers = calls_during_stop(
            fleet, stopping, stopping, path, CALLERS_LEAVE_MS
        )
        assert not fleet.cut_off
        for number in numbers:
            told = fleet.outcomes[number]
            assert told is not None
            if getattr(told, 'verdict', None) == messages.Verdict.NOT_RUN:
                assert not runs_of(fleet, number)
                assert told.retry_after_ms

    def test_what_can_be_done_in_time_is_served(self):
        """Guards against a stop that turns everybody away at once."""
        fleet = slow_deployment()
        numbers = calls_during_stop(fleet, 'm0', 'm0', '/', CALLERS_LEAVE_MS)
        served = [
            number
            for number in numbers
            if isinstance(fleet.outcomes[number], messages.Deliver)
        ]
        assert len(served) >= len(numbers) / 2
