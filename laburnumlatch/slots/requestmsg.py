"""Messages about requests between front ends and systems.

No message names a protocol: a front end for another one can use them as they
are. Durations are in ms. `number` is the request's number in this agent.
"""

import enum

import attrs


class Outcome(enum.StrEnum):
    """What a caller learns about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.StrEnum):
    """Why a request was refused or its outcome is unknown."""

    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_OPERATION = 'unknown-operation'
    BODY_TOO_LARGE = 'body-too-large'
    NOT_READY = 'not-ready'
    NOT_OWNER = 'not-owner'
    NO_OWNER = 'no-owner'
    QUEUE_FULL = 'queue-full'
    TOO_LATE = 'too-late'
    SERVER_DOWN = 'server-down'
    SHED = 'shed'
    DRAINING = 'draining'
    DUPLICATE = 'duplicate'
    NO_RECORD = 'no-record'
    BROKEN = 'broken'
    DEADLINE = 'deadline'


class Phase(enum.StrEnum):
    """How far an exchange had come when it broke.

    `UNSENT`: no byte of the request was written. `SENT`: some may have been,
    no byte of the answer has come. `ANSWERING`: the answer had begun.
    """

    UNSENT = 'unsent'
    SENT = 'sent'
    ANSWERING = 'answering'


@attrs.define(frozen=True)
class Answer:
    """A whole answer small enough to keep for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# From front ends to systems.


@attrs.define(frozen=True)
class RequestArrived:
    """A caller or another agent sent a request.

    `attempt` and `epoch` are the caller's, None if not given. An empty
    `request_id` asks for one. `forward_exchange` numbers the exchanges of the
    agent that forwards, and `is_repeat` tells that one of them may have run
    the request. `time_left_ms` None means the operation's
    deadline. `body_bytes` None means a length that is not known.
    """

    number: int
    request_id: str
    service: str
    operation: str
    key: str
    attempt: int | None = None
    epoch: int | None = None
    time_left_ms: int | None = None
    body_bytes: int | None = None
    forwarded_from: str = ''
    forward_exchange: int = 1
    is_repeat: bool = False


@attrs.define(frozen=True)
class OwnerAsked:
    """A caller asks who owns a key."""

    number: int
    service: str
    key: str


@attrs.define(frozen=True)
class CallerLeft:
    """The caller's connection closed before the whole answer was written."""

    number: int


@attrs.define(frozen=True)
class AnswerBegan:
    """The head of an answer came from a backend server or another agent.

    `outcome` and `reason` are the other agent's; a backend server's answer is
    `ANSWERED`, or `NOT_RUN` with `SHED` if the server refused the work, or
    with `NOT_OWNER` if it refused the fence token.
    `replayable` tells whether the request body can still be sent again.
    """

    number: int
    exchange: int
    outcome: Outcome
    reason: Reason | None = None
    retry_after_ms: int = 0
    epoch: int = 0
    owner: str = ''
    replayable: bool = True


@attrs.define(frozen=True)
class AnswerEnded:
    """The whole answer came; `answer` is kept if it is small."""

    number: int
    exchange: int
    answer: Answer | None = None


@attrs.define(frozen=True)
class ExchangeBroke:
    """An exchange ended without a whole answer."""

    number: int
    exchange: int
    phase: Phase
    detail: str = ''
    replayable: bool = True


# From systems to front ends.


@attrs.define(frozen=True)
class Forward:
    """Pass the request to another agent."""

    number: int
    exchange: int
    host_id: str
    address: str
    request_id: str
    attempt: int
    epoch: int | None
    time_left_ms: int
    fresh_connection: bool
    is_repeat: bool = False


@attrs.define(frozen=True)
class Send:
    """Pass the request to the local backend server under a fence token."""

    number: int
    exchange: int
    address: str
    request_id: str
    operation: str
    key: str
    slot: int
    token: int
    time_left_ms: int
    fresh_connection: bool


@attrs.define(frozen=True)
class Relay:
    """Pass the answer of this exchange to the caller as it comes."""

    number: int
    exchange: int
    request_id: str
    epoch: int
    owner: str


@attrs.define(frozen=True)
class Refuse:
    """Tell the caller the outcome; there is no answer to pass on."""

    number: int
    request_id: str
    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    epoch: int = 0
    owner: str = ''


@attrs.define(frozen=True)
class Replay:
    """Give the caller the kept answer of an earlier attempt."""

    number: int
    request_id: str
    answer: Answer
    epoch: int
    owner: str


@attrs.define(frozen=True)
class Cancel:
    """Stop the exchange and close its connection."""

    number: int
    exchange: int


@attrs.define(frozen=True)
class CutOff:
    """Close the caller's connection: the rest of its answer will not come."""

    number: int


@attrs.define(frozen=True)
class Drain:
    """Let the exchange go on to its end although nobody reads its answer."""

    number: int
    exchange: int


@attrs.define(frozen=True)
class TellOwner:
    """Answer an `OwnerAsked`; `host_id` is empty if there is no owner."""

    number: int
    service: str
    key: str
    host_id: str = ''
    address: str = ''
    epoch: int = 0
    reason: Reason | None = None
