"""Handovers of pieces, when agents restart or many pieces move at once."""

import itertools

import pytest

from laburnumlatch.core import datagrams
from laburnumlatch.core import versions
from laburnumlatch.core import wire
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import planner
from laburnumlatch.mesh import ranges

# Until the grants of a former process have ended, and those of the next one
# have begun.
RECOVERY_MS = leaserows.latest_end_ms() + 2000
# The agent that takes the role from the first planner owns no keys then.
SEED = 3
MAX_STEPS = 3000
PIECES = 600
SERVICES = 6


def moving_pieces(fleet):
    """Return the pieces of the newest plan that are being handed over."""
    plan = max(
        (agent.plan_of(fleetconfig.SERVICE) for agent in fleet.agents.values()),
        key=lambda one: one.version,
    )
    return [piece for piece in plan.pieces if piece.former]


def acknowledged_pieces(fleet, former):
    """Return the pieces whose new owners have acknowledged the handover."""
    handovers = fleet.agents[former].handovers
    return [
        piece
        for piece in moving_pieces(fleet)
        for key in ((piece.start, piece.end, piece.fence),)
        if handovers.get(key) and handovers.get(key).is_acknowledged
    ]


def drained_to_new_owner():
    """Return a deployment and the new owner of a piece that is handed over.

    It has just acknowledged the handover. The planner, which owns no keys, is
    paused.
    """
    fleet = fleetsim.deployment(seed=SEED)
    (first_planner,) = fleet.planner_hosts()
    fleet.stop(first_planner)
    fleet.run(fleetsim.SETTLE_MS)
    fleet.start(first_planner)
    fleet.run(fleetsim.SETTLE_MS)
    (planner_host,) = fleet.planner_hosts()
    assert fleet.backends[planner_host].service != fleetconfig.SERVICE
    fleet.backends['b2'].is_draining = True
    for _ in range(MAX_STEPS):
        fleet.run(1)
        pieces = acknowledged_pieces(fleet, 'b2')
        if pieces:
            fleet.paused.add(planner_host)
            return fleet, planner_host, pieces[0].host_id
    raise AssertionError('nothing was handed over')


class TestRestartedOwner:
    """A new owner whose agent restarts behind its acknowledgement."""

    def test_keys_are_held_again_soon(self):
        """Guards against keys that nobody serves for half a minute.

        The agent had forgotten the handover, and the former owner, to which it
        was acknowledged, did not send it again.
        """
        fleet, planner_host, owner = drained_to_new_owner()
        fleet.stop(owner)
        fleet.run(200)
        fleet.start(owner)
        fleet.paused.discard(planner_host)
        fleet.run(RECOVERY_MS)
        assert fleet.owned_key_count() == ranges.KEY_COUNT
        assert not fleet.violations


def taking_over(count, first_fence):
    """Return an agent that holds many pieces, all just handed over to it."""
    fleet = fleetsim.deployment()
    (host_id,) = set(fleet.planner_hosts()) & {'b0', 'b1'} or {'b1'}
    agent = fleet.agents[host_id]
    size = ranges.KEY_COUNT // count
    starts = [number * size for number in range(count)]
    fences = itertools.count(first_fence)
    pieces = tuple(
        ranges.Piece(
            start,
            end - 1,
            host_id,
            agent.backend.life,
            next(fences),
            former='b2',
        )
        for start, end in itertools.pairwise((*starts, ranges.KEY_COUNT))
    )
    plan = ranges.Plan(fleetconfig.SERVICE, 10**5, pieces)
    agent.plans.put(plan.service, leaserows.PlanRow(plan, 10**6))
    agent.holdings.clear()
    for piece in pieces:
        holding = leaserows.Holding(
            plan.service,
            piece.start,
            piece.end,
            piece.fence,
            piece.life,
            state=leaserows.HoldingState.HELD,
        )
        agent.holdings.put((piece.start, piece.fence), holding)
    return fleet, agent


def renewal_of(agent, now):
    """Return the next renewal that an agent sends."""
    agent.role.is_held = False
    agent.outbox.clear()
    agent.timers.pop('leases/renew')
    leases.run(agent, now)
    (renew,) = [
        sent.message
        for sent in agent.outbox.take(leasemsg.SendDatagram)
        if isinstance(sent.message, leasemsg.Renew)
    ]
    return renew


class TestManyPieces:
    """A host that takes over hundreds of pieces at once."""

    @pytest.mark.parametrize('epoch', [0, 999_999])
    def test_renewal_fits_into_a_datagram(self, epoch):
        """Guards against a host that loses its lease for what it reports.

        A renewal that was too long was dropped, each time.
        """
        fleet, agent = taking_over(PIECES, versions.join(epoch, 10**6))
        for number in range(ranges.KEY_COUNT // ranges.KEYS_PER_BUCKET):
            agent.load_report.buckets[number] = 60_000
        for number in range(SERVICES):
            version = versions.join(epoch, 10**6)
            plan = ranges.Plan(f'service-{number}', version, ())
            agent.plans.put(plan.service, leaserows.PlanRow(plan, 10**6))
        renew = renewal_of(agent, fleet.now + 1)
        encoded = wire.Codec(leasemsg.KINDS).encode(renew)
        assert len(encoded) <= datagrams.MAX_DATAGRAM_BYTES
        assert renew.buckets
        assert renew.held_fences

    def test_fences_of_settled_pieces_are_left_out(self):
        """Guards against renewals that grow with the pieces of a host."""
        fleet = fleetsim.deployment()
        agent = fleet.agents['b1']
        assert len(agent.holdings)
        assert not renewal_of(agent, fleet.now + 1).held_fences

    @pytest.mark.parametrize('divided', [2, 3])
    def test_all_pieces_are_taken_over_in_the_end(self, divided):
        """Guards against handovers beyond the first few that never end."""
        fleet = fleetsim.deployment(divided=divided)
        moving = f'b{divided - 1}'
        for agent in fleet.agents.values():
            agent.timers.put('planner/balance/bokun', fleet.now + 10**6)
        split_pieces(fleet, 4 * leases.MAX_REPORTED_FENCES)
        fleet.run(2000)
        fleet.backends[moving].is_draining = True
        fleet.run(8000)
        assert not moving_pieces(fleet)
        assert fleet.owned_key_count() == ranges.KEY_COUNT


def split_pieces(fleet, count):
    """Let the plan have at least so many pieces, each with its own fence."""
    (host_id,) = fleet.planner_hosts()
    agent = fleet.agents[host_id]
    row = agent.plans.get(fleetconfig.SERVICE)
    cuts = range(0, ranges.KEY_COUNT, ranges.KEY_COUNT // count)
    fences = itertools.count(10**4)
    pieces = tuple(
        ranges.Piece(
            piece.start, piece.end, piece.host_id, piece.life, next(fences)
        )
        for piece in ranges.split(row.plan.pieces, cuts)
    )
    plan = ranges.Plan(row.plan.service, row.plan.version + 1, pieces)
    agent.timers.put('planner/plan', fleet.now + planner.PLAN_INTERVAL_MS)
    planner.write_plan(agent, plan)
