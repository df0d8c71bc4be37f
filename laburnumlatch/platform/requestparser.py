"""Splits the bytes of a caller's connection into requests.

The parser is llhttp in its strict mode, through httptools. It rejects what
two parsers could read differently: a repeated length, a length beside chunks,
line ends without CR, folded lines, and spaces before a colon.

An offer of another protocol (`Upgrade`) is ignored. httptools ends a request
with one behind its head, whatever body that announces, so the rest is read by a
new parser.
"""

import abc
import http

import attrs
import httptools

from laburnumlatch.core import errors
from laburnumlatch.core import headfields
from laburnumlatch.platform import bodyprogress
from laburnumlatch.platform import fields as fields_module

# Bytes are parsed in small pieces, because httptools cannot stop between two
# requests: a piece of the first size holds few requests.
HEAD_PIECE_BYTES = 1024
BODY_PIECE_BYTES = 65_536
OLD_VERSION = '1.0'
VERSIONS = (OLD_VERSION, '1.1')
CHUNKED = 'chunked'
TUNNEL_METHOD = 'CONNECT'
# The method that an HTTP/2 connection seems to begin with.
PREFACE_METHOD = b'PRI'


class MalformedRequestError(errors.LaburnumlatchError):
    """The bytes are not a request that may be passed on.

    `status` is the HTTP status that tells the caller why.
    """

    def __init__(self, status, detail):
        """Keep the status, an `http.HTTPStatus`."""
        super().__init__(detail)
        self.status = status


@attrs.define(frozen=True)
class RequestHead:
    """Head of a request as it was read.

    `keeps_alive` says whether the caller may send another request on the
    connection. `body_bytes` is the length that it announces, None if the body
    comes in chunks.
    """

    method: str
    target: str
    fields: headfields.HeadFields
    keeps_alive: bool
    body_bytes: int | None = 0

    @property
    def size(self):
        """About how many bytes the head has."""
        return len(self.target) + len(self.fields.packed)

    def get(self, name, default=None):
        """Return the text of a field; of a repeated one, all joined by `,`."""
        return self.fields.get(name, default)


class RequestSink(abc.ABC):
    """Receives the parts of requests in the order in which they were sent."""

    @abc.abstractmethod
    def head_received(self, head):
        """Begin a request; `head` is a `RequestHead`."""

    @abc.abstractmethod
    def body_received(self, chunk):
        """Append bytes to the body of the request."""

    @abc.abstractmethod
    def request_complete(self):
        """End the request."""


