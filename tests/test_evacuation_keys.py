"""Evacuation of failure domains: keys of divided services leave in steps."""

import collections
import itertools

import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import rows
from laburnumlatch.mesh.evacuation import keymoves
from tests import evacuations


class TestKeys:
    """Keys of divided services leave in steps, well before the bound ends."""

    def test_keys_leave_in_steps_and_come_back(self):
        """Guards against keys that leave all at once, late or not at all.

        After the withdrawal balancing moves keys back in its usual steps.
        """
        fleet = evacuations.deployment()
        evacuations.serve(fleet, 2000)
        fleet.store.evacuate('d0')
        began = fleet.now
        left = [evacuations.keys_in(fleet, 'd0')]
        while left[-1] and fleet.now < began + evacuations.BOUND_MS:
            evacuations.serve(fleet, 50)
            keys = evacuations.keys_in(fleet, 'd0')
            if keys != left[-1]:
                left.append(keys)
        assert fleet.now - began < evacuations.BOUND_MS * 0.6
        steps = [first - then for first, then in itertools.pairwise(left)]
        assert len(steps) > 4
        assert max(steps) < left[0] / 3
        fleet.store.end_evacuation('d0')
        evacuations.serve(fleet, 6000)
        assert evacuations.keys_in(fleet, 'd0') > left[0] / 4
        evacuations.check_owners(fleet)

    def test_targets_share_the_load(self):
        """Guards against one host that gets all keys of another one.

        Balancing would even that out only after a while.
        """
        fleet = evacuations.deployment()
        evacuations.serve(fleet, 2000)
        fleet.store.evacuate('d0')
        most_keys = 0
        for _ in range(60):
            evacuations.serve(fleet, 50)
            keys = collections.Counter()
            for piece in evacuations.plan_of(fleet).pieces:
                keys[piece.host_id] += piece.size
            most_keys = max(most_keys, *keys.values())
        assert most_keys < fleetconfig.KEY_COUNT / 4 * 1.25

    def test_steps_of_many_pieces_are_even(self):
        """Guards against steps that take longer than half of the bound.

        They follow the time left, also if one of them comes late. A planner
        that does not know the begin moves all at once.
        """
        agent = evacuations.deployment().agents['b1']
        agent.evacuations.put('d0', rows.Evacuation('d0', agent.now))
        began = agent.now
        pieces = [
            ranges.Piece(start, start + 63, 'b0', ranges.Life('i', 1), 1)
            for start in range(0, fleetconfig.KEY_COUNT, 64)
        ]
        left = [len(pieces)]
        for waited_ms in (200, 200, 800, 200, 1000):
            step = keymoves.next_step(agent, pieces, pieces, {}, 40, 200)
            pieces = [
                piece
                for piece in pieces
                if (piece.start, piece.end) not in step.ranges
            ]
            left.append(len(pieces))
            agent.now += waited_ms
        assert agent.now - began < evacuations.BOUND_MS / 2
        assert left == [1024, 938, 852, 766, 638, 510]
        agent.evacuations.put('d0', rows.Evacuation('d0', None))
        step = keymoves.next_step(agent, pieces, pieces, {}, 40, 200)
        assert len(step.ranges) == len(pieces)

    @pytest.mark.parametrize('is_inside', [True, False])
    def test_planner_lost_halfway(self, is_inside):
        """Guards against keys that stay, as only one planner knew the steps.

        The planner's host is lost with its server, inside the evacuated domain
        or outside. Then its own keys are free after some ten seconds.
        """
        fleet = evacuations.deployment()
        (planner,) = fleet.planner_hosts()
        own = fleet.domains[planner]
        domain = own if is_inside else min({'d0', 'd1', 'd2'} - {own})
        fleet.store.evacuate(domain)
        fleet.run(900)
        assert evacuations.keys_in(fleet, domain)
        fleet.stop(planner)
        fleet.backends[planner].is_up = False
        fleet.run(11_000)
        assert not evacuations.keys_in(fleet, domain)
        assert fleet.owned_key_count() == fleetconfig.KEY_COUNT
        evacuations.check_owners(fleet)

    def test_store_away(self):
        """Guards against requests sent to evacuated servers without a store.

        The plans cannot be written until it is back; then all keys leave.
        """
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        began = fleet.now
        fleet.run(100)
        fleet.store.is_down = True
        evacuations.serve(fleet, 5500)
        assert not evacuations.late_starts(
            fleet, 'd0', began + evacuations.END_MS
        )
        fleet.store.is_down = False
        numbers = evacuations.serve(fleet, 4000)[400:]
        assert not evacuations.keys_in(fleet, 'd0')
        assert not evacuations.refused(fleet, numbers)
        evacuations.check_owners(fleet)

    def test_store_restored_from_a_copy(self):
        """Guards against a domain that gets its keys back from an old plan."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(1000)
        copy = fleet.store.copy()
        fleet.run(1500)
        fleet.store.restore(copy)
        began = fleet.now
        numbers = evacuations.serve(fleet, 14_000)
        assert not evacuations.late_starts(
            fleet, 'd0', began + evacuations.END_MS
        )
        assert not evacuations.keys_in(fleet, 'd0')
        assert not evacuations.refused(fleet, numbers[2000:])
        evacuations.check_owners(fleet)

    def test_two_domains(self):
        """Guards against keys that move from one evacuated domain to another.

        The second one begins while the keys of the first one leave.
        """
        fleet = evacuations.deployment()
        numbers = evacuations.serve(fleet, 1000, step_ms=30)
        fleet.store.evacuate('d0')
        numbers += evacuations.serve(fleet, 800, step_ms=30)
        fleet.store.evacuate('d1')
        numbers += evacuations.serve(fleet, 4500, step_ms=30)
        assert evacuations.keys_in(fleet, 'd2') == 65_536
        assert not evacuations.late_starts(fleet, 'd1', fleet.now - 1000)
        assert not evacuations.refused(fleet, numbers)
        evacuations.check_owners(fleet)

    def test_all_domains(self):
        """Guards against keys that move around while no host may serve."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0', 'd1', 'd2')
        fleet.run(200)
        version = evacuations.plan_of(fleet).version
        evacuations.serve(fleet, 4500)
        began = fleet.now
        evacuations.serve(fleet, 1000)
        for domain in ('d0', 'd1', 'd2'):
            assert not evacuations.late_starts(fleet, domain, began)
        assert evacuations.plan_of(fleet).version == version
        for domain in ('d0', 'd1', 'd2'):
            fleet.store.end_evacuation(domain)
        fleet.run(200)
        assert not evacuations.refused(fleet, evacuations.serve(fleet, 1000))
        evacuations.check_owners(fleet)


