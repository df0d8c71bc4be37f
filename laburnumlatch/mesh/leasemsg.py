"""Datagrams between agents and the planner, and between owners.

All times are durations in ms. `term` numbers the holders of the planner role.
"""

import attrs

from laburnumlatch.mesh import ranges


@attrs.define(frozen=True)
class Renew:
    """A host asks the planner for its lease and reports on itself.

    `buckets` are (bucket, requests) since the last renewal, for the buckets
    of the key space with arrivals. `busy_ms` is the time of the `done` requests
    at the backend server, `slots` how many may run.
    `grants_end_ms` is how long grants at the backend server may still last.
    `held_fences` are fences of pieces that the host holds now. `lease_made` is
    that of the last lease from the holder of this term, 0 if there was none.
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
    lease_made: int = 0


@attrs.define(frozen=True)
class Lease:
    """The planner's answer: the host may hold its pieces for `valid_ms`.

    0 means that the planner may not issue leases now. `has_store` tells
    whether the planner can write to the store. `plan_versions` are those of
    all divided services, by name; `configuration_version` is that in force
    at the planner. `made` is when it was made, by the planner's clock; the
    host's next renewal shows by it that the host has spoken since.
    """

    holder: str
    address: str
    term: int
    sequence: int
    valid_ms: int
    has_store: bool
    plan_versions: tuple[tuple[str, int], ...] = ()
    configuration_version: int = 0
    made: int = 0


@attrs.define(frozen=True)
class PlannerIs:
    """Who holds the planner role, as far as the sender knows."""

    holder: str
    address: str
    term: int


@attrs.define(frozen=True)
class HandedOver:
    """The former owner, at `sender`, has released a piece of the plan.

    `handover` is the backend server's token, empty if there is none.
    """

    service: str
    start: int
    end: int
    fence: int
    handover: str
    sender: str


@attrs.define(frozen=True)
class HandoverReceived:
    """The new owner knows that the piece has been released."""

    start: int
    end: int
    fence: int


@attrs.define(frozen=True)
class SendDatagram:
    """Send `message` to the agent at `address`, without any guarantee."""

    address: str
    message: Renew | Lease | PlannerIs | HandedOver | HandoverReceived


KINDS = (Renew, Lease, PlannerIs, HandedOver, HandoverReceived)
