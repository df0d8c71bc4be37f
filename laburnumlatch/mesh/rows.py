"""Rows of the tables of one agent."""

import enum

import attrs
from hdrh import histogram

from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes


class HostState(enum.StrEnum):
    """Life of a host and its backend server."""

    READY = 'ready'
    DRAINING = 'draining'
    LEFT = 'left'


class RequestState(enum.StrEnum):
    """Where a request stands in this agent.

    `PARKED` requests are placed again at a due time.
    """

    PARKED = 'parked'
    QUEUED = 'queued'
    FORWARDED = 'forwarded'
    RUNNING = 'running'


@attrs.define(frozen=True)
class HostRecord:
    """What a host says of itself in its row of the store.

    `cores` and `link_mbps` are what its machine has.
    """

    host_id: str
    service: str
    domain: str
    address: str
    state: HostState
    slots: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    life: ranges.Life | None = None
    cores: float = 0
    link_mbps: float = 0


@attrs.define
class RoundTrip:
    """What requests of a route spend on their way to a host and back, in ms.

    `updated_at` is when the last of them was answered.
    """

    mean_ms: float
    updated_at: int = 0


@attrs.define
class Host:
    """A host as this agent knows it.

    `in_flight` counts this agent's own requests there; `wait_ms` is how long
    a new request would wait, as last reported at `reported_at` and grown by own
    requests since. `work_ms` is what requests of a route usually take there,
    as reported with answers, `round_trips` what they spend on their way, as
    seen here. `failure_ratio` is the moving share of answers
    that told of a failure. Until `avoid_until` the host is used only if no
    other is left. `failures` counts tries in a row that did not reach it, the
    last of them at `failed_at`.
    """

    record: HostRecord
    version: int
    in_flight: int = 0
    wait_ms: float = 0
    reported_at: int = 0
    failure_ratio: float = 0
    work_ms: dict[str, int] = attrs.Factory(dict)
    round_trips: dict[str, RoundTrip] = attrs.Factory(dict)
    avoid_until: int = 0
    failures: int = 0
    failed_at: int = 0

    @property
    def host_id(self):
        """Identity of the host."""
        return self.record.host_id


@attrs.define
class Backend:
    """The backend server beside this agent.

    `running` requests never exceed `slots`. `sequence` is that of the newest
    announcement. After `closing_at` no request may reach it, None if it is
    not leaving. `failed_since` is the time since which it has not answered,
    `last_response` when its last answer came.
    """

    life: ranges.Life
    address: str
    slots: int
    sequence: int
    joined_at: int
    running: int = 0
    closing_at: int | None = None
    failed_since: int | None = None
    failures: int = 0
    resume_at: int = 0
    last_announced: int = 0
    last_response: int = 0


@attrs.define(frozen=True)
class Departure:
    """A server said at `announced_at`, Unix ms, that it leaves.

    From `closing_at`, ms of the agent's clock, no request may reach it. A
    life that began later is another server under the same identity.
    """

    announced_at: int
    closing_at: int


@attrs.define
class WorkTime:
    """What requests of a route take at the backend server, from `count`."""

    mean_ms: float
    count: int = 0


@attrs.define
class Counter:
    """How often something happened since the agent started."""

    name: str
    labels: dict
    total: int = 0


@attrs.define
class Latency:
    """Time until callers had their answers, in ms, by service and kind."""

    service: str
    kind: routes.Kind
    recorded: histogram.HdrHistogram


@attrs.define
class Request:
    """One request in this agent, from arrival to its end.

    Times are of the agent's clock in ms. `exchange` numbers the attempts to
    pass the request on; events of an older one are ignored. `sender` is the
    host that forwarded it here, empty for a caller's own request;
    `sender_exchange` is the number of the exchange there. `sends`
    counts exchanges in which a backend server may have got the request;
    `may_have_run` tells that one of them may have run it. `is_nested` tells
    that a request which runs at a backend server waits for this one;
    `parent_route` is that request's route, `parent_due` when its target
    ends, both on its own host only.
    `later_finished` counts later requests of its route that ended before it.
    `decisions` are those not yet written to the log; from
    `is_logged_immediately` on each is written when it is made.
    """

    number: int
    head: messages.Head
    body: bytes
    service: str
    kind: routes.Kind
    priority: int
    attempts: int
    arrived: int
    deadline: int
    target_ms: int
    sender: str = ''
    route: str = ''
    caller_deadline: int = 0
    state: RequestState = RequestState.PARKED
    host_id: str = ''
    exchange: int = 0
    sender_exchange: int = 0
    started: int = 0
    sends: int = 0
    waits: int = 0
    tried: list[str] = attrs.Factory(list)
    last_reason: messages.Reason = messages.Reason.NO_HOST
    is_detached: bool = False
    may_have_run: bool = False
    plan_version: int = 0
    is_nested: bool = False
    parent_route: str = ''
    parent_due: int = 0
    later_finished: int = 0
    decisions: list = attrs.Factory(list)
    is_logged_immediately: bool = False

    @property
    def is_safe(self):
        """Whether the request may run more than once."""
        return self.kind == routes.Kind.SAFE

    @property
    def is_retry(self):
        """Whether an earlier exchange of this request may have begun work.

        An answer to that one bears the same ID, and must not be taken for
        the answer to this one.
        """
        return self.sender_exchange > 1 or self.exchange > 1

    @property
    def request_id(self):
        """The caller's ID of the request."""
        return self.head.request_id
