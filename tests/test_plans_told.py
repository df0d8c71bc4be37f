"""How agents learn of a plan: bytes, work, and calls to the store."""

import random
import time

import attrs
import pytest

from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import members
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges
from tests import test_mesh_peerlink
from tests import test_mesh_planner

PIECES = 10_000
# The bars of the large deployment.
MOST_BYTES = 1000
MOST_MS = 1
SEEDS = range(60)
TOLD = (planmsg.SendPlan, planmsg.SendPlanChange)


def moved(plan, rng, count=1):
    """Return the plan that follows, after moves of some pieces."""
    pieces = list(plan.pieces)
    for index in rng.sample(range(len(pieces)), count):
        pieces[index] = attrs.evolve(
            pieces[index], host_id='h1', fence=10**6 + index, former='h2'
        )
    return ranges.Plan(plan.service, plan.version + 1, tuple(pieces))


def cut(plan, rng):
    """Return the plan that follows, after pieces were cut and joined."""
    cuts = rng.sample(range(1, ranges.KEY_COUNT), 5)
    pieces = ranges.split(plan.pieces, cuts)
    followed = ranges.Plan(plan.service, plan.version, pieces)
    followed = moved(followed, rng, rng.randrange(len(pieces)))
    joined = ranges.join(followed.pieces)
    return ranges.Plan(plan.service, followed.version, joined)


class TestDifferences:
    """A plan as what has changed since the one before."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_change_leads_to_the_same_plan(self, seed):
        """Guards against hosts that believe different owners."""
        rng = random.Random(seed)
        plan = test_mesh_planner.plan_of(7, rng, 1 + seed)
        following = cut(plan, rng)
        change = planchanges.difference(plan, following)
        assert planchanges.changed(plan, change) == following

    def test_one_piece_of_many_is_short_and_quick(self):
        """Guards against plans whose size grows with the hosts."""
        rng = random.Random(1)
        plan = test_mesh_planner.plan_of(7, rng, PIECES)
        change = planchanges.difference(plan, moved(plan, rng))
        packed = wire.pack_compressed(change)
        assert len(packed) < MOST_BYTES
        took_ms = []
        for _ in range(9):
            started = time.process_time()
            planchanges.changed(plan, wire.unpack(packed, planchanges.Change))
            took_ms.append((time.process_time() - started) * 1000)
        assert min(took_ms) < MOST_MS

    @pytest.mark.parametrize('field', ['base', 'start', 'end', 'none'])
    def test_change_that_does_not_fit_is_refused(self, field):
        """Guards against a plan with gaps, made of two that do not fit."""
        rng = random.Random(3)
        plan = test_mesh_planner.plan_of(7, rng, 30)
        change = planchanges.difference(plan, moved(plan, rng))
        (piece,) = change.pieces
        if field == 'base':
            change = attrs.evolve(change, base_version=6)
        elif field == 'none':
            change = attrs.evolve(change, base_version=6, pieces=())
        else:
            side = 1 if field == 'start' else -1
            odd = attrs.evolve(piece, **{field: getattr(piece, field) + side})
            change = attrs.evolve(change, pieces=(odd,))
        with pytest.raises(planchanges.UnfitChangeError):
            planchanges.changed(plan, change)


class TestFrames:
    """Changes on their way between agents."""

    async def test_change_arrives(self):
        """Guards against changes that lose a piece on the way."""
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17590)
        rng = random.Random(1)
        plan = test_mesh_planner.plan_of(7, rng, 50)
        change = planchanges.difference(plan, moved(plan, rng, 3))
        agents.links['a'].carry_out(
            planmsg.SendPlanChange('b', agents.ports['b'], change, 9),
        )
        told = await agents.wait_for('b', planmsg.PlanChangeTold)
        assert told == planmsg.PlanChangeTold(change, 9)
        await agents.stop()


def planner_of(fleet):
    """Return the state of the planner's agent."""
    (host_id,) = fleet.planner()
    return fleet.agents[host_id]


def renewal(agent, sequence, version):
    """Return a renewal of a host that knows a version of the plan."""
    return leasemsg.Renew(
        host_id='h9',
        address='h9',
        term=agent.role.term,
        sequence=sequence,
        service='bokun',
        life=None,
        slots=0,
        is_leaving=False,
        has_store=True,
        plan_versions=(('bokun', version),),
    )


class TestTelling:
    """Whom the planner tells what."""

    def test_a_move_is_told_as_a_change(self):
        """Guards against whole plans for every move."""
        fleet = fleetsim.deployment(divided=12)
        fleet.told_plans.clear()
        fleet.backends['b3'].is_draining = True
        told = []
        for _ in range(4000):
            fleet.run(1)
            told.extend(fleet.told_plans)
            fleet.told_plans.clear()
        changes = [one for one in told if type(one) is TOLD[1]]
        assert told
        assert len(changes) > 0.9 * len(told)
        versions = {
            agent.plan_of('bokun').version for agent in fleet.agents.values()
        }
        assert len(versions) == 1
        assert fleet.owned() == ranges.KEY_COUNT
        assert not fleet.violations

    def test_renewals_on_their_way_are_no_reason_to_tell_again(self):
        """Guards against a full link that fills itself with plans."""
        agent = planner_of(fleetsim.deployment())
        version = agent.plan_of('bokun').version
        now = agent.now
        told = 0
        for sequence in range(1, 9):
            now += leases.RENEW_MS // 4
            agent.inbox.post(renewal(agent, sequence, version - 1))
            agent.outbox.clear()
            leases.run(agent, now)
            told += len(agent.outbox.take(planmsg.SendPlan))
        assert told == 1

    def test_lost_plan_is_told_again(self):
        """Guards against a host that never learns of a plan."""
        agent = planner_of(fleetsim.deployment())
        version = agent.plan_of('bokun').version
        now = agent.now
        for _ in range(2):
            now += 1500
            agent.inbox.post(renewal(agent, now, version - 1))
            agent.outbox.clear()
            leases.run(agent, now)
            assert len(agent.outbox.take(planmsg.SendPlan)) == 1


class TestStoreReads:
    """Plans that are read from the store, since they did not come."""

    def test_plan_a_moment_after_the_lease_costs_no_read(self):
        """Guards against calls to the store of all hosts for each plan."""
        fleet = fleetsim.deployment()
        agent = fleet.agents['m1']
        plan = agent.plan_of('bokun')
        agent.lease.plan_versions = (('bokun', plan.version + 1),)
        for _ in range(members.PLANS_MS // 10 - 1):
            agent.now += 10
            agent.outbox.clear()
            members.run(agent, agent.now)
            assert not plan_reads(agent)
        agent.now += 2 * members.PLANS_MS
        members.run(agent, agent.now)
        assert len(plan_reads(agent)) == 1


def plan_reads(agent):
    """Return the reads of plans that an agent asks for."""
    return [
        message
        for message in agent.outbox.take(members.storemsg.StoreRead)
        if message.ticket == members.PLANS_TICKET
    ]
