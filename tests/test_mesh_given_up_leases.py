"""Leases that a host gives up because its backend server does not respond."""

import pytest

from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import leaseends
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ranges

LIFE = ranges.Life('i', 1)
NEXT_LIFE = ranges.Life('i', 2)
ISSUED_AT = 50_000
JUST_AFTER = ISSUED_AT + 1
CALL_INTERVAL_MS = 20
# By then keys that were given away are granted, and old grants have ended.
SETTLE_MS = 6000


def load(fleet, key, duration_ms):
    """Send lookups of a key for some time."""
    ends_at = fleet.now + duration_ms
    while fleet.now < ends_at:
        fleet.call('m0', '/look/', key)
        fleet.run(CALL_INTERVAL_MS)


def renewal(life, lease_issued_at, grants_end_ms=0):
    """Return a renewal that names a run of the backend server, or None."""
    return leasemsg.Renew(
        host_id='b0',
        address='b0',
        term=1,
        sequence=1,
        service=fleetconfig.SERVICE,
        life=life,
        slots=6,
        is_leaving=False,
        has_store=True,
        lease_issued_at=lease_issued_at,
        grants_end_ms=grants_end_ms,
    )


def leased_holder():
    """Return a lease holder that was issued a lease at `ISSUED_AT`."""
    holder = leaserows.LeaseHolder('b0', 'b0', fleetconfig.SERVICE, life=LIFE)
    leaseends.record_lease(holder, ISSUED_AT)
    return holder


def report(holder, renew, now=JUST_AFTER):
    """Update a lease holder by a renewal, as the planner does."""
    leaseends.end_if_given_up(holder, renew)
    leaseends.update_grants_end(holder, renew, now)
    holder.life = renew.life


class TestReturningServer:
    """A backend server that its agent cannot reach for a while.

    It lives on, and its agent has a lease all the time.
    """

    @pytest.mark.parametrize('cut_ms', range(1740, 2740, 40))
    def test_returned_server_gets_no_key_that_is_given_away(self, cut_ms):
        """Guards against two owners of a key when a server comes back.

        The planner gave its keys away by the last renewal, which said that
        the server did not respond and that its grants had ended. The agent had
        granted the keys again since then, under the lease that it still had.
        """
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        key = backend.held_ranges()[0][0]
        backend.is_cut = True
        load(fleet, key, cut_ms)
        backend.is_cut = False
        load(fleet, key, SETTLE_MS)
        assert not fleet.violations
        assert not fleet.early_grants
        assert fleet.owned_key_count() == ranges.KEY_COUNT

    def test_server_that_returns_soon_keeps_its_keys(self):
        """Guards against keys that move although their grants go on."""
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        backend = fleet.backends[host_id]
        before = sorted(backend.held_ranges())
        backend.is_cut = True
        load(fleet, before[0][0], 700)
        backend.is_cut = False
        load(fleet, before[0][0], SETTLE_MS)
        assert sorted(backend.held_ranges()) == before


class TestHost:
    """A host whose backend server stops responding for a moment."""

    @pytest.mark.parametrize('is_back', [False, True])
    def test_lease_of_an_earlier_renewal_is_not_used(self, is_back):
        """Guards against a lease that was in transit when it was given up."""
        fleet = fleetsim.deployment()
        host_id = fleet.owner_beside_planner()
        agent = fleet.agents[host_id]
        sequence = agent.lease.sequence
        fleet.partitioned_hosts.add(host_id)
        agent.backend.failed_since = fleet.now
        agent.backend.resume_at = fleet.now + SETTLE_MS
        fleet.run(leaserows.LEASE_MS // 10)
        if is_back:
            agent.backend.failed_since = None
            fleet.run(leaserows.LEASE_MS // 10)
        late = leasemsg.Lease(
            agent.role.holder,
            agent.role.address,
            agent.role.term,
            sequence,
            leaserows.LEASE_MS,
            has_store=True,
        )
        fleet.post(host_id, late)
        fleet.run(1)
        assert agent.lease.expires <= fleet.now


class TestPlanner:
    """What the planner concludes from renewals in any order."""

    def test_keys_are_free_once_the_lease_is_given_up(self):
        """Guards against keys of a lost server that wait for the lease."""
        holder = leased_holder()
        report(holder, renewal(None, ISSUED_AT))
        assert leaseends.holds_no_keys(holder, LIFE, ISSUED_AT + 1)

    def test_late_renewal_does_not_give_a_newer_lease_up(self):
        """Guards against a renewal that was overtaken on the network.

        It was sent before the server came back and the lease was issued.
        """
        holder = leased_holder()
        report(holder, renewal(None, ISSUED_AT - 1))
        assert not leaseends.holds_no_keys(holder, LIFE, ISSUED_AT + 1)
        assert not leaseends.holds_no_keys(holder, None, ISSUED_AT + 1)
        assert leaseends.holds_no_keys(
            holder, LIFE, ISSUED_AT + leaserows.latest_end_ms()
        )

    def test_no_lease_without_a_server(self):
        """Guards against a lease that lasts when the server is back."""
        holder = leased_holder()
        report(holder, renewal(None, ISSUED_AT))
        assert not leaseends.may_renew(holder, ISSUED_AT + 1)

    def test_next_run_waits_for_the_lease_of_the_run_before(self):
        """Guards against forgetting the lease of an earlier run."""
        holder = leased_holder()
        report(holder, renewal(NEXT_LIFE, ISSUED_AT - 1))
        assert not leaseends.may_renew(holder, ISSUED_AT + 1)
        report(holder, renewal(NEXT_LIFE, ISSUED_AT))
        assert leaseends.may_renew(holder, ISSUED_AT + 2)

    def test_lease_of_the_next_run_is_none_of_the_run_before(self):
        """Guards against keys of an earlier run that are never free."""
        holder = leased_holder()
        report(holder, renewal(NEXT_LIFE, ISSUED_AT))
        leaseends.record_lease(holder, ISSUED_AT + 2)
        assert leaseends.holds_no_keys(holder, LIFE, ISSUED_AT + 3)
        assert not leaseends.holds_no_keys(holder, NEXT_LIFE, ISSUED_AT + 3)

    @pytest.mark.parametrize('is_late', [False, True])
    def test_late_renewal_does_not_shorten_reported_grants(self, is_late):
        """Guards against a renewal that arrives behind a newer one.

        It was sent before the server stopped responding, so it says nothing
        of grants that last.
        """
        holder = leased_holder()
        told_at = ISSUED_AT + 500
        grants_ms = 3000
        report(holder, renewal(None, ISSUED_AT, grants_ms), told_at)
        sent_after = told_at - 1 if is_late else told_at
        report(holder, renewal(None, sent_after), told_at + 1)
        assert leaseends.holds_no_keys(holder, LIFE, told_at + 1) != is_late
        for now in (told_at + 1, told_at + grants_ms):
            is_free = leaseends.silent_holds_no_keys(holder, 0, now)
            assert is_free != is_late
