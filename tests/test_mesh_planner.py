"""Lease renewals at the planner while a plan write is pending."""

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


def random_plan(version, rng, count=PIECES):
    """Return a plan of the divided service with random pieces and owners."""
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
    """Call a function and record the call in `counts`."""
    counts.append(function)
    return function(*arguments)


def renew_all(agent, now):
    """Process a lease renewal of each host."""
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


def loses_by_definition(current, plan, host_id):
    """Return whether a host loses keys without release, by all pairs."""
    return any(
        piece.host_id == host_id
        and host_id not in {new.host_id, new.former}
        and ranges.overlap(piece, new)
        for piece in current.pieces
        for new in plan.pieces
    )


class TestRenewalsDuringAWrite:
    """Lease renewals while the outcome of a plan write is not known."""

    def test_plans_are_not_compared_for_each_renewal(self, monkeypatch):
        """Guards against a planner that is overloaded during a write.

        All hosts renew meanwhile, and comparing two plans takes a pass over
        all their pieces. The result must be cached.
        """
        fleet = fleetsim.deployment()
        (host_id,) = fleet.planner_hosts()
        agent = fleet.agents[host_id]
        rng = random.Random(1)
        current = random_plan(50, rng)
        agent.plans.put('bokun', leaserows.PlanRow(current, 10**6))
        write = leaserows.PlanWrite(random_plan(51, rng))
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
        """Guards against a lease for keys that may get another owner.

        If the pending write takes effect, a host that it takes keys from
        without a handover must not serve them on a renewed lease.
        """
        rng = random.Random(seed)
        current = random_plan(1, rng, 1 + seed)
        plan = random_plan(2, rng, 1 + seed // 2)
        fleet = fleetsim.deployment()
        (host_id,) = fleet.planner_hosts()
        agent = fleet.agents[host_id]
        agent.plans.put('bokun', leaserows.PlanRow(current, 10**6))
        agent.plan_writes.put('plan/1', leaserows.PlanWrite(plan))
        agent.outbox.clear()
        renew_all(agent, fleet.now + 1)
        is_lease_valid = {
            sent.address: sent.message.valid_ms > 0
            for sent in agent.outbox.take(leasemsg.SendDatagram)
            if isinstance(sent.message, leasemsg.Lease)
        }
        for number in range(HOSTS):
            name = f'h{number}'
            assert is_lease_valid[name] != loses_by_definition(
                current, plan, name
            )
