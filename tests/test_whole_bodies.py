"""Bodies of requests and responses: passed on whole, or not at all."""

import re

import hypothesis
import pytest
from hypothesis import strategies

from laburnumlatch.platform import requestparser
from laburnumlatch.platform import responseparser
from tests import streams

OFFERS = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c',
    b'connection: upgrade\r\nupgrade: websocket',
    b'Upgrade: TLS/1.0\r\nConnection: Upgrade',
    b'Connection: keep-alive, Upgrade\r\nUpgrade: h2c, TLS/1.0',
    b'Connection: Upgrade, close\r\nUpgrade: h2c',
)
BODY = bytes(range(256))
EXAMPLES = 500
BODILESS_STATUSES = (204, 304)
HEAD_END = b'\r\n\r\n'
_LINE_ENDS = re.compile(rb'\A[\r\n]+')
_CHUNK_HEAD = re.compile(rb'\A([0-9a-fA-F]+)[ \t]*(?:;[^\r\n]*)?\r\n')


class NotWholeError(Exception):
    """A stream has no whole message at its start."""


def read_head(stream):
    """Return the first line, the fields in lower case, and what follows."""
    stream = _LINE_ENDS.sub(b'', stream)
    head, end, rest = stream.partition(HEAD_END)
    if not end:
        raise NotWholeError
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _colon, text = line.partition(':')
        fields[name.lower()] = text.strip(' \t')
    return lines[0], fields, rest


def read_body(fields, rest):
    """Return the body that fields announce, by reading it off the bytes.

    This reads one message at a time, by slices and without any state.
    """
    if 'transfer-encoding' not in fields:
        length = fields.get('content-length', '0')
        if not length.isdecimal() or len(rest) < int(length):
            raise NotWholeError
        return rest[: int(length)], rest[int(length) :]
    body = b''
    chunk, rest = read_chunk(rest)
    while chunk:
        body += chunk
        chunk, rest = read_chunk(rest.removeprefix(b'\r\n'))
    return body, skip_trailer(rest)


def read_chunk(rest):
    """Return the first chunk without its line end, and what follows.

    A chunk of a body must have its line end, the last one has none.
    """
    match = _CHUNK_HEAD.match(rest)
    if match is None:
        raise NotWholeError
    end = match.end() + int(match[1], 16)
    chunk = rest[match.end() : end]
    if chunk and rest[end : end + 2] != b'\r\n':
        raise NotWholeError
    return chunk, rest[end:]


def skip_trailer(rest):
    """Return what follows the trailer of a body in chunks."""
    if rest.startswith(b'\r\n'):
        return rest[2:]
    _trailer, end, rest = rest.partition(HEAD_END)
    if not end:
        raise NotWholeError
    return rest


def whole_requests(stream):
    """Return (method, target, body) of the requests at the start of a stream.

    It stops at the first one that is not whole.
    """
    found = []
    while stream:
        try:
            line, fields, stream = read_head(stream)
            body, stream = read_body(fields, stream)
        except NotWholeError:
            break
        found.append((*line.split(' ')[:2], body))
    return found


@strategies.composite
def responses(draw):
    """Draw a response, as its status and body and as its bytes."""
    status = draw(strategies.sampled_from((200, 204, 304, 404, 500)))
    body = draw(strategies.binary(max_size=40))
    fields = list(draw(strategies.sampled_from(streams.OFFERS)))
    encoded = body
    if draw(strategies.booleans()):
        fields.append(('Transfer-Encoding', 'chunked'))
        encoded = streams.chunked(body, draw(strategies.integers(1, 41)))
    else:
        fields.append(('Content-Length', str(len(body))))
    if status in BODILESS_STATUSES:
        body, encoded = b'', b''
    lines = [f'HTTP/1.1 {status} some reason']
    lines += [f'{name}: {text}' for name, text in fields]
    head = '\r\n'.join((*lines, '\r\n')).encode()
    return (status, body), head + encoded


class ResponseRecorder(responseparser.ResponseSink):
    """Keeps complete responses as (status, body)."""

    def __init__(self):
        self.responses = []
        self._status = 0
        self._body = b''

    def head_received(self, head):
        self._status = head.status
        self._body = b''

    def body_received(self, chunk):
        self._body += chunk

    def response_complete(self):
        self.responses.append((self._status, self._body))


