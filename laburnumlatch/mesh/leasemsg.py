"""Datagrams between agents: leases of the planner and handovers of keys.

Durations are in ms. `term` rises with each change of the holder of the planner
role. Messages are sent as lists, so the order of the fields must not change.
"""

from laburnumlatch.core import records
from laburnumlatch.mesh import ranges


@records.define(frozen=True)
class Renew:
    """A host requests a renewal of its lease and reports its state.

    `life` and `slots` are those of its backend server: its present run, None
    if it does not respond, and how many requests may run at a time. `wait_ms`
    is how long a new request would wait there. `has_store` is whether the
    host reaches the store. `grants_end_ms` is how long grants that the plan
    does not cover may still last at the backend server, `held_fences` are the
    fencing tokens of pieces that were handed over to the host and that it holds
    now, some of them if there are many. `lease_issued_at` is
    the field `issued_at` of the last lease of this term, 0 if there was none.
    `cold_ms` is how long its backend server stays cold, `slowness` how long
    work took on its machine in the last seconds, 1 at the usual speed.

    The load since the last renewal: `buckets` are pairs (bucket, requests) of
    the buckets with the most arrivals; `busy_us` is the time in microseconds
    that the `done` finished requests took at the backend server, at its usual
    speed. Agents of earlier builds send and read it as `busy_ms` alone.
    """

    host_id: str
    address: str
    term: int
    sequence: int
    service: str
    life: ranges.Life | None
    slots: int
    is_leaving: bool
    has_store: bool
    plan_versions: tuple[tuple[str, int], ...] = ()
    busy_ms: int = 0
    done: int = 0
    wait_ms: int = 0
    grants_end_ms: int = 0
    buckets: tuple[tuple[int, int], ...] = ()
    held_fences: tuple[int, ...] = ()
    lease_issued_at: int = 0
    cold_ms: int = 0
    slowness: float = 1
    busy_us: int = 0


@records.define(frozen=True)
class Lease:
    """The planner's response to a renewal: the host's lease.

    The host may hold its pieces for `valid_ms` from the time at which it sent
    the renewal. `valid_ms` is 0 if the planner may not issue leases now.
    `has_store` is whether the planner can write to the store. `plan_versions`
    are the newest versions of the plans of all divided services, by name;
    `configuration_version` is that in force at the planner. `issued_at` is by
    the planner's clock: the host's next renewal returns it, which proves that
    the renewal was sent after that time. If it `is_provisional`, the plans may
    be older than those in force (see `planepochs`). `operator_version` and
    `members_version` are versions of the store: those of the newest changes by
    the operator and of rows of hosts that the planner knows.
    """

    holder: str
    address: str
    term: int
    sequence: int
    valid_ms: int
    has_store: bool
    plan_versions: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    issued_at: int = 0
    is_provisional: bool = False
    operator_version: int = 0
    members_version: int = 0


@records.define(frozen=True)
class PlannerIs:
    """Announces the holder of the planner role, as known to the sender."""

    holder: str
    address: str
    term: int


@records.define(frozen=True)
class HandedOver:
    """The former owner, at `sender`, has released a piece of the plan.

    `handover` is the token that the backend server returned for the release,
    empty if there is none.
    """

    service: str
    start: int
    end: int
    fence: int
    handover: str
    sender: str


@records.define(frozen=True)
class HandoverReceived:
    """The new owner acknowledges a `HandedOver`."""

    start: int
    end: int
    fence: int


@records.define(frozen=True)
class SendDatagram:
    """Send `message` to the agent at `address`; it may get lost."""

    address: str
    message: Renew | Lease | PlannerIs | HandedOver | HandoverReceived


KINDS = (Renew, Lease, PlannerIs, HandedOver, HandoverReceived)
