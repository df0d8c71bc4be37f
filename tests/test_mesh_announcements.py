"""What a backend server tells its agent, in the order in which it speaks."""

import attrs

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import ranges


def taken(spoken):
    """Return the backend server that an agent knows after one tick."""
    fleet = fleetsim.deployment()
    fleet.backends['m0'].is_up = False
    for message in spoken(fleet.backends['m0'].announce()):
        fleet.post('m0', message)
    fleet.run(1)
    return fleet.agents['m0'].backend


def next_life(told):
    """Return the announcement of a later life under the same identity."""
    life = ranges.Life(told.life.server_id, told.life.born + 5000)
    return attrs.evolve(told, life=life, sequence=1)


def left(told):
    """Return the deregistration of a life, a second after its start."""
    return backendmsg.BackendLeft(
        99, told.life.server_id, told.life.born + 1000
    )


class TestOneTick:
    """Announcements and deregistrations that are read in the same tick."""

    def test_new_life_after_the_end_of_the_old_one(self):
        """Guards against a new server that is taken for a leaving one."""
        backend = taken(lambda told: [left(told), next_life(told)])
        assert backend.closing_at is None

    def test_end_after_an_announcement(self):
        """Guards against work for a server that has left."""
        backend = taken(lambda told: [next_life(told), left(told)])
        assert backend.closing_at is not None


def restarted_beside_leaving():
    """Return a deployment and the announcement of a server that has left.

    Its agent had just started, and had not heard of the server before.
    """
    fleet = fleetsim.deployment()
    backend = fleet.backends['m0']
    backend.is_up = False
    fleet.stop('m0')
    fleet.start('m0')
    fleet.run(200)
    told = backend.announce()
    fleet.post('m0', left(told))
    fleet.run(200)
    return fleet, told


class TestRestartedAgent:
    """An agent that has just started beside a server that lives on."""

    def test_server_that_left_before_it_was_announced_gets_no_work(self):
        """Guards against a confirmed leaving that the agent forgets."""
        fleet, told = restarted_beside_leaving()
        fleet.post('m0', attrs.evolve(told, sequence=told.sequence + 1))
        fleet.run(1)
        assert fleet.agents['m0'].backend.closing_at is not None

    def test_later_life_under_the_same_identity_gets_work(self):
        """Guards against a new server that is taken for the one that left."""
        fleet, told = restarted_beside_leaving()
        fleet.post('m0', next_life(told))
        fleet.run(1)
        assert fleet.agents['m0'].backend.closing_at is None

    def test_leaving_that_an_earlier_process_confirmed_goes_on(self):
        """Guards against a drain time that starts anew with each process."""
        fleet = fleetsim.deployment()
        backend = fleet.backends['m0']
        fleet.post('m0', left(backend.announce()))
        fleet.run(1000)
        fleet.stop('m0')
        fleet.start('m0')
        fleet.run(1500)
        known = fleet.agents['m0'].backend
        assert known.closing_at <= fleet.now
        assert fleet.agents['b0'].hosts.get('m0').record.state == 'draining'
