"""Rows of ownership: leases, promises, votes, slots held by this host."""

import enum

import attrs

from laburnumlatch.slots import planrows


@attrs.define
class Lease:
    """What one witness has promised to this host.

    `sent` holds the times in ms at which renewals that are not answered yet
    were sent, by sequence number.
    """

    witness: planrows.Incarnation
    until: int = 0
    version: int = 0
    barred: bool = False
    sent: dict[int, int] = attrs.Factory(dict)


@attrs.define
class Promised:
    """What this agent has promised to one host, and its final vote.

    `claimant` is the incarnation number of the host that claims its slots.
    `acked` are those of `receivers` that have the vote; the receivers are
    taken from the plan of `receivers_version`.
    """

    host: planrows.Incarnation
    service: str
    until: int
    claimant: int = 0
    vote_version: int | None = None
    heir: int = 0
    receivers: frozenset[planrows.Incarnation] = frozenset()
    receivers_version: int = 0
    acked: set[planrows.Incarnation] = attrs.Factory(set)


class SlotState(enum.StrEnum):
    """What this host has of a slot."""

    PENDING = 'pending'
    HELD = 'held'
    RELEASED = 'released'


@attrs.define
class Slot:
    """A slot whose chain names this host.

    `since` is that of the chain under which it was released. A held slot is
    not served before `serve_from`. The backend server has accepted a grant
    for `accepted_token` until `accepted_until`; `granted_until` is the latest
    time at which any grant given to it may still be live.
    """

    service: str
    number: int
    state: SlotState = SlotState.PENDING
    epoch: int = 0
    since: int = 0
    serve_from: int = 0
    heir_wait: int | None = None
    accepted_token: int = 0
    accepted_until: int = 0
    granted_until: int = 0
    acked: set[planrows.Incarnation] = attrs.Factory(set)

    @property
    def is_held(self):
        """Tell whether this host holds the slot, given a valid lease."""
        return self.state == SlotState.HELD


@attrs.define(frozen=True)
class Taken:
    """A takeover that another host announced before the plan shows it."""

    host_id: str
    epoch: int


@attrs.define(frozen=True)
class Retired:
    """An earlier incarnation of this host that lost its witnesses.

    `excluded` is the plan version before which no majority can fence it.
    """

    host: planrows.Incarnation
    service: str
    excluded: int


@attrs.define
class Recovery:
    """A slot that no chain leads to, which this host is to recover.

    `free` holds, by host ID, the incarnations that have confirmed that they
    do not hold it under the plan of `version` or an older one.
    """

    service: str
    number: int
    due: int
    version: int = 0
    free: dict[str, planrows.Incarnation] = attrs.Factory(dict)


@attrs.define(frozen=True)
class Given:
    """Grants on their way to the backend server.

    `ends` are (slot, token, end in ms by this agent's clock); the end of a
    revoked grant is 0.
    """

    ends: tuple[tuple[int, int, int], ...]
    sent: int

    def split(self, slots):
        """Return the grants for `slots`, and the others or None."""
        answered = tuple(end for end in self.ends if end[0] in slots)
        left = tuple(end for end in self.ends if end[0] not in slots)
        return (
            Given(answered, self.sent),
            Given(left, self.sent) if left else None,
        )


class Departure(enum.StrEnum):
    """How far this host has got in leaving."""

    NO = 'no'
    FINISHING = 'finishing'
    SURRENDERED = 'surrendered'
    DONE = 'done'


@attrs.define
class Proposal:
    """A plan that this agent has written and awaits the answer for."""

    ticket: str
    service: str
    body: bytes
    expected_version: int
    sent: int


@attrs.define(frozen=True)
class PlannerRole:
    """The row of the store that names the planner; `term` only changes."""

    planner: planrows.Incarnation
    term: int


@attrs.define
class Role:
    """The planner role as this agent sees it.

    `seen` is the time in ms at which `version` of the row came, `plan_from`
    the time from which a first plan of a service may be written.
    """

    version: int = 0
    seen: int = 0
    planner: planrows.Incarnation | None = None
    term: int = 0
    plan_from: dict[str, int] = attrs.Factory(dict)


@attrs.define
class Standing:
    """State of this host as an owner.

    `unleased_since` is the time in ms since which this host has had
    witnesses but no lease, or None. `settled` is the `since` of the newest
    witness set whose former set this host no longer counts. `index` lists
    the slots whose chain names this host, `earlier` the earlier incarnations
    of it that still stand in a chain, both for the plan and incarnation in
    `index_key`. A host with `rejoins` starts anew once it has left. `scanned`
    holds the plan version by service that the witness part has seen. Grants
    whose delivery is uncertain may be live until `unclear_until`. `confirmed`
    holds, by slot, the newest plan version under which this host has
    confirmed not to take it.
    """

    sequence: int = 0
    unleased_since: int | None = None
    proposed: int = 0
    settled: int = 0
    departure: Departure = Departure.NO
    departure_since: int = 0
    is_stopping: bool = False
    rejoins: bool = False
    index_key: tuple[int, planrows.Incarnation] | None = None
    index: tuple[int, ...] = ()
    earlier: tuple[planrows.Incarnation, ...] = ()
    scanned: dict[str, int] = attrs.Factory(dict)
    given: Given | None = None
    unclear_until: int = 0
    confirmed: dict[int, int] = attrs.Factory(dict)

    @property
    def is_gone(self):
        """Tell whether this incarnation has given up its lease."""
        return self.departure in {Departure.SURRENDERED, Departure.DONE}
