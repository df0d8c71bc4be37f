"""What the planner does while a plan is being written."""

import functools
import itertools
import random

import pytest

from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import leases
from laburnumlatch.mesh import ranges

HOSTS = 67
PIECES = 234
SEEDS = range(40)


def plan_of(version, rng, count=PIECES):
    """Return a plan of the divided service with pieces by chance."""
    cuts = sorted(rng.sample(range(1, ranges.KEY_COUNT), count - 1))
    names = [f'h{number}' for number in range(HOSTS)]
    pieces = tuple(
        ranges.Piece(
            start,
            end - 1,
            rng.choice(names),
            ranges.Life('i', 1),
            fence=number + 1,
            former=rng.choice(['', '', *names[:3]]),
        )
        for number, (start, end) in enumerate(
            itertools.pairwise((0, *cuts, ranges.KEY_COUNT))
        )
    )
    return ranges.Plan('bokun', version, pieces)


def count_calls(counts, function, *arguments):
    """Call a function and count that."""
    counts.append(function)
    return function(*arguments)


def renew_all(agent, now):
    """Let all hosts renew their leases at once."""
    for number in range(HOSTS):
        agent.inbox.post(
            leasemsg.Renew(
                host_id=f'h{number}',
                address=f'h{number}',
                term=agent.role.term,
                sequence=1,
                service='bokun',
                life=ranges.Life('i', 1),
                slots=3,
                is_leaving=False,
                has_store=True,
            )
        )
    leases.run(agent, now)


def loses_by_definition(known, plan, host_id):
    """Tell whether a host loses keys unreleased, by looking at all pairs."""
    return any(
        piece.host_id == host_id
        and host_id not in {new.host_id, new.former}
        and ranges.overlap(piece, new)
        for piece in known.pieces
        for new in plan.pieces
    )


class TestRenewalsDuringAWrite:
    """Leases that are asked for while a plan is on its way to the store."""

    def test_plans_are_not_compared_for_each_renewal(self, monkeypatch):
        """Guards against a planner that is held up by its own write."""
        fleet = fleetsim.deployment()
        (host_id,) = fleet.planner()
        agent = fleet.agents[host_id]
        rng = random.Random(1)
        known = plan_of(50, rng)
        agent.plans.put('bokun', leaserows.PlanRow(known, 10**6))
        write = leaserows.PlanWrite(plan_of(51, rng))
        agent.plan_writes.put('plan/1', write)
        counts = []
        monkeypatch.setattr(
            ranges,
            'overlap',
            functools.partial(count_calls, counts, ranges.overlap),
        )
        renew_all(agent, fleet.now + 1)
        assert len(counts) <= 3 * PIECES

    @pytest.mark.parametrize('seed', SEEDS)
    def test_hosts_that_lose_keys_get_no_lease(self, seed):
        """Guards against a lease for keys that may be given away."""
        rng = random.Random(seed)
        known = plan_of(1, rng, 1 + seed)
        plan = plan_of(2, rng, 1 + seed // 2)
        fleet = fleetsim.deployment()
        (host_id,) = fleet.planner()
        agent = fleet.agents[host_id]
        agent.plans.put('bokun', leaserows.PlanRow(known, 10**6))
        agent.plan_writes.put('plan/1', leaserows.PlanWrite(plan))
        agent.outbox.clear()
        renew_all(agent, fleet.now + 1)
        valid = {
            sent.address: sent.message.valid_ms > 0
            for sent in agent.outbox.take(leasemsg.SendDatagram)
            if isinstance(sent.message, leasemsg.Lease)
        }
        for number in range(HOSTS):
            name = f'h{number}'
            assert valid[name] != loses_by_definition(known, plan, name)
