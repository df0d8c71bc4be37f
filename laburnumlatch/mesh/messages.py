"""Messages between front ends and systems.

Front ends post events to the inbox of the agent, systems post commands to its
outbox. No message depends on a protocol, so that another front end can use
the same systems. Durations are in ms; `number` identifies the request within
this agent. `Head`, `Answer` and `Forward` are sent between agents as lists of
their fields, so the order of their fields must not change.
"""

import enum

import attrs

from laburnumlatch.core import headfields
from laburnumlatch.core import records
from laburnumlatch.mesh import routes


class Verdict(enum.StrEnum):
    """Outcome reported to a caller that gets no response of a backend server.

    `NOT_RUN` guarantees that the request has not run and never will.
    `UNKNOWN` and `TIMED_OUT` guarantee nothing: it may run or have run.
    """

    NOT_RUN = 'not-run'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'too-large'
    UNKNOWN = 'unknown'
    TIMED_OUT = 'timed-out'


class Reason(enum.StrEnum):
    """Why there is no response of a backend server.

    `NO_MEMORY`: the bodies held by this process reached their limit.
    `NO_ROOM`: the expected wait in the queue is too long. `NOT_OWNER`: this
    host does not own the key, or its backend server is leaving. `SHED`: the
    backend server refused to run the request. `CALLS_FAIL`: too many nested
    calls of the route fail. `TOO_LATE`: the deadline has passed or would pass.
    `BROKEN`: the exchange with the backend server failed or gave no valid
    response. `REGION`: the host that serves the request is in a region that
    its route does not allow. `AGENT_FAILED`: the agent there has ended by an
    error of its own while it handled the request.
    """

    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'too-large'
    NO_MEMORY = 'no-memory'
    NO_HOST = 'no-host'
    REGION = 'region'
    NO_ROOM = 'no-room'
    NOT_OWNER = 'not-owner'
    SERVER_DOWN = 'server-down'
    SHED = 'shed'
    CALLS_FAIL = 'calls-fail'
    TOO_LATE = 'too-late'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'
    CANCELED = 'canceled'
    AGENT_FAILED = 'agent-failed'


class Phase(enum.StrEnum):
    """How far an exchange had come when it failed.

    `UNSENT`: no byte of the request was written. `REFUSED`: the other side
    reported that there is no response; unless it sent a verdict, this means
    that it did not run the request. `SENT`: the request may have run.
    """

    UNSENT = 'unsent'
    REFUSED = 'refused'
    SENT = 'sent'


@records.define(frozen=True)
class Head:
    """Head of a request: all but its body.

    `target` is the path with the query, `host` the host name that the caller
    asked for. `fields` are the header fields that are forwarded. `key` is the
    key that the request is about, or None. `caller_service` is the service of
    the host whose agent received the request from its caller.
    """

    method: str
    target: str
    host: str
    fields: headfields.HeadFields = attrs.field(converter=headfields.pack)
    request_id: str
    key: int | None = None
    caller_service: str = ''