class RequestParser:
    """Parser of one connection; passes what it reads to a `RequestSink`."""

    def __init__(self, sink, max_head_bytes):
        """Start before the first request.

        A head or a trailer longer than `max_head_bytes` is malformed, and so
        are as many empty lines before a request.
        """
        self.max_head_bytes = max_head_bytes
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        # Names and texts of the head, each with a line end behind it.
        self._fields = bytearray()
        self._is_in_head = False
        self._is_in_body = False
        self._is_last = False
        self._is_ended = False
        self._problem = None
        self._body = bodyprogress.announced(headfields.EMPTY)
        # Whether a head is parsed that stands for one with an offer.
        self._is_resuming = False
        # Bytes parsed since the request began, or since its last body bytes.
        self._pending_bytes = 0

    @property
    def is_in_head(self):
        """Whether a head has been received in part."""
        return self._is_in_head

    @property
    def is_between_requests(self):
        """Whether no request has begun behind the last complete one."""
        return not (self._is_in_head or self._is_in_body)

    @property
    def held_bytes(self):
        """Bytes of a head or trailer that was received in part."""
        return 0 if self.is_between_requests else self._pending_bytes

    @property
    def has_known_length(self):
        """Whether the rest of a body of known length is to come."""
        return bool(self._body.missing_bytes)

    @property
    def piece_bytes(self):
        """How many bytes to pass to `feed` at a time."""
        missing_bytes = self._body.missing_bytes
        return max(HEAD_PIECE_BYTES, min(missing_bytes, BODY_PIECE_BYTES))

    def feed(self, piece):
        """Parse bytes; raise `MalformedRequestError` if they are invalid.

        Bytes behind the last request of the connection are ignored.
        """
        if self._is_ended:
            return
        self._pending_bytes += len(piece)
        try:
            self._parse(piece)
        except httptools.HttpParserError as error:
            if not self._is_ended:
                self._fail_as_unreadable(error)
        if self._pending_bytes > self.max_head_bytes:
            self._fail_as_too_long()
        if self._problem is not None:
            raise self._problem

    def on_message_begin(self):
        """Start a head; called by httptools."""
        if self._is_resuming:
            return
        self._is_in_head = True
        self._pending_bytes = 0
        self._target = b''
        self._fields = bytearray()

    def on_url(self, part):
        """Append to the target; called by httptools."""
        self._target += part

    def on_header(self, name, text):
        """Keep a field of the head, drop one of a trailer."""
        if self._is_in_head:
            self._fields += b'%b\n%b\n' % (name, text.strip(b' \t'))

    def on_headers_complete(self):
        """Check the head and pass it on; called by httptools."""
        if self._problem is not None or self._is_resuming:
            return
        parser = self._parser
        keeps_alive = (
            parser.should_keep_alive()
            and parser.get_http_version() != OLD_VERSION
        )
        fields = headfields.HeadFields(self._fields[:-1].decode('latin-1'))
        self._fields = bytearray()
        self._body = bodyprogress.announced(fields)
        head = RequestHead(
            parser.get_method().decode('ascii'),
            self._target.decode('latin-1'),
            fields,
            keeps_alive,
            self._body.announced_bytes,
        )
        self._check(head)
        if self._problem is None:
            self._is_in_head = False
            self._is_in_body = True
            self._is_last = not keeps_alive
            self._sink.head_received(head)

    def on_body(self, chunk):
        """Pass on bytes of the body; called by httptools."""
        if self._problem is None:
            self._pending_bytes = 0
            self._body.add(chunk)
            self._sink.body_received(chunk)

    def on_chunk_complete(self):
        """Note the end of a chunk of the body; called by httptools."""
        self._body.end_chunk()

    def on_message_complete(self):
        """Pass on the end of a request; called by httptools."""
        if self._problem is not None or self._parser.should_upgrade():
            return
        if not self._body.is_whole:
            self._fail(http.HTTPStatus.BAD_REQUEST, 'the body is not whole')
            return
        self._is_in_body = False
        self._pending_bytes = 0
        self._is_ended = self._is_last
        self._sink.request_complete()

    def _parse(self, piece):
        """Parse bytes, also behind heads with offers."""
        while piece:
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserUpgrade as offer:
                piece = piece[offer.args[0] :]
            else:
                return
            if self._problem is not None:
                return
            self._resume_behind_offer()

    def _resume_behind_offer(self):
        """Replace the parser by one that has read a head without the offer."""
        self._parser = httptools.HttpRequestParser(self)
        fields = [('Host', ''), ('Transfer-Encoding', CHUNKED)]
        if self._body.announced_bytes is not None:
            fields[1] = ('Content-Length', str(self._body.announced_bytes))
        if self._is_last:
            fields.append(('Connection', 'close'))
        self._is_resuming = True
        self._parser.feed_data(
            fields_module.encode_head('POST / HTTP/1.1', fields)
        )
        self._is_resuming = False

    def _check(self, head):
        hosts = [name for name, _text in head.fields if name.lower() == 'host']
        is_old = self._parser.get_http_version() == OLD_VERSION
        if self._parser.get_http_version() not in VERSIONS:
            self._fail(
                http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
                'only HTTP/1.1 and HTTP/1.0 are spoken here',
            )
        if head.method == TUNNEL_METHOD:
            self._fail(http.HTTPStatus.NOT_IMPLEMENTED, 'no tunnels here')
        if len(hosts) > 1 or not (hosts or is_old):
            self._fail(http.HTTPStatus.BAD_REQUEST, 'not one Host field')
        encoding = CHUNKED
        if head.body_bytes is None:
            encoding = head.get('Transfer-Encoding')
        if encoding.lower() != CHUNKED:
            self._fail(
                http.HTTPStatus.NOT_IMPLEMENTED, 'unknown transfer encoding'
            )

    def _fail_as_unreadable(self, error):
        if self._parser.get_method() == PREFACE_METHOD:
            self._fail(
                http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
                'HTTP/2 is not spoken here',
            )
        else:
            self._fail(http.HTTPStatus.BAD_REQUEST, str(error))

    def _fail_as_too_long(self):
        if self._is_in_head:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._fail(status, 'the head is too long')
        elif self._is_in_body:
            self._fail(http.HTTPStatus.BAD_REQUEST, 'the trailer is too long')
        else:
            self._fail(http.HTTPStatus.BAD_REQUEST, 'too many empty lines')

    def _fail(self, status, detail):
        self._fields = bytearray()
        if self._problem is None:
            self._problem = MalformedRequestError(status, detail)
