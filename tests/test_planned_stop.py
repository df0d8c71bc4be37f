"""A planned stop of one agent while requests take long, without faults."""

import attrs
import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import processmsg

WORK_MS = 2600
PATIENCE_MS = 3400
GAP_MS = 150
GRACE_MS = 6000
# Callers check the readiness of the agent once a second, and leave it after two
# failed checks.
CALLERS_LEAVE_MS = 2500


def slow_deployment():
    """Return a deployment with slow servers and routes without a timeout."""
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


def calls_during_stop(fleet, stopping, receiver, path, until_ms):
    """Stop the agent of host `stopping` while calls are sent to `receiver`.

    Calls are sent for `until_ms` after the signal. Returns their numbers.
    """
    fleet.post(stopping, processmsg.Stopping())
    numbers = []
    for _ in range(until_ms // GAP_MS):
        numbers.append(
            fleet.call(receiver, path, key=9, time_left_ms=PATIENCE_MS)
        )
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
    """Requests that may take longer than the grace time of the stop."""

    @pytest.mark.parametrize('path', ['/', '/look/', '/book/'])
    @pytest.mark.parametrize('stopping', ['b0', 'b1', 'm0'])
    def test_forwards_are_not_cut_off(self, stopping, path):
        """Guards against forwards that still run when the process ends.

        Another agent sends requests to the stopping one until its end.
        """
        fleet = slow_deployment()
        calls_during_stop(fleet, stopping, 'b2', path, GRACE_MS)
        assert not fleet.interrupted_requests

    @pytest.mark.parametrize('path', ['/', '/look/', '/book/'])
    @pytest.mark.parametrize('stopping', ['b0', 'm0'])
    def test_callers_of_the_agent_are_answered(self, stopping, path):
        """Guards against requests that are accepted and get no outcome.

        A request that cannot end in time must be refused with a time to
        retry after, and must not have run.
        """
        fleet = slow_deployment()
        numbers = calls_during_stop(
            fleet, stopping, stopping, path, CALLERS_LEAVE_MS
        )
        assert not fleet.interrupted_requests
        for number in numbers:
            outcome = fleet.outcomes[number]
            assert outcome is not None
            if getattr(outcome, 'verdict', None) == messages.Verdict.NOT_RUN:
                assert not runs_of(fleet, number)
                assert outcome.retry_after_ms

    def test_requests_that_end_in_time_are_served(self):
        """Guards against a stop that refuses all callers at once."""
        fleet = slow_deployment()
        numbers = calls_during_stop(fleet, 'm0', 'm0', '/', CALLERS_LEAVE_MS)
        served = [
            number
            for number in numbers
            if isinstance(fleet.outcomes[number], messages.Deliver)
        ]
        assert len(served) >= len(numbers) / 2
