"""Row classes for the ownership of keys.

One agent at a time holds the planner role. As the planner it writes the plan
of each service divided by key and issues leases to the hosts. While its lease
is valid, a host grants its backend server the keys that it owns by the plan. A
range of keys granted in this way is a holding.

Times are in ms of this agent's own clock unless noted otherwise.
"""

import collections
import enum

import attrs

from laburnumlatch.core import records
from laburnumlatch.mesh import ranges

# The keys of a lost host are reassigned after this time. A lost planner must
# be replaced within it, or owners lose their keys.
LEASE_MS = 4000
# Each of two clocks may be off by 2 % in either direction.
LATEST_END_RATIO = 1.04


def latest_end_ms():
    """Return the longest time a lease may last by another host's clock."""
    return int(LEASE_MS * LATEST_END_RATIO)


@records.define(frozen=True)
class RoleRecord:
    """The row of the store that names the holder of the planner role.

    `address` is where the holder receives datagrams. `term` rises by one with
    each change of holder.
    """

    holder: str
    address: str
    term: int


@records.define
class Role:
    """The planner role as this agent knows it.

    `row_version` is the version of the store's row when it was last read or
    written, 0 if there is no row, None before the first read; `row_seen_at` is
    when that version was first seen, `pending` is
    the ticket of the store call in flight, sent at `sent_at`, or empty; if it
    takes the role, `taking_term` is the term. `has_store` is whether the last
    call got a response. `is_retaking` is whether this agent has given up its
    term because the store was restored, and is about to take the next one.
    This agent follows the present holder since `followed_at`, 0 if it does not,
    and does not take the role before `yields_until`.

    The fields after `is_held` are valid only while this agent holds the role.
    `is_first` is whether nobody held it before. `taken_at` is when this agent
    took the role, `renewed_at` when it sent the last renewal that took effect.
    A majority of the hosts has certainly sent renewals after
    `majority_contact`; `majority_since` is when the first such majority was
    counted. `has_plans` is whether the plans were read since the role was
    taken. `may_give_up` is whether this agent may give the role up if it can
    plan nothing.
    """

    holder: str = ''
    address: str = ''
    term: int = 0
    row_version: int | None = None
    row_seen_at: int = 0
    taking_term: int = 0
    is_retaking: bool = False
    followed_at: int = 0
    yields_until: int = 0
    is_held: bool = False
    is_first: bool = False
    taken_at: int = 0
    renewed_at: int = 0
    majority_contact: int = 0
    majority_since: int | None = None
    pending: str = ''
    sent_at: int = 0
    has_store: bool = True
    has_plans: bool = False
    may_give_up: bool = False


@attrs.define
class OwnLease:
    """The lease of this host.

    `expires` is when the lease ends. `planner_contact_at` is when the planner
    last responded to a renewal, or when this agent began to follow it.
    `sent_at` has the send times of recent renewals by sequence number;
    `newest_sequence` is the highest sequence number with a response. The lease
    is valid only for a host that knows the plan of its service in at least the
    version of `plan_versions`. `issued_at` is when the newest lease of the
    present term was issued, by the planner's clock, 0 if there is none.
    Under an `is_provisional` one only grants that last may be renewed.

    The lease is for `life` alone, the run of the backend server that the last
    renewal named, None if that server did not respond. Renewals have named it
    since the one of sequence number `life_since`; a lease in response to an
    earlier one has been given up. `reports_grants` is whether the last renewal
    reported grants that last although the plan does not cover them.
    """

    expires: int = 0
    life: ranges.Life | None = None
    life_since: int = 0
    reports_grants: bool = False
    planner_contact_at: int = 0
    sequence: int = 0
    newest_sequence: int = 0
    sent_at: dict[int, int] = attrs.Factory(dict)
    planner_has_store: bool = True
    plan_versions: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    issued_at: int = 0
    is_provisional: bool = False

    def covers(self, plan):
        """Return whether the lease is valid for a host that knows `plan`."""
        return all(
            plan.version >= version
            for service, version in self.plan_versions
            if service == plan.service
        )

    def give_up(self, life, sequence):
        """End the lease, because the renewal `sequence` names another life."""
        self.expires = 0
        self.life = life
        self.life_since = sequence


