"""Splits the bytes of a connection to a server into responses.

The parser is llhttp in its strict mode, through httptools.
"""

import abc

import attrs
import httptools

from laburnumlatch.core import errors
from laburnumlatch.core import headfields
from laburnumlatch.mesh import statuses
from laburnumlatch.platform import bodyprogress

# Far above any head of a response; more than this without its end, or without
# bytes of a body, is no response.
MAX_HEAD_BYTES = 65_536
PIECE_BYTES = 65_536
MIN_INTERIM_STATUS = 100
MAX_INTERIM_STATUS = 199
# Statuses of responses that have no body, whatever length they announce.
BODILESS_STATUSES = frozenset((204, 304))
CHUNKED = 'chunked'


class MalformedResponseError(errors.LaburnumlatchError):
    """The bytes are not a response."""


@attrs.define(frozen=True)
class ResponseHead:
    """Head of a response as it was read.

    `keeps_alive` says whether the server takes another request on the
    connection. If `has_length` is not set, the
    body ends with the connection. `body_bytes` is the length of the body, 0 if
    there is none or its length is not known.
    """

    status: int
    fields: headfields.HeadFields
    keeps_alive: bool
    has_length: bool
    body_bytes: int = 0

    def get(self, name, default=None):
        """Return the text of a field; of a repeated one, all joined by `,`."""
        return self.fields.get(name, default)


class ResponseSink(abc.ABC):
    """Receives the parts of responses in the order in which they came."""

    @abc.abstractmethod
    def head_received(self, head):
        """Begin a response; `head` is a `ResponseHead`."""

    @abc.abstractmethod
    def body_received(self, chunk):
        """Append bytes to the body of the response."""

    @abc.abstractmethod
    def response_complete(self):
        """End the response."""


class ResponseParser:
    """Parser of one connection; passes what it reads to a `ResponseSink`.

    Interim responses (1xx) are left out.
    """

    def __init__(self, sink):
        """Start before the first response."""
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        # Names and texts of the head, each with a line end behind it.
        self._fields = bytearray()
        self._is_interim = False
        self._is_in_head = False
        self._is_in_response = False
        self._problem = ''
        self._body = bodyprogress.announced(headfields.EMPTY)
        # Bytes parsed since the response began, or since its last body bytes.
        self._pending_bytes = 0

    @property
    def is_between_responses(self):
        """Whether no response has been received in part."""
        return not self._is_in_response

    def feed(self, chunk):
        """Parse bytes; raise `MalformedResponseError` if they are invalid."""
        view = memoryview(chunk)
        for start in range(0, len(view), PIECE_BYTES):
            piece = view[start : start + PIECE_BYTES]
            self._pending_bytes += len(piece)
            try:
                self._parser.feed_data(piece)
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
            ) as error:
                raise MalformedResponseError(str(error)) from error
            if self._pending_bytes > MAX_HEAD_BYTES:
                raise MalformedResponseError('a head or trailer without end')
            if self._problem:
                raise MalformedResponseError(self._problem)

    def on_message_begin(self):
        """Start a head; called by httptools."""
        self._fields = bytearray()
        self._is_in_head = True
        self._is_in_response = True
        self._pending_bytes = 0

    def on_header(self, name, text):
        """Keep a field of the head, drop one of a trailer."""
        if self._is_in_head:
            self._fields += b'%b\n%b\n' % (name, text.strip(b' \t'))

    def on_headers_complete(self):
        """Pass on the head; called by httptools."""
        self._is_in_head = False
        if self._problem:
            return
        parser = self._parser
        status = parser.get_status_code()
        self._is_interim = MIN_INTERIM_STATUS <= status <= MAX_INTERIM_STATUS
        if self._is_interim:
            return
        if not statuses.is_final(status):
            self._problem = f'status {status:03}'
            return
        fields = headfields.HeadFields(self._fields[:-1].decode('latin-1'))
        self._fields = bytearray()
        encoding = fields.get('Transfer-Encoding')
        length = fields.get('Content-Length')
        if encoding is not None and encoding.lower() != CHUNKED:
            self._problem = 'an unknown transfer encoding'
            return
        has_body = status not in BODILESS_STATUSES
        self._body = bodyprogress.announced(
            fields if has_body else headfields.EMPTY
        )
        self._sink.head_received(
            ResponseHead(
                status,
                fields,
                keeps_alive=parser.should_keep_alive(),
                has_length=encoding is not None or length is not None,
                body_bytes=self._body.announced_bytes or 0,
            )
        )

    def on_body(self, chunk):
        """Pass on bytes of the body; called by httptools."""
        self._pending_bytes = 0
        self._body.add(chunk)
        self._sink.body_received(chunk)

    def on_chunk_complete(self):
        """Note the end of a chunk of the body; called by httptools."""
        self._body.end_chunk()

    def on_message_complete(self):
        """Pass on the end of a response; called by httptools."""
        self._pending_bytes = 0
        self._is_in_response = self._is_interim
        if self._is_interim or self._problem:
            return
        if self._body.is_whole:
            self._sink.response_complete()
        else:
            self._problem = 'the body is not whole'
