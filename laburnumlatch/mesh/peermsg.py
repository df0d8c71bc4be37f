"""Messages between agents, sent as frames over persistent connections.

Fields are encoded as a list, so their order and that of `KINDS` are part of
the protocol. `number` and `exchange` are the numbers that the requesting
agent gave to the request and to this attempt.
"""

from laburnumlatch.core import records
from laburnumlatch.mesh import messages


@records.define(frozen=True)
class Hello:
    """First frame of each side of a connection; identifies the sender.

    `created_at` is in ms of the sender's clock. `reads_parts` says that the
    sender takes bodies in parts; agents of earlier builds do not.
    """

    host_id: str
    created_at: int
    reads_parts: bool = False


@records.define(frozen=True)
class Ask:
    """A request for the receiver's backend server.

    The time left in `forward` counts from `created_at`, in ms of the
    sender's clock. If `body_bytes` is not 0, the body is that long and follows
    in `BodyPart`s; `forward` has an empty one.
    """

    forward: messages.Forward
    created_at: int
    body_bytes: int = 0


@records.define(frozen=True)
class Cancel:
    """Cancels an `Ask`: its response is no longer needed."""

    number: int
    exchange: int


@records.define(frozen=True)
class Answered:
    """The response to an `Ask`; times as in `messages.ReplyAnswer`.

    `body_bytes` is as in `Ask`. `cold_ms` is None from an earlier build.
    """

    number: int
    exchange: int
    answer: messages.Answer
    wait_ms: int
    work_ms: int
    held_ms: int
    body_bytes: int = 0
    waits: tuple[int, ...] = ()
    cold_ms: int | None = None


@records.define(frozen=True)
class Refused:
    """Reports that an `Ask` ended without a response, with the reason.

    `waits` is as in `messages.ReplyRefusal`.
    """

    number: int
    exchange: int
    verdict: messages.Verdict
    reason: messages.Reason
    retry_after_ms: int
    wait_ms: int
    waits: tuple[int, ...] = ()
    cold_ms: int | None = None


@records.define(frozen=True)
class Ping:
    """Requests a `Pong`, to check a connection that has gone silent."""


@records.define(frozen=True)
class Pong:
    """Response to a `Ping`."""


@records.define(frozen=True)
class Plan:
    """A plan that the sender, as planner, has written to the store.

    `packed` is the compressed `ranges.Plan`, `row_version` the version of
    its row in the store.
    """

    packed: bytes
    row_version: int


@records.define(frozen=True)
class PlanChange:
    """The difference between a new plan of the sender and the one before it.

    `packed` is a compressed `planchanges.Change`, `row_version` the version
    of the new plan's row in the store.
    """

    packed: bytes
    row_version: int


@records.define(frozen=True)
class BodyPart:
    """The next part of the body that an `Ask` or `Answered` announced."""

    number: int
    exchange: int
    part: bytes


KINDS = (
    Hello,
    Ask,
    Cancel,
    Answered,
    Refused,
    Ping,
    Pong,
    Plan,
    PlanChange,
    BodyPart,
)
