"""Planners of regions."""

import attrs
import pytest

from laburnumlatch.core import wire
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans
from tests import cluster
from tests import worlds


class TestRegions:
    """Planners of two regions must not undo each other's plans."""

    def test_each_region_has_a_role_and_one_of_them_plans(self):
        made = cluster.Cluster(1)
        for name in ('h3', 'h4', 'h5'):
            world = made.agents[name].world
            world.settings = attrs.evolve(world.settings, region='zz')
        made.run_until(made.all_served, 8000)
        made.run(3000)
        roles = {key for key in made.store if key.startswith('role/')}
        own = made.agents['h0'].world.settings.region
        assert roles == {f'role/{own}', 'role/zz'}
        plan = wire.unpack(made.store['plan/bokun'][1], planrows.Plan)
        owners = {slot.owner.host_id for slot in plan.slots}
        assert owners == {'h0', 'h1', 'h2'}


def made_plan(count, domains):
    """Return a plan with a slot a host, and its hosts."""
    hosts = [
        worlds.host(f'h{number}', domain=f'd{number % domains}')
        for number in range(count)
    ]
    service = worlds.service(slot_count=count)
    return plans.initial(service, hosts), hosts


class TestPlans:
    """A bounded choice of witnesses must still spread over the domains."""

    @pytest.mark.parametrize(
        ('count', 'domains'), [(6, 3), (9, 3), (60, 4), (200, 36)]
    )
    def test_witnesses_are_others_in_three_domains(self, count, domains):
        plan, hosts = made_plan(count, domains)
        by_name = {host.host_id: host for host in hosts}
        for row in plan.witness_sets:
            names = {witness.host_id for witness in row.witnesses}
            assert row.host.host_id not in names
            assert len({by_name[name].domain for name in names}) == 3

    def test_rare_domain_is_found_beyond_the_window(self):
        hosts = [worlds.host(f'h{number}', domain='a') for number in range(500)]
        hosts += [
            worlds.host('rare-1', domain='b'),
            worlds.host('rare-2', domain='c'),
        ]
        plan = plans.initial(worlds.service(), hosts)
        for row in plan.witness_sets:
            names = {witness.host_id for witness in row.witnesses}
            others = {'rare-1', 'rare-2'} - {row.host.host_id}
            assert others <= names

    def test_review_of_a_good_plan_changes_nothing(self):
        # A change would move witnesses, or slots, for no reason.
        plan, hosts = made_plan(100, 4)
        reviewed = plans.with_sets(plan, hosts, hosts)
        assert plans.with_successors(reviewed, hosts) == plan
