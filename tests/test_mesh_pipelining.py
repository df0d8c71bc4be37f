"""Requests of one connection: which run side by side, and which wait."""

import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import processmsg

WORK_MS = 200
CONNECTION = 7
LOOK = '/look/'
BOOK = '/book/'
KEY = 9


@pytest.fixture
def fleet():
    """Return a deployment with servers that take 200 ms for a request."""
    deployed = fleetsim.deployment(divided=2, others=1)
    for backend in deployed.backends.values():
        backend.work_ms = WORK_MS
    return deployed


def send(fleet, *route_paths, time_left_ms=1500):
    """Send requests on one connection in one tick; return their numbers."""
    return [
        fleet.call(
            'm0',
            path,
            key=KEY,
            time_left_ms=time_left_ms,
            connection=CONNECTION,
        )
        for path in route_paths
    ]


def starts_of(fleet, number):
    """Return when a request began at backend servers, in ms."""
    return [
        at
        for backend in fleet.backends.values()
        for at, request_id in backend.started
        if request_id == f'r{number}'
    ]


class TestOrderOfEffects:
    """Requests have the effect that they would have one after another."""

    def test_safe_requests_run_side_by_side(self, fleet):
        """Guards against lookups that wait for each other."""
        numbers = send(fleet, LOOK, LOOK, LOOK)
        fleet.run(WORK_MS // 2)
        assert all(len(starts_of(fleet, number)) == 1 for number in numbers)

    def test_write_waits_for_an_open_lookup(self, fleet):
        """Guards against a write that runs behind a lost response.

        If the connection closes at the lookup, the caller sends the write
        again, as one that was not read.
        """
        lookup, write = send(fleet, LOOK, BOOK)
        fleet.run(WORK_MS // 2)
        assert not starts_of(fleet, write)
        fleet.run(2 * WORK_MS)
        assert starts_of(fleet, write)[0] >= fleet.ended_at[lookup]
        assert isinstance(fleet.outcomes[write], messages.Deliver)

    def test_lookup_waits_for_an_open_write(self, fleet):
        """Guards against a lookup that does not see the write before it."""
        write, lookup = send(fleet, BOOK, LOOK)
        fleet.run(3 * WORK_MS)
        assert starts_of(fleet, lookup)[0] >= fleet.ended_at[write]

    def test_other_connections_do_not_wait(self, fleet):
        """Guards against one caller who holds up the others."""
        send(fleet, LOOK, BOOK)
        other = fleet.call('m0', BOOK, key=KEY, connection=CONNECTION + 1)
        fleet.run(WORK_MS // 2)
        assert starts_of(fleet, other)


class TestHeldRequests:
    """Ends of a request that waits for an earlier one of its connection."""

    def test_caller_who_leaves_gets_no_work(self, fleet):
        """Guards against a held write that starts for nobody."""
        numbers = send(fleet, LOOK, BOOK)
        fleet.run(WORK_MS // 2)
        for number in numbers:
            fleet.post('m0', messages.CallerLeft(number))
        fleet.run(3 * WORK_MS)
        assert not starts_of(fleet, numbers[1])
        agent = fleet.agents['m0']
        assert not len(agent.held)
        assert not len(agent.connections)
        assert not len(agent.requests)

    def test_refused_at_its_deadline_as_not_run(self, fleet):
        """Guards against a write that runs after it was refused."""
        lookup = send(fleet, LOOK)[0]
        write = send(fleet, BOOK, time_left_ms=WORK_MS // 2)[0]
        fleet.run(3 * WORK_MS)
        assert isinstance(fleet.outcomes[lookup], messages.Deliver)
        assert fleet.outcomes[write].verdict == messages.Verdict.NOT_RUN
        assert not starts_of(fleet, write)

    def test_served_or_refused_at_a_planned_stop(self, fleet):
        """Guards against a held request without an outcome at the stop."""
        numbers = send(fleet, LOOK, BOOK, LOOK)
        fleet.post('m0', processmsg.Stopping())
        fleet.run(fleetsim.SETTLE_MS)
        assert all(
            isinstance(fleet.outcomes[number], messages.Deliver)
            for number in numbers
        )
        assert all(len(starts_of(fleet, number)) == 1 for number in numbers)
