"""Row classes of the tables that one agent keeps in memory."""

import enum

import attrs
from hdrh import histogram

from laburnumlatch.core import records
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes


class HostState(enum.StrEnum):
    """Whether the backend server of a host takes requests.

    The values are stored in the row of the host.
    """

    READY = 'ready'
    DRAINING = 'draining'
    LEFT = 'left'


class RequestState(enum.StrEnum):
    """Stage of a request in this agent.

    A `PARKED` request waits for `placement`, which chooses a host for it at
    its due time. A `QUEUED` one waits for a slot of the local backend server.
    A `HELD` one waits for the end of earlier requests of its connection.
    """

    HELD = 'held'
    PARKED = 'parked'
    QUEUED = 'queued'
    FORWARDED = 'forwarded'
    RUNNING = 'running'


@records.define(frozen=True)
class HostRecord:
    """Description of a host, as its own agent writes it to the store.

    `domain` is the failure domain, `address` that of the agent for other
    agents. `life` identifies the current run of the backend server, None if
    none has announced itself; `slots` is how many requests that server runs
    at a time. `cores` and `link_mbps` describe the machine. The record is
    stored by field names.
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


@records.define
class RoundTrip:
    """Network time to a host and back for requests of one route.

    `mean_ms` is a moving average; `updated_at` is when the last response was
    included.
    """

    mean_ms: float
    updated_at: int = 0


@records.define
class Host:
    """A host as this agent knows it.

    `version` is the store version of `record`. `in_flight` counts the
    requests that this agent has forwarded there and that have not ended.
    `wait_ms` is the expected wait of a new request in the queue there, as
    the host reported it at `reported_at`, and `waits` that by rank, empty if
    it is the same for all. `work_ms` and `round_trips` have
    an entry for each route: the work time that the host expects, as reported
    with its responses, and the network time measured by this agent.
    `failure_ratio` is the moving average share of responses that are server
    errors. Until `avoid_until` the host is used only if no other is left.
    `failures` counts consecutive attempts that did not reach it, the last of
    them at `failed_at`. Until `cold_until` its backend server is cold.
    """

    record: HostRecord
    version: int
    in_flight: int = 0
    wait_ms: float = 0
    reported_at: int = 0
    waits: tuple[int, ...] = ()
    failure_ratio: float = 0
    work_ms: dict[str, int] = attrs.Factory(dict)
    round_trips: dict[str, RoundTrip] = attrs.Factory(dict)
    avoid_until: int = 0
    failures: int = 0
    failed_at: int = 0
    cold_until: int = 0

    @property
    def host_id(self):
        """Identity of the host."""
        return self.record.host_id


@records.define
class Evacuation:
    """An operator's request to send nothing to the servers of a domain.

    `begun_at` is the earliest time at which it may have begun, in ms of the
    agent's clock; None if that is unknown. `is_known` is whether there is such
    a domain, None as long as that is not determined.
    """

    domain: str
    begun_at: int | None
    is_known: bool | None = None


@records.define
class ServerLoad:
    """Load that the local backend server reports with its responses.

    `running` and `waiting` are numbers of requests. `slowness` is how long
    work takes on that machine, averaged over about a request, and
    `usual_slowness` the mean of it over seconds; 1 is the usual speed.
    `reported_at` is when the last report came.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 1
    usual_slowness: float = 1
    reported_at: int = 0