@records.define
class LeaseHolder:
    """A host that renews its lease, as the planner knows it.

    `expires` is the latest end of the last lease that this planner issued to
    it, for `leased_life` and at `leased_at`; 0 once the host has given it up.
    `last_contact` is when the last renewal under the present term arrived;
    `confirmed_contact` is a time after which the host has
    certainly sent one. `ready_since` is when it first reported a live backend
    server, `plan_sent_at` when it was last sent a plan or a plan change.

    `grants_end` is the latest end of grants at its backend server that the
    plan does not cover, and `grants_reported_at` when the last renewal arrived
    that was certainly sent after the one before it. `held_fences` are the
    fencing tokens of pieces that were handed over to it and that it holds.
    Until `cold_until` its backend server is cold. `slowness` is as in its last
    renewal. `reports` are the renewals whose load figures the planner has not
    read yet.
    """

    host_id: str
    address: str
    service: str
    expires: int = 0
    leased_life: ranges.Life | None = None
    leased_at: int = 0
    last_contact: int = 0
    confirmed_contact: int = 0
    ready_since: int | None = None
    plan_sent_at: int | None = None
    life: ranges.Life | None = None
    slots: int = 0
    is_leaving: bool = False
    has_store: bool = True
    wait_ms: int = 0
    grants_end: int = 0
    grants_reported_at: int = 0
    held_fences: frozenset[int] = frozenset()
    cold_until: int = 0
    slowness: float = 1
    reports: list = attrs.Factory(list)


@records.define
class PlanRow:
    """The newest plan of a service that this agent knows.

    `row_version` is the version of the store's row.
    """

    plan: ranges.Plan
    row_version: int


@records.define
class PlanWrite:
    """A plan that the planner is writing to the store.

    `failed_at` is when the call ended without a response, None before that. The
    write may still take effect until the version of the role's row changes.
    `losing_hosts` are the hosts that would lose keys without having released
    them, found by comparing it with version `compared_version` of the plan.
    """

    plan: ranges.Plan
    failed_at: int | None = None
    compared_version: int | None = None
    losing_hosts: frozenset[str] = frozenset()


class HoldingState(enum.StrEnum):
    """State of a holding: not granted yet, granted, or being released."""

    GRANTING = 'granting'
    HELD = 'held'
    RELEASING = 'releasing'


@records.define
class Holding:
    """A range of keys granted to the local backend server.

    `start` and `end` are inclusive. `fence` is the fencing token of the grant,
    `life` the run of the backend server that got it. `handover` is the token
    of the former owner's release, passed on with the first grant; `token` is
    the token that the backend server returned for its own release.

    `ticket` is that of the grant or release in flight, 0 if there is none.
    `sent_at` and `hold_ms` are the send time and the duration of the last
    grant. `granted_until` is when the last accepted grant ends, counted from
    its send time; `unconfirmed_until` is the latest end of a grant that got no
    response. Nothing is sent before `retry_at`. `is_stale` holdings were
    granted to a former life of the backend server. At `doubted_at` no
    connection to the run that holds the keys was left, 0 if there is one.
    """

    service: str
    start: int
    end: int
    fence: int
    life: ranges.Life
    handover: str = ''
    token: str = ''
    state: HoldingState = HoldingState.GRANTING
    ticket: int = 0
    sent_at: int = 0
    hold_ms: int = 0
    granted_until: int = 0
    unconfirmed_until: int = 0
    retry_at: int = 0
    is_stale: bool = False
    doubted_at: int = 0

    @property
    def size(self):
        """Number of keys in the range."""
        return self.end - self.start + 1

    def covers(self, key):
        """Return whether `key` lies in the range."""
        return self.start <= key <= self.end


@records.define(frozen=True)
class ReportedFigures:
    """What a host has reported of its capacity; `mean_ms` is its work time."""

    host_id: str
    life: ranges.Life | None
    slots: int
    slowness: float
    is_leaving: bool
    mean_ms: float | None


@records.define
class PlanFault:
    """A step of planning that raises, for one service or host, the `entity`.

    It has raised `count` times since `since`, at last with `detail` at
    `place`, on the `figures` that hosts had reported. It is tried again at
    `retry_at`, or as soon as they report others.
    """

    entity: str
    step: str
    since: int
    count: int = 0
    retry_at: int = 0
    place: str = ''
    detail: str = ''
    figures: tuple[ReportedFigures, ...] = ()


@records.define
class Handover:
    """The handover token of a released range, kept until `expires`.

    It is sent repeatedly until the new owner acknowledges it.
    """

    token: str
    expires: int
    is_acknowledged: bool = False


@records.define
class LoadReport:
    """Load since the last renewal, for the planner.

    `buckets` counts the arrived requests by bucket of the key space. `busy_ms`
    is the time that the `done` finished requests took at the backend server.
    """

    buckets: collections.Counter = attrs.Factory(collections.Counter)
    busy_ms: float = 0
    done: int = 0
