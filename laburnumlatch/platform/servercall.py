"""A call to a server and its outcome."""

from collections import abc

import attrs

from laburnumlatch.core import headfields
from laburnumlatch.core import records


@records.define(frozen=True)
class ServerResponse:
    """Complete response to a call.

    `is_first` says that it is the first on its connection, so that it cannot
    be an earlier response sent once more.
    """

    status: int
    fields: headfields.HeadFields
    body: bytes
    is_first: bool

    def get(self, name, default=None):
        """Return the text of a field; of a repeated one, all joined by `,`."""
        return self.fields.get(name, default)


@records.define(frozen=True)
class CallFailure:
    """A call without a complete response.

    `is_sent` says that bytes of it may have reached the server, `is_stale`
    that a kept connection closed before the first byte of a response.
    """

    detail: str
    is_sent: bool
    is_stale: bool = False


@attrs.define(eq=False)
class ServerCall:
    """One request to the server at `address` (`ip:port`).

    `head` and `body` are its bytes, `method` its method. A response with
    another request ID than `request_id` is that of another request.

    A call goes to a kept connection that has rested at most `max_rest_ms`, if
    all calls on it were of the same `group`, and to a new one if none is kept
    and it `may_connect`. Its own connection is kept if
    `keeps_connection` is set, with `keeps_after_success` only behind a success
    response. `on_end` is called once with a `ServerResponse` or a
    `CallFailure`, at the latest after `timeout_ms`. `was_sent` says that bytes
    of it may have reached the server. `output` is the
    `requestoutput.RequestOutput` of its connection, None before it has one.
    """

    address: str
    method: str
    head: bytes
    body: bytes
    timeout_ms: int
    on_end: abc.Callable
    request_id: str = ''
    max_rest_ms: int = 0
    group: str = ''
    may_connect: bool = True
    keeps_connection: bool = True
    keeps_after_success: bool = False
    was_sent: bool = False
    is_done: bool = False
    connection: object = None
    output: object = None
    timer: object = None

    @property
    def needs_new_connection(self):
        """Whether no kept connection may be used."""
        return not self.max_rest_ms

    @property
    def unread_bytes(self):
        """Bytes of the body that have not left the process, about."""
        size = len(self.body)
        if self.output is None:
            return size
        return min(size, self.output.unsent_bytes)

    def fail(self, detail, *, is_stale=False):
        """Report that there is no complete response, and why."""
        self.end(CallFailure(detail, self.was_sent, is_stale))

    def end(self, outcome):
        """Report the outcome, unless the call has ended or was canceled."""
        if not self.is_done:
            self.is_done = True
            self.timer.cancel()
            self.on_end(outcome)