class TestHostsInside:
    """Hosts of an evacuated domain that stop, leave, start or are lost."""

    @pytest.mark.parametrize('after_ms', [200, 1200])
    def test_planned_stop(self, after_ms):
        """Guards against a stop that cuts off requests or keeps its keys."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        numbers = evacuations.serve(fleet, after_ms)
        fleet.post('b0', messages.Stopping())
        fleet.post('m0', messages.Stopping())
        numbers += evacuations.serve(fleet, 7000, callers=('b1', 'm1', 'b5'))
        assert set(fleet.stopped_at) == {'b0', 'm0'}
        assert not fleet.interrupted_requests
        assert not evacuations.keys_in(fleet, 'd0')
        assert not evacuations.refused(fleet, numbers)
        evacuations.check_owners(fleet)

    def test_server_leaves(self):
        """Guards against a leaving server whose keys wait for the steps."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(100)
        fleet.backends['b3'].is_draining = True
        numbers = evacuations.serve(fleet, 1500)
        owners = {piece.host_id for piece in evacuations.plan_of(fleet).pieces}
        assert 'b3' not in owners
        numbers += evacuations.serve(fleet, 4000)
        assert not evacuations.refused(fleet, numbers)
        evacuations.check_owners(fleet)

    def test_new_server_gets_nothing(self):
        """Guards against keys or requests for a server that starts inside."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(3000)
        fleet.domains['b9'] = 'd0'
        fleet._add_host('b9', 'bokun')
        numbers = evacuations.serve(fleet, 5000, callers=('b1', 'm1', 'b9'))
        assert not fleet.backends['b9'].started
        assert not evacuations.keys_in(fleet, 'd0')
        assert not evacuations.refused(fleet, numbers[200:])

    def test_server_without_agent(self):
        """Guards against keys that stay with a server whose agent is lost."""
        fleet = evacuations.deployment()
        fleet.store.evacuate('d0')
        fleet.run(300)
        fleet.stop('b3')
        evacuations.serve(fleet, 6500)
        assert not evacuations.keys_in(fleet, 'd0')
        assert not evacuations.refused(fleet, evacuations.serve(fleet, 1000))
        evacuations.check_owners(fleet)
