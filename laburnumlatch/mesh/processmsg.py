"""Messages about the process of the agent: its end, and its limits."""

from laburnumlatch.core import records


@records.define(frozen=True)
class CallersCut:
    """Connections of callers were closed because of a bound.

    `reason` is `memory` or `descriptors`.
    """

    reason: str
    connections: int


@records.define(frozen=True)
class Stopping:
    """The process received the signal to stop."""


@records.define(frozen=True)
class Stopped:
    """All requests have ended, or the grace period is over: end the process.

    Responses that are still being taken may be sent until `ends_at`, in ms of
    the agent's clock.
    """

    ends_at: int
