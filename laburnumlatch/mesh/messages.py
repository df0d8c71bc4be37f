"""Messages between front ends and systems.

No message names a protocol. Durations are in ms. `number` is the number of
the request in this agent.
"""

import enum

import attrs

from laburnumlatch.mesh import routes
from laburnumlatch.mesh import settings as settings_module


class Verdict(enum.StrEnum):
    """What a caller learns if there is no answer to pass on.

    `NOT_RUN` promises that the request has not run and never will.
    `UNKNOWN` and `TIMED_OUT` promise nothing.
    """

    NOT_RUN = 'not-run'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'too-large'
    UNKNOWN = 'unknown'
    TIMED_OUT = 'timed-out'


class Reason(enum.StrEnum):
    """Why there is no answer."""

    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'too-large'
    NO_MEMORY = 'no-memory'
    NO_HOST = 'no-host'
    NO_ROOM = 'no-room'
    NOT_OWNER = 'not-owner'
    SERVER_DOWN = 'server-down'
    SHED = 'shed'
    CALLS_FAIL = 'calls-fail'
    TOO_LATE = 'too-late'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'
    CANCELED = 'canceled'


class Phase(enum.StrEnum):
    """How far an exchange had come when it failed.

    `UNSENT`: no byte of the request was written. `REFUSED`: the other side
    said that it did not run the request. `SENT`: it may have run.
    """

    UNSENT = 'unsent'
    REFUSED = 'refused'
    SENT = 'sent'


@attrs.define(frozen=True)
class Head:
    """A request without its body.

    `target` is the path with the query, `fields` the header fields that are
    passed on, `key` the key that the request is about, or None.
    `caller_service` is the service of the host where the request began.
    """

    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...]
    request_id: str
    key: int | None = None
    caller_service: str = ''


@attrs.define(frozen=True)
class Answer:
    """A whole answer of a backend server."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


# Requests: from front ends to systems.


@attrs.define(frozen=True)
class RequestArrived:
    """A caller on this host sent a whole request.

    `time_left_ms` is how long the caller waits, None if it did not say.
    `read_at` is when the request was read, in ms of the agent's clock, None if
    that is now.
    """

    number: int
    head: Head
    body: bytes
    time_left_ms: int | None
    read_at: int | None = None


@attrs.define(frozen=True)
class CallerLeft:
    """The caller's connection closed before its answer was written."""

    number: int


@attrs.define(frozen=True)
class ForwardArrived:
    """Another agent passed a request on to this host's backend server.

    `read_at` is when it was read, in ms of the agent's clock, None if that is
    now. Before that it spent `waited_ms` more than the usual on its way.
    """

    number: int
    sender: str
    forward: 'Forward'
    read_at: int | None = None
    waited_ms: int = 0


@attrs.define(frozen=True)
class ForwardCanceled:
    """The agent that passed the request on no longer waits for it."""

    number: int


@attrs.define(frozen=True)
class ExchangeEnded:
    """The whole answer came from the backend server or another agent.

    `wait_ms` is how long a new request would wait there, `work_ms` how long
    one of the same route usually takes, `held_ms` how long the other agent
    had this one; None if unknown.
    """

    number: int
    exchange: int
    answer: Answer
    wait_ms: int | None = None
    work_ms: int | None = None
    held_ms: int | None = None


@attrs.define(frozen=True)
class ExchangeFailed:
    """An exchange ended without an answer to pass on.

    `is_verdict` tells that another agent decided it: then `verdict` and
    `retry_after_ms` are what that agent would tell the caller.
    """

    number: int
    exchange: int
    phase: Phase
    reason: Reason
    verdict: Verdict | None = None
    retry_after_ms: int = 0
    wait_ms: int | None = None
    detail: str = ''


# Requests: from systems to front ends.


@attrs.define(frozen=True)
class Deliver:
    """Write the answer to the caller."""

    number: int
    answer: Answer


@attrs.define(frozen=True)
class Refuse:
    """Tell the caller that there is no answer, and why."""

    number: int
    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0


@attrs.define(frozen=True)
class Forward:
    """A request on its way to another agent, whose host is to serve it.

    `number` and `exchange` are the sender's. `plan_version` is that of the
    plan by which the sender chose the host.
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


@attrs.define(frozen=True)
class SendForward:
    """Pass `forward` to the agent of a host."""

    host_id: str
    address: str
    forward: Forward


@attrs.define(frozen=True)
class CancelForward:
    """Tell the agent of a host that nobody waits for an answer."""

    host_id: str
    number: int
    exchange: int


@attrs.define(frozen=True)
class ReplyAnswer:
    """Pass the answer back to the agent that forwarded the request.

    `wait_ms` is how long a new request would wait here, `work_ms` how long
    one of the same route usually takes, `held_ms` how long this one was here.
    """

    number: int
    answer: Answer
    wait_ms: int
    work_ms: int
    held_ms: int


@attrs.define(frozen=True)
class ReplyRefusal:
    """Tell the agent that forwarded the request why there is no answer."""

    number: int
    verdict: Verdict
    reason: Reason
    retry_after_ms: int
    wait_ms: int


@attrs.define(frozen=True)
class Send:
    """Pass the request to the local backend server.

    `fresh_connection` keeps the client from sending it twice by itself.
    """

    number: int
    exchange: int
    address: str
    server_id: str
    head: Head
    body: bytes
    time_left_ms: int
    fresh_connection: bool


@attrs.define(frozen=True)
class CancelSend:
    """Stop the exchange with the backend server and close its connection."""

    number: int
    exchange: int


# Configuration.


@attrs.define(frozen=True)
class ReadConfiguration:
    """Read the configuration that the operator accepted last."""

    ticket: str


@attrs.define(frozen=True)
class WatchConfiguration:
    """Wait up to `wait_ms` for a configuration newer than a store version."""

    ticket: str
    after: int
    wait_ms: int


@attrs.define(frozen=True)
class ConfigurationRead:
    """Accepted configurations, in order; none if nothing has changed."""

    ticket: str
    configurations: tuple[routes.Configuration, ...]
    store_version: int


@attrs.define(frozen=True)
class LimitsChanged:
    """Limits for what callers may send, now in force."""

    limits: routes.Limits


# Life of the process.


@attrs.define(frozen=True)
class SettingsChanged:
    """The settings file has been read again."""

    settings: settings_module.Settings


@attrs.define(frozen=True)
class Stopping:
    """The process has been told to stop."""


@attrs.define(frozen=True)
class Stopped:
    """Everything has been handed over; the process may end."""
