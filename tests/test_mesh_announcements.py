"""Announcements of a backend server, in the order in which they are sent."""

import attrs
import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ownserver
from laburnumlatch.mesh import ranges

KEY_COUNT = 65_536
# Until a life that has ended is given up, and its grants have ended.
SILENT_AND_LEASE_MS = ownserver.SILENT_MS + 8000


def backend_after(messages_from):
    """Return the backend server that an agent knows after one tick.

    `messages_from` takes an announcement of the agent's server and returns the
    messages that the agent gets in that tick.
    """
    fleet = fleetsim.deployment()
    fleet.backends['m0'].is_up = False
    for message in messages_from(fleet.backends['m0'].announce()):
        fleet.post('m0', message)
    fleet.run(1)
    return fleet.agents['m0'].backend


def next_life(announcement):
    """Return the announcement of a later life under the same identity."""
    life = ranges.Life(
        announcement.life.server_id, announcement.life.born + 5000
    )
    return attrs.evolve(announcement, life=life, sequence=1)


def deregistration(announcement):
    """Return the deregistration of a life, a second after its start."""
    return backendmsg.BackendLeft(
        99, announcement.life.server_id, announcement.life.born + 1000
    )


class TestOneTick:
    """Announcements and deregistrations that are read in the same tick."""

    def test_new_life_after_the_end_of_the_old_one(self):
        """Guards against draining a new server for its former life's leaving.

        Both have the same identity, and both messages arrive in one tick.
        """
        backend = backend_after(
            lambda announcement: [
                deregistration(announcement),
                next_life(announcement),
            ]
        )
        assert backend.closing_at is None

    def test_end_after_an_announcement(self):
        """Guards against work for a server that has left.

        It announces a new life and leaves in the same tick.
        """
        backend = backend_after(
            lambda announcement: [
                next_life(announcement),
                deregistration(announcement),
            ]
        )
        assert backend.closing_at is not None


def restarted_beside_leaving():
    """Return a deployment and the announcement of a server that has left.

    Its agent had just started and had not received an announcement of the
    server when the deregistration arrived.
    """
    fleet = fleetsim.deployment()
    backend = fleet.backends['m0']
    backend.is_up = False
    fleet.stop('m0')
    fleet.start('m0')
    fleet.run(200)
    announcement = backend.announce()
    fleet.post('m0', deregistration(announcement))
    fleet.run(200)
    return fleet, announcement


class TestRestartedAgent:
    """An agent that has just started beside a live backend server."""

    def test_server_that_left_before_it_was_announced_gets_no_work(self):
        """Guards against forgetting a confirmed deregistration.

        It arrives before the first announcement, which is a late one of the
        same life.
        """
        fleet, announcement = restarted_beside_leaving()
        fleet.post(
            'm0',
            attrs.evolve(announcement, sequence=announcement.sequence + 1),
        )
        fleet.run(1)
        assert fleet.agents['m0'].backend.closing_at is not None

    def test_later_life_under_the_same_identity_gets_work(self):
        """Guards against draining a new server for its former life's leaving.

        The agent knew the identity only from the deregistration.
        """
        fleet, announcement = restarted_beside_leaving()
        fleet.post('m0', next_life(announcement))
        fleet.run(1)
        assert fleet.agents['m0'].backend.closing_at is None

    def test_restarted_agent_keeps_the_drain_time(self):
        """Guards against a drain time that starts again with each process.

        The earlier process confirmed the deregistration and wrote it to the
        host's row of the store, from which the new process must resume.
        """
        fleet = fleetsim.deployment()
        backend = fleet.backends['m0']
        fleet.post('m0', deregistration(backend.announce()))
        fleet.run(1000)
        fleet.stop('m0')
        fleet.start('m0')
        fleet.run(1500)
        restarted_backend = fleet.agents['m0'].backend
        assert restarted_backend.closing_at <= fleet.now
        assert fleet.agents['b0'].hosts.get('m0').record.state == 'draining'


class TestTimeOfDay:
    """Backend servers that start after the time of day has jumped back."""

    def restarted_earlier(self, is_lost):
        """Return a deployment whose server restarts with an earlier start."""
        fleet = fleetsim.deployment()
        backend = fleet.backends['m0']
        backend.is_up = not is_lost
        earlier = ranges.Life('m0-restarted', backend.life.born - 5000)
        announcement = attrs.evolve(backend.announce(), life=earlier)
        return fleet, announcement

    def test_restarted_server_is_in_use_again(self):
        """Guards against a server that is ignored until its clock catches up.

        It announces itself once a second, and the former life no more.
        """
        fleet, announcement = self.restarted_earlier(is_lost=True)
        for sequence in range(1, 8):
            fleet.post('m0', attrs.evolve(announcement, sequence=sequence))
            fleet.run(1000)
        assert fleet.agents['m0'].backend.life == announcement.life

    @pytest.mark.parametrize('jump_ms', [20_000, -20_000])
    def test_deployment_serves_all_keys_after_a_jump(self, jump_ms):
        """Guards against keys that nobody serves after a jump and a restart.

        The time of day jumps on all hosts, and all servers start again.
        """
        fleet = fleetsim.deployment()
        fleet.wall_offset_ms = jump_ms
        for backend in fleet.backends.values():
            backend.restart()
        fleet.run(SILENT_AND_LEASE_MS)
        numbers = [
            fleet.call('m0', '/look/', key=key)
            for key in range(0, KEY_COUNT, KEY_COUNT // 20)
        ]
        fleet.run(1000)
        assert fleet.owned_key_count() == KEY_COUNT
        assert not fleet.violations
        assert all(
            isinstance(fleet.outcomes[number], messages.Deliver)
            for number in numbers
        )

    def test_late_announcement_of_a_former_life_is_ignored(self):
        """Guards against taking a lost life for the one that announces."""
        fleet, announcement = self.restarted_earlier(is_lost=False)
        current = fleet.agents['m0'].backend.life
        for sequence in range(1, 8):
            fleet.post('m0', attrs.evolve(announcement, sequence=sequence))
            fleet.run(1000)
            assert fleet.agents['m0'].backend.life == current
