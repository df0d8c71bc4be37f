"""Frames between agents over kept connections.

`number` and `exchange` are those of the agent that asks.
"""

import attrs

from laburnumlatch.mesh import messages


@attrs.define(frozen=True)
class Hello:
    """First frame of each side of a connection: who speaks.

    `made` is when it was made, in ms of that agent's clock.
    """

    host_id: str
    made: int


@attrs.define(frozen=True)
class Ask:
    """A request for the receiver's backend server.

    It had its time left when the sender's clock showed `made`, in ms.
    """

    forward: messages.Forward
    made: int


@attrs.define(frozen=True)
class Cancel:
    """Nobody waits for the answer any more."""

    number: int
    exchange: int


@attrs.define(frozen=True)
class Answered:
    """The answer to an `Ask`; times as in `messages.ReplyAnswer`."""

    number: int
    exchange: int
    answer: messages.Answer
    wait_ms: int
    work_ms: int
    held_ms: int


@attrs.define(frozen=True)
class Refused:
    """There is no answer to an `Ask`, and why."""

    number: int
    exchange: int
    verdict: messages.Verdict
    reason: messages.Reason
    retry_after_ms: int
    wait_ms: int


@attrs.define(frozen=True)
class Ping:
    """Asks for a `Pong`: the connection may have gone silent."""


@attrs.define(frozen=True)
class Pong:
    """Answers a `Ping`."""


@attrs.define(frozen=True)
class Plan:
    """A plan that the sender, as planner, has written to the store.

    `packed` is the body of the row.
    """

    packed: bytes
    row_version: int


@attrs.define(frozen=True)
class PlanChange:
    """What a plan that the sender has written has new against the last one.

    `packed` is a `planchanges.Change`, `row_version` that of the plan's row.
    """

    packed: bytes
    row_version: int


KINDS = (Hello, Ask, Cancel, Answered, Refused, Ping, Pong, Plan, PlanChange)