def parse_responses(pieces):
    """Return the complete responses in some bytes."""
    recorder = ResponseRecorder()
    parser = responseparser.ResponseParser(recorder)
    for piece in pieces:
        parser.feed(piece)
    return recorder.responses


class TestOffers:
    """Requests that offer to go on in another protocol."""

    @pytest.mark.parametrize('offer', OFFERS)
    @pytest.mark.parametrize('is_chunked', [False, True])
    @pytest.mark.parametrize('piece_bytes', [1, 7, 1000])
    def test_body_is_read(self, offer, is_chunked, piece_bytes):
        """Guards against a request that runs without its body.

        The parser ended it behind its head, so an upload with the field
        `Upgrade` was answered 200, and its bytes were dropped.
        """
        framing = b'Content-Length: %d' % len(BODY)
        encoded = BODY
        if is_chunked:
            framing = b'Transfer-Encoding: chunked'
            encoded = streams.chunked(BODY, 11)
        stream = streams.post(offer, framing, body=encoded)
        ends = range(0, len(stream), piece_bytes)
        requests, is_bad = streams.parse(streams.cut(stream, ends))
        assert [request[3] for request in requests] == [BODY]
        assert not is_bad

    def test_next_request_is_read(self):
        """Guards against requests that are lost behind an offer."""
        stream = streams.post(OFFERS[0]) + streams.post()
        requests, is_bad = streams.parse([stream])
        assert (len(requests), is_bad) == (2, False)

    @pytest.mark.parametrize(
        ('stream', 'status'),
        [
            (b'CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\nabc', 501),
            (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 505),
            (b'GET / HTTP/2.0\r\nHost: a\r\n\r\n', 505),
        ],
    )
    def test_other_protocol_is_refused(self, stream, status):
        """Guards against bytes of another protocol taken for requests."""
        recorder = streams.Recorder()
        parser = requestparser.RequestParser(recorder, streams.MAX_HEAD_BYTES)
        with pytest.raises(requestparser.MalformedRequestError) as caught:
            parser.feed(stream)
        assert caught.value.status == status
        assert not recorder.requests


class TestRequests:
    """Streams of requests against an oracle that reads by slices."""

    @hypothesis.given(
        strategies.lists(streams.plain_requests(), min_size=1, max_size=3),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5000),
                strategies.sampled_from((b'', b'0', b'1', b'\r\n', b'x')),
            ),
            max_size=3,
        ),
        strategies.lists(strategies.integers(0, 5000), max_size=8),
        strategies.integers(0, 60),
    )
    @hypothesis.settings(max_examples=EXAMPLES)
    def test_only_whole_bodies_are_passed_on(
        self, drawn, damages, cuts, missing
    ):
        """Guards against a body that is cut, or taken from another request."""
        stream = b''.join(encoded for _parts, encoded in drawn)
        for place, replacement in damages:
            at = place % len(stream)
            stream = b''.join((stream[:at], replacement, stream[at + 1 :]))
        stream = stream[: max(0, len(stream) - missing)]
        requests, _is_bad = streams.parse(streams.cut(stream, cuts))
        found = [(*request[:2], request[3]) for request in requests]
        assert found == whole_requests(stream)[: len(found)]


class TestResponses:
    """Streams of responses, compared with those they were made of."""

    @hypothesis.given(
        strategies.lists(responses(), min_size=1, max_size=4),
        strategies.lists(strategies.integers(0, 5000), max_size=8),
        strategies.integers(0, 60),
    )
    @hypothesis.settings(max_examples=EXAMPLES)
    def test_only_whole_bodies_are_passed_on(self, drawn, cuts, missing):
        """Guards against part of a response that passes for all of it."""
        stream = b''.join(encoded for _parts, encoded in drawn)
        stream = stream[: max(0, len(stream) - missing)]
        whole = []
        left = len(stream)
        for parts, encoded in drawn:
            left -= len(encoded)
            if left >= 0:
                whole.append(parts)
        assert parse_responses(streams.cut(stream, cuts)) == whole