@records.define(frozen=True)
class ServerLoadReport:
    """Load of a backend server as it reports it with a response.

    `running` and `waiting` are numbers of requests. `slowness` is how long
    work takes on its machine now, 1 as usual; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@records.define(frozen=True)
class Answer:
    """Complete response of a backend server."""

    status: int
    fields: headfields.HeadFields = attrs.field(converter=headfields.pack)
    body: bytes


# Requests: from front ends to systems.


@records.define(frozen=True)
class RequestArrived:
    """A complete request of a caller on this host was received.

    `time_left_ms` is the caller's timeout, None if it sent none. `read_at` is
    when the request was read, in ms of the agent's clock; None means now.
    Requests that wait for their responses in one order have the same
    `connection`; 0 means that the request has no such order.
    """

    number: int
    head: Head
    body: bytes
    time_left_ms: int | None
    read_at: int | None = None
    connection: int = 0


@records.define(frozen=True)
class CallerLeft:
    """The caller closed its connection before the response was written."""

    number: int


@records.define(frozen=True)
class ForwardArrived:
    """Another agent forwarded a request to this host.

    `sender` is the host of that agent. `read_at` is when the request was
    read, in ms of the agent's clock; None means now. `waited_ms` is the delay
    between the agents beyond the usual one.
    """

    number: int
    sender: str
    forward: 'Forward'
    read_at: int | None = None
    waited_ms: int = 0


@records.define(frozen=True)
class ForwardCanceled:
    """The agent that forwarded the request no longer waits for a response."""

    number: int


@records.define(frozen=True)
class ExchangeEnded:
    """A complete response came from the backend server or another agent.

    Another agent sends three durations with the response: `wait_ms` is the
    expected wait of a new request in the queue there, `work_ms` the work time
    that it now expects for the route, and `held_ms` how long it had this
    request. They are None if unknown. `waits` is the expected wait there by
    priority, empty if unknown. The local backend server may report its load,
    `server_load`. `cold_ms` is how long the server of the other host stays
    cold, None if unknown.
    """

    number: int
    exchange: int
    answer: Answer
    wait_ms: int | None = None
    work_ms: int | None = None
    held_ms: int | None = None
    waits: tuple[int, ...] = ()
    server_load: ServerLoadReport | None = None
    cold_ms: int | None = None


@records.define(frozen=True)
class ExchangeFailed:
    """An exchange ended without a response.

    If another agent refused or ended the request, `verdict` and
    `retry_after_ms` are the outcome that it would report to a caller;
    otherwise `verdict` is None. `wait_ms` is the expected wait of a new
    request in the queue there, None if unknown, and `cold_ms` as in
    `ExchangeEnded`. `is_stale` says that a kept connection closed before the
    first byte of a response. `detail` is for log lines.
    """

    number: int
    exchange: int
    phase: Phase
    reason: Reason
    verdict: Verdict | None = None
    retry_after_ms: int = 0
    wait_ms: int | None = None
    is_stale: bool = False
    detail: str = ''
    waits: tuple[int, ...] = ()
    cold_ms: int | None = None


# Requests: from systems to front ends.


@records.define(frozen=True)
class Deliver:
    """Write the response to the caller."""

    number: int
    answer: Answer


@records.define(frozen=True)
class Refuse:
    """Report to the caller that there is no response, and why."""

    number: int
    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0


@records.define(frozen=True)
class Forward:
    """A request that is forwarded to the agent of the host that serves it.

    `number` and `exchange` identify it at the sender. `plan_version` is the
    version of the plan by which the sender chose the host, 0 if the service
    is not divided by key. For a nested call, `rank` is the priority of the
    request that began the chain of calls, `origin_left_ms` the time until that
    one must end, and `origin_target_left_ms` the time until the end of its
    target time, negative if it is over; they are None otherwise. `regions` are
    those whose hosts the request and its nested calls may reach, None if all.
    """

    number: int
    exchange: int
    head: Head
    body: bytes
    service: str
    kind: routes.Kind
    priority: int
    time_left_ms: int
    target_ms: int
    route: str = ''
    plan_version: int = 0
    is_nested: bool = False
    rank: int | None = None
    origin_left_ms: int | None = None
    origin_target_left_ms: int | None = None
    regions: tuple[str, ...] | None = None


@records.define(frozen=True)
class SendForward:
    """Send `forward` to the agent of a host."""

    host_id: str
    address: str
    forward: Forward


@records.define(frozen=True)
class CancelForward:
    """Cancel a forwarded request at the agent of a host."""

    host_id: str
    number: int
    exchange: int


@records.define(frozen=True)
class ReplyAnswer:
    """Return the response to the agent that forwarded the request.

    `wait_ms` is the expected wait of a new request in the queue here,
    `work_ms` the work time now expected for the route, and `held_ms` the time
    since this request arrived here. `waits` is the expected wait by priority,
    the most urgent first; empty if it is the same for all. `cold_ms` is how
    long the server here stays cold.
    """

    number: int
    answer: Answer
    wait_ms: int
    work_ms: int
    held_ms: int
    waits: tuple[int, ...] = ()
    cold_ms: int = 0


@records.define(frozen=True)
class ReplyRefusal:
    """Report to the agent that forwarded the request why no response comes.

    `wait_ms` is the expected wait of a new request in the queue here, `waits`
    that by priority, and `cold_ms`, as in `ReplyAnswer`.
    """

    number: int
    verdict: Verdict
    reason: Reason
    retry_after_ms: int
    wait_ms: int
    waits: tuple[int, ...] = ()
    cold_ms: int = 0


@records.define(frozen=True)
class Send:
    """Send the request to the local backend server.

    `server_id` is the identity under which that server must answer. `is_safe`
    says that the request may be sent again if its outcome is unknown, so it
    may use a kept connection that the server could be about to close. With
    `fresh_connection` it gets a new connection: on a kept one, the response
    to an earlier exchange of it could be taken for its own.
    """

    number: int
    exchange: int
    address: str
    server_id: str
    head: Head
    body: bytes
    time_left_ms: int
    fresh_connection: bool
    is_safe: bool = False


@records.define(frozen=True)
class CancelSend:
    """Abort an exchange with the backend server by closing its connection."""

    number: int
    exchange: int
