"""Rows of the tables of one agent, but for those of ownership."""

import enum

import attrs

from laburnumlatch.slots import requestmsg


class HostState(enum.StrEnum):
    """Life of a backend server and its host."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    LEFT = 'left'


class RequestState(enum.StrEnum):
    """Where a request stands in this agent.

    `PARKED` requests are placed again at a due time; `WAITING` ones wait for
    the outcome of an earlier attempt whose record says that it runs.
    """

    ARRIVED = 'arrived'
    PARKED = 'parked'
    WAITING = 'waiting'
    QUEUED = 'queued'
    FORWARDED = 'forwarded'
    RUNNING = 'running'
    RELAYING = 'relaying'


# States in which a request occupies a slot of the local backend server.
AT_SERVER = frozenset((RequestState.RUNNING, RequestState.RELAYING))


class Prefer(enum.StrEnum):
    """Which measure a service weighs most."""

    AVAILABILITY = 'availability'
    CHURN = 'churn'


@attrs.define(frozen=True)
class RequestClass:
    """Requests of one priority; 0 is served first."""

    name: str
    priority: int
    queue: int


@attrs.define(frozen=True)
class Operation:
    """What callers may ask of a service, and how it may be treated."""

    name: str
    class_name: str
    repeatable: bool
    deadline_ms: int


@attrs.define(frozen=True)
class Service:
    """A service as the accepted configuration describes it."""

    name: str
    team: str
    divided_by_key: bool
    slot_count: int
    checks_grants: bool
    prefer: Prefer
    classes: dict[str, RequestClass]
    operations: dict[str, Operation]
    concurrent: int
    connections: int
    body_bytes: int


@attrs.define(frozen=True)
class Document:
    """A versioned document; a higher version replaces a lower one."""

    kind: str
    name: str
    version: int
    body: bytes

    @property
    def key(self):
        """Identity of the document without its version."""
        return (self.kind, self.name)


@attrs.define
class Host:
    """A host, its backend server and its agent, as this agent knows them.

    Addresses are `ip:port`. `process` is the number of the agent's process, by
    which it is a witness; 0 if that is the incarnation.
    `in_flight` counts this agent's own requests
    there; latency is a moving average of answered requests in ms, slowness
    the time taken over the usual time of the same operation.
    """

    host_id: str
    incarnation: int
    service: str
    region: str
    domain: str
    address: str
    datagram_address: str
    peer_address: str
    state: HostState = HostState.STARTING
    process: int = 0
    in_flight: int = 0
    latency_ms: float = 0
    slowness: float = 1
    reported_load: float = 0
    backoff_until: int = 0


@attrs.define
class Server:
    """The backend server beside this agent.

    `running` requests never exceed `concurrent`. `ready_since` is the time
    in ms at which a cold server began to take work, `failed_since` the time
    since which it has not answered, or None. A server `on_trial` was silent
    and gets one request at a time until it answers one. Until
    `backoff_until` no more than `backoff_limit` requests run.
    """

    server_id: str
    service: str
    address: str
    concurrent: int
    connections: int
    state: HostState = HostState.STARTING
    running: int = 0
    ready_since: int = 0
    backoff_until: int = 0
    backoff_limit: int = 0
    failed_since: int | None = None
    on_trial: bool = False


@attrs.define
class Average:
    """A moving average."""

    mean: float

    def learn(self, sample, weight):
        """Move the mean towards `sample` by the share `weight`."""
        self.mean += weight * (sample - self.mean)


@attrs.define
class Queue:
    """Requests of one class that wait for the local backend server.

    `waiting` holds numbers in order of arrival, `entered` those that are new
    since the last tick. `start_gap_ms` is the average time between two starts
    while requests wait, which is the case if `is_behind`.
    """

    class_name: str
    priority: int
    waiting: dict[int, None] = attrs.Factory(dict)
    entered: list[int] = attrs.Factory(list)
    last_start: int = 0
    start_gap_ms: float = 0
    is_behind: bool = False


@attrs.define
class Request:
    """One request in this agent, from arrival to its outcome.

    Times are of the agent's clock in ms. `exchange` numbers the attempts of
    this agent to pass the request on; events of an older one are ignored.
    `target` is the host of the current exchange, `started` the time at which
    the local backend server got it.

    `attempt` is the caller's count, `forward_exchange` the ingress's exchange
    number: together they order the copies of one request. `is_repeat`
    means that there was an earlier attempt or exchange, `may_have_run` that
    it may have run the request, so that a refusal says `unknown`.
    `claimed_epoch` is the epoch of that attempt.
    `hint` is the owner address that the last refusal named. `detached` means
    that the caller has left and only the record waits for the outcome.
    """

    number: int
    request_id: str
    service: str
    operation: str
    key: str
    slot: int
    class_name: str
    repeatable: bool
    arrived: int
    deadline: int
    body_bytes: int | None = 0
    attempt: int = 1
    forward_exchange: int = 1
    is_repeat: bool = False
    may_have_run: bool = False
    claimed_epoch: int | None = None
    forwarded_from: str = ''
    state: RequestState = RequestState.ARRIVED
    started: int = 0
    exchange: int = 0
    target: str = ''
    epoch: int = 0
    tried: list[str] = attrs.Factory(list)
    hint: str = ''
    waits: int = 0
    repeats: int = 0
    last_reason: requestmsg.Reason = requestmsg.Reason.DEADLINE
    has_record: bool = False
    detached: bool = False

    @property
    def order(self):
        """Order among the copies of one request; later copies are higher."""
        return (self.attempt, self.forward_exchange)

    @property
    def record_key(self):
        """Identity of the record that all copies of the request share."""
        return (self.service, self.operation, self.key, self.request_id)


@attrs.define
class Record:
    """What this agent knows about one non-repeatable request.

    `outcome` is None while request `number` is open. `epoch` is the epoch of
    the slot when the request was taken in here. `order` is that of the newest
    copy that was refused. `answer` is None if it was too large to keep.
    `waiting` holds the numbers of repeats that wait for the outcome.
    """

    key: tuple[str, str, str, str]
    slot: int
    epoch: int
    number: int
    order: tuple[int, int]
    outcome: requestmsg.Outcome | None = None
    reason: requestmsg.Reason = requestmsg.Reason.DUPLICATE
    answer: requestmsg.Answer | None = None
    expires: int = 0
    waiting: list[int] = attrs.Factory(list)


@attrs.define
class RetryWindow:
    """Successes and retries of one second of the agent's clock."""

    second: int
    successes: int = 0
    retries: int = 0