@records.define
class Backend:
    """The backend server on the host of this agent.

    `life` identifies its current run. `running` counts the requests that it
    is processing and never exceeds `slots`. `sequence` is the number of the
    newest announcement, `last_announced` when it came, `joined_at` when the
    first announcement of this life came. From `closing_at` on no request may
    reach the server; None if it is not leaving. `failures` counts consecutive
    exchanges without a response. `failed_since` is when the server was found
    to be down, None if it is not. From `resume_at` on it is tried again if it
    has announced itself after `failed_since`. `last_response` is when its
    last response came. Until `cold_until` the server is cold. `start_tokens` is
    what `pacing.pace` had left at `tokens_at`: none at first, as an earlier
    process may just have sent requests. `load` is what it reported last.
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
    cold_until: int = 0
    start_tokens: float = 0
    tokens_at: int = 0
    load: ServerLoad = attrs.Factory(ServerLoad)


@records.define
class WorkTime:
    """Mean work time of a route at the local backend server.

    The work time of a request runs from when it is sent to that server until
    the response comes. `count` is the number of requests in the mean, and
    `mean_square` the mean of the squares of their work times, in ms.
    """

    mean_ms: float
    count: int = 0
    mean_square: float = 0


@records.define
class Counter:
    """A counter metric, counted from the start of the agent."""

    name: str
    labels: dict
    total: int = 0


@records.define
class Latency:
    """Histogram of the time until callers got their responses, in ms.

    There is one for each service and kind of request.
    """

    service: str
    kind: routes.Kind
    recorded: histogram.HdrHistogram


@records.define
class CallerConnection:
    """A caller's connection with open requests: their numbers, in order."""

    number: int
    open_numbers: list[int] = attrs.Factory(list)


@records.define
class Request:
    """One request in this agent, from its arrival to its outcome.

    Times are in ms of the agent's clock. `caller_deadline` is when the caller
    stops waiting; `deadline` is earlier if the route has a shorter timeout.
    `target_ms` is the time from `arrived_at` within which the response should
    come. `plan_version` is the version of the plan by which the host was
    chosen, 0 if there was none.

    An exchange is one attempt to send the request to the local backend server
    or to another agent. `exchange` is the number of the current one, which
    began at `started_at`; events of earlier exchanges are ignored. `attempts`
    bounds the retries after failures. `connection` is the number of the
    caller's connection, 0 if there is none. `sender` is the host that
    forwarded the request here, empty if it came from a caller on this host;
    `sender_exchange` is the number of the exchange at the sender.

    `tokens_taken` is what the last send to the local backend server has taken
    from `pacing.pace`.

    `backend_sends` counts exchanges in which a backend server may have
    received the request, and `may_have_run` is set once one of them may have
    run it. `tried_hosts` are the hosts of exchanges that failed or refused.
    `times_parked` counts how often the request was parked, `last_reason` says
    why it was parked last. `is_detached` is set when nobody waits for the
    response any more.

    `is_nested` marks a call made by a request that runs at a backend server.
    `parent_route` is the route of that request, known on its host only. `rank`
    is the more urgent of its own priority and that of the request that began
    the chain of calls, `origin_deadline` the time at which that one must end,
    and `origin_target_end` the end of its target time; for other requests they
    are their own.

    `regions` are those whose hosts the request may reach, None if all.

    `later_finished` counts requests of the route that were started later but
    finished first; a retry counts as `silence.MIN_LATER_FINISHED` of them.
    `decisions` have not been logged yet; once `is_logged_immediately` is set,
    each decision is logged when it is made.
    """

    number: int
    head: messages.Head
    body: bytes
    service: str
    kind: routes.Kind
    priority: int
    attempts: int
    arrived_at: int
    deadline: int
    target_ms: int
    sender: str = ''
    connection: int = 0
    route: str = ''
    caller_deadline: int = 0
    state: RequestState = RequestState.PARKED
    host_id: str = ''
    exchange: int = 0
    sender_exchange: int = 0
    started_at: int = 0
    tokens_taken: float = 0
    backend_sends: int = 0
    times_parked: int = 0
    tried_hosts: list[str] = attrs.Factory(list)
    last_reason: messages.Reason = messages.Reason.NO_HOST
    is_detached: bool = False
    may_have_run: bool = False
    plan_version: int = 0
    is_nested: bool = False
    parent_route: str = ''
    rank: int = 0
    origin_deadline: int = 0
    origin_target_end: int = 0
    regions: frozenset[str] | None = None
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

        A response to the earlier exchange has the same request ID and must
        not be taken for the response to the current one.
        """
        return self.sender_exchange > 1 or self.exchange > 1

    @property
    def request_id(self):
        """The request ID that the caller chose."""
        return self.head.request_id
