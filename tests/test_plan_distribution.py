"""Distribution of plans to the agents: bytes, CPU time and store calls."""

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
# Limits for one plan change of the large deployment.
MAX_CHANGE_BYTES = 1000
MAX_APPLY_MS = 1
SEEDS = range(60)
PLAN_MESSAGES = (planmsg.SendPlan, planmsg.SendPlanChange)


def with_moves(plan, rng, count=1):
    """Return the next plan, in which some random pieces have moved."""
    pieces = list(plan.pieces)
    for index in rng.sample(range(len(pieces)), count):
        pieces[index] = attrs.evolve(
            pieces[index], host_id='h1', fence=10**6 + index, former='h2'
        )
    return ranges.Plan(plan.service, plan.version + 1, tuple(pieces))


def with_splits_and_moves(plan, rng):
    """Return the next plan, with pieces split, moved and joined."""
    cuts = rng.sample(range(1, ranges.KEY_COUNT), 5)
    pieces = ranges.split(plan.pieces, cuts)
    following = ranges.Plan(plan.service, plan.version, pieces)
    following = with_moves(following, rng, rng.randrange(len(pieces)))
    joined = ranges.join(following.pieces)
    return ranges.Plan(plan.service, following.version, joined)


class TestDifferences:
    """The difference between a plan and the next one."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_change_gives_the_next_plan(self, seed):
        """Guards against hosts that disagree on the owner of a key.

        An agent that applies a change must get the plan that was written.
        """
        rng = random.Random(seed)
        plan = test_mesh_planner.random_plan(7, rng, 1 + seed)
        following = with_splits_and_moves(plan, rng)
        change = planchanges.difference(plan, following)
        assert planchanges.apply(plan, change) == following

    def test_change_of_one_piece_is_small_and_fast(self):
        """Guards against a cost of each move that grows with the plan.

        One of 10,000 pieces changes.
        """
        rng = random.Random(1)
        plan = test_mesh_planner.random_plan(7, rng, PIECES)
        change = planchanges.difference(plan, with_moves(plan, rng))
        packed = wire.pack_compressed(change)
        assert len(packed) < MAX_CHANGE_BYTES
        durations_ms = []
        for _ in range(9):
            started = time.process_time()
            planchanges.apply(plan, wire.unpack(packed, planchanges.Change))
            durations_ms.append((time.process_time() - started) * 1000)
        assert min(durations_ms) < MAX_APPLY_MS

    @pytest.mark.parametrize('field', ['base', 'start', 'end', 'none'])
    def test_mismatched_change_is_rejected(self, field):
        """Guards against a plan with gaps or wrong owners.

        It would result from a change that is applied to another plan than the
        one it was made against.
        """
        rng = random.Random(3)
        plan = test_mesh_planner.random_plan(7, rng, 30)
        change = planchanges.difference(plan, with_moves(plan, rng))
        (piece,) = change.pieces
        if field == 'base':
            change = attrs.evolve(change, base_version=6)
        elif field == 'none':
            change = attrs.evolve(change, base_version=6, pieces=())
        else:
            offset = 1 if field == 'start' else -1
            shortened = attrs.evolve(
                piece, **{field: getattr(piece, field) + offset}
            )
            change = attrs.evolve(change, pieces=(shortened,))
        with pytest.raises(planchanges.UnfitChangeError):
            planchanges.apply(plan, change)


class TestFrames:
    """Encoding of plan changes on the link between agents."""

    async def test_change_is_received_unchanged(self):
        """Guards against pieces of a change that are lost in encoding."""
        agents = test_mesh_peerlink.AgentPair()
        await agents.start(17590)
        rng = random.Random(1)
        plan = test_mesh_planner.random_plan(7, rng, 50)
        change = planchanges.difference(plan, with_moves(plan, rng, 3))
        agents.links['a'].carry_out(
            planmsg.SendPlanChange('b', agents.ports['b'], change, 9),
        )
        received = await agents.wait_for('b', planmsg.PlanChangeTold)
        assert received == planmsg.PlanChangeTold(change, 9)
        await agents.stop()


def planner_of(fleet):
    """Return the state of the agent that holds the planner role."""
    (host_id,) = fleet.planner_hosts()
    return fleet.agents[host_id]


def renewal(agent, sequence, version):
    """Return a lease renewal of a host that has a version of the plan."""
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


class TestSending:
    """Plans and changes that the planner sends to agents."""

    def test_moves_are_sent_as_changes(self):
        """Guards against a whole plan to each host for each move.

        Keys move as one of twelve backend servers drains.
        """
        fleet = fleetsim.deployment(divided=12)
        fleet.sent_plans.clear()
        fleet.backends['b3'].is_draining = True
        sent = []
        for _ in range(4000):
            fleet.run(1)
            sent.extend(fleet.sent_plans)
            fleet.sent_plans.clear()
        changes = [
            message for message in sent if type(message) is PLAN_MESSAGES[1]
        ]
        assert sent
        assert len(changes) > 0.9 * len(sent)
        versions = {
            agent.plan_of('bokun').version for agent in fleet.agents.values()
        }
        assert len(versions) == 1
        assert fleet.owned_key_count() == ranges.KEY_COUNT
        assert not fleet.violations

    def test_plan_is_not_resent_for_each_outdated_renewal(self):
        """Guards against a saturated link that is kept so by resent plans.

        A plan takes long on such a link, and renewals that the host sends
        meanwhile still report the version before.
        """
        agent = planner_of(fleetsim.deployment())
        version = agent.plan_of('bokun').version
        now = agent.now
        sent_count = 0
        for sequence in range(1, 9):
            now += leases.RENEW_MS // 4
            agent.inbox.post(renewal(agent, sequence, version - 1))
            agent.outbox.clear()
            leases.run(agent, now)
            sent_count += len(agent.outbox.take(planmsg.SendPlan))
        assert sent_count == 1

    def test_lost_plan_is_resent(self):
        """Guards against a host that never gets a plan whose message is lost.

        Its renewals keep reporting the version before, 1.5 s apart.
        """
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
    """Reads of plans from the store by agents that did not receive them."""

    def test_store_is_read_only_if_the_plan_stays_missing(self):
        """Guards against a store call of each host for each plan.

        A lease that names a new plan version may arrive before the plan.
        """
        fleet = fleetsim.deployment()
        agent = fleet.agents['m1']
        plan = agent.plan_of('bokun')
        agent.lease.plan_versions = (('bokun', plan.version + 1),)
        for _ in range(members.PLAN_READ_DELAY_MS // 10 - 1):
            agent.now += 10
            agent.outbox.clear()
            members.run(agent, agent.now)
            assert not plan_reads(agent)
        agent.now += 2 * members.PLAN_READ_DELAY_MS
        members.run(agent, agent.now)
        assert len(plan_reads(agent)) == 1


def plan_reads(agent):
    """Return the store reads of plans that an agent has requested."""
    return [
        message
        for message in agent.outbox.take(members.storemsg.StoreRead)
        if message.ticket == members.PLANS_TICKET
    ]
