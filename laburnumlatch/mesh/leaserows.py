"""Rows of ownership: the planner role, leases, plans and holdings."""

import collections
import enum

import attrs

from laburnumlatch.mesh import ranges

# A lost host's keys are given away after this time; a planner that has gone
# must be replaced within it, or owners lose their keys.
LEASE_MS = 4000
# Clocks may differ by 2 % each way.
LATEST_END_RATE = 1.04


def latest_end_ms():
    """Return how long a lease lasts at most by another host's clock."""
    return int(LEASE_MS * LATEST_END_RATE)


@attrs.define(frozen=True)
class RoleRecord:
    """The row of the store that names the planner."""

    holder: str
    address: str
    term: int


@attrs.define
class Role:
    """The planner role as this agent knows it; times in ms of its clock.

    `row_version` is that of the row last read or written,
    `row_seen` when it was first seen with that version. As the
    holder: `taken_at` is when this agent took the role, `renewed`
    the time before its last renewal that took effect,
    `majority_at` a time that a majority of the hosts has spoken
    after, `majority_since` when one first had, `has_plans` that
    the plans were read since.
    """

    holder: str = ''
    address: str = ''
    term: int = 0
    row_version: int | None = None
    row_seen: int = 0
    is_held: bool = False
    is_first: bool = False
    former_holder: str = ''
    taken_at: int = 0
    renewed_at: int = 0
    majority_at: int = 0
    majority_since: int | None = None
    pending: str = ''
    sent: int = 0
    has_store: bool = True
    has_plans: bool = False


@attrs.define
class OwnLease:
    """The lease of this host; `expires` in ms of its own clock.

    `answered` is when the planner last answered, `sent` the times at which
    recent renewals were sent, by sequence, `newest` the last sequence that was
    answered. The lease counts only for a host
    that knows the plan of its service in the version of `plan_versions`.
    `made` is that of the newest lease under the present term.
    """

    expires: int = 0
    answered: int = 0
    sequence: int = 0
    newest: int = 0
    sent: dict[int, int] = attrs.Factory(dict)
    planner_has_store: bool = True
    plan_versions: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    made: int = 0

    def covers(self, plan):
        """Tell whether the lease counts for a host that knows `plan`."""
        return all(
            plan.version >= version
            for service, version in self.plan_versions
            if service == plan.service
        )


@attrs.define
class LeaseHolder:
    """A host as the planner knows it.

    `expires` is when the last lease that this planner gave has
    ended for certain, `last_contact` when the host last spoke
    under the present term, `confirmed_contact` a time, by this
    clock, that it has spoken after for certain, `first_contact`
    when it first did, `ready_since` when it first told of a
    backend server, `plan_sent_at` when it was last sent a plan or
    a change.
    """

    host_id: str
    address: str
    service: str
    expires: int = 0
    last_contact: int = 0
    confirmed_contact: int = 0
    first_contact: int | None = None
    ready_since: int | None = None
    plan_sent_at: int | None = None
    life: ranges.Life | None = None
    slots: int = 0
    is_leaving: bool = False
    has_store: bool = True
    wait_ms: int = 0
    grants_end: int = 0
    held_fences: frozenset[int] = frozenset()
    reports: list = attrs.Factory(list)


@attrs.define
class PlanRow:
    """The newest plan of a service that this agent knows.

    `row_version` is the version of the store's row.
    """

    plan: ranges.Plan
    row_version: int


@attrs.define
class PlanWrite:
    """A plan that the planner is writing.

    `failed_at` is when the call ended without an answer, None before
    that: the write may still take effect until the role's row has
    changed. `losing_hosts` would lose keys of plan
    `compared_version` unreleased.
    """

    plan: ranges.Plan
    failed_at: int | None = None
    compared_version: int | None = None
    losing_hosts: frozenset[str] = frozenset()


class HoldingState(enum.StrEnum):
    """Where a range of keys stands at the local backend server."""

    GRANTING = 'granting'
    HELD = 'held'
    RELEASING = 'releasing'


@attrs.define
class Holding:
    """A range of keys at the local backend server.

    `granted_until` is when the last accepted grant ends, counted
    from before it was sent; `unconfirmed_until` when a grant without an
    answer has ended for certain. `handover` is the token to pass
    with the first grant, `token` that of a finished release.
    `is_stale` ones were granted to a former life.
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
    sent: int = 0
    hold_ms: int = 0
    granted_until: int = 0
    unconfirmed_until: int = 0
    retry_at: int = 0
    is_stale: bool = False

    @property
    def size(self):
        """How many keys the range has."""
        return self.end - self.start + 1

    def covers(self, key):
        """Tell whether `key` lies in the range."""
        return self.start <= key <= self.end


@attrs.define
class Handover:
    """The token of a released range, kept until its new owner knows it."""

    token: str
    expires: int
    is_known: bool = False


@attrs.define
class LoadReport:
    """What this host reports to the planner at its next renewal."""

    buckets: collections.Counter = attrs.Factory(collections.Counter)
    busy_ms: int = 0
    done: int = 0
