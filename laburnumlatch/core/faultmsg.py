"""Messages about faults of this process, from the engine to the systems."""

from laburnumlatch.core import records


@records.define(frozen=True)
class MessageFailed:
    """An outgoing message could not be carried out.

    `kind` is the name of its class.
    """

    kind: str


@records.define(frozen=True)
class CallbackFailed:
    """A callback of the loop has raised: input of a front end, or a timer."""
