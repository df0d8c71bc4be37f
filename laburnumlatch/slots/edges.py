"""Base of the HTTP handlers that answer callers, and the clear refusals."""

import asyncio

from tornado import web

from laburnumlatch.slots import headers
from laburnumlatch.slots import requestmsg

# A caller that still sends its body may read its answer only after it; a
# connection that closes on unread bytes would destroy that answer.
LINGER_S = 1
STATUS_NOT_FOUND = 404


class RefusedError(ValueError):
    """A request that cannot be used; `status` is that of its answer."""

    def __init__(self, status, problem):
        """Keep the HTTP status; `problem` names what and where."""
        super().__init__(problem)
        self.status = status


@web.stream_request_body
class EdgeHandler(web.RequestHandler):
    """Drops bodies and refuses bad input with an `Outcome` header."""

    def initialize(self, front):
        """Keep the front end that this handler belongs to."""
        self._front = front
        self._body_ended = False
        self._is_answered = False

    async def data_received(self, chunk):
        """Drop body bytes."""

    def write_error(self, status_code, **_details):
        """Write what tornado itself refuses: methods, paths, encodings."""
        self.refuse_input(
            status_code,
            f'{self.request.method} {self.request.path}: '
            'expected a method and a path of this interface',
        )

    def refuse_input(self, status, problem):
        """Answer that a request cannot be used and was not run."""
        self.set_status(status)
        self.set_header('Content-Type', 'text/plain; charset=utf-8')
        self.set_header(headers.OUTCOME, requestmsg.Outcome.NOT_RUN)
        self.end(f'{problem}\n'.encode())

    def end(self, body):
        """Write the whole answer, and linger while a body still comes."""
        if self._is_answered:
            return
        self._is_answered = True
        if self._body_ended or not self._expects_body():
            self.finish(body)
            return
        self.set_header('Content-Length', str(len(body)))
        self.set_header('Connection', 'close')
        self.write(body)
        self.flush()
        self.linger()

    def linger(self):
        """Finish when the body has ended, or after `LINGER_S`."""
        asyncio.get_running_loop().call_later(LINGER_S, self.finish_once)

    def finish_once(self):
        """Finish the answer unless that has happened."""
        if not self._finished:
            self.finish()

    def _expects_body(self):
        fields = self.request.headers
        length = fields.get('Content-Length', '0')
        return length != '0' or 'Transfer-Encoding' in fields


class UnknownPathHandler(EdgeHandler):
    """Any path that is not of this interface."""

    def prepare(self):
        """Refuse the request before its body is read."""
        self.refuse_input(
            STATUS_NOT_FOUND,
            f'path {self.request.path!r}: expected '
            '/call/<service>/<operation>/<key> or /owner/<service>/<key>',
        )
