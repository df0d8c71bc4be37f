"""The bytes of callers' connections: whole, cut anywhere, and malformed."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from laburnumlatch.platform import readahead
from laburnumlatch.platform import requestparser

MAX_HEAD_BYTES = 4000
CHUNKS = b'3\r\nabc\r\n0\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked'
LENGTH = b'Content-Length: 3'


def post(*fields, body=b''):
    """Return the bytes of a POST request with these fields."""
    head = (b'POST / HTTP/1.1', b'Host: a', *fields, b'', body)
    return b'\r\n'.join(head)


class Recorder(requestparser.RequestSink):
    """Keeps complete requests as (method, target, fields, body)."""

    def __init__(self):
        self.requests = []
        self._head = None
        self._body = b''

    def head_received(self, head):
        self._head = head
        self._body = b''

    def body_received(self, chunk):
        self._body += chunk

    def request_complete(self):
        head = self._head
        self.requests.append((
            head.method,
            head.target,
            head.fields,
            self._body,
        ))


def parse(pieces):
    """Return the complete requests in some bytes, and whether they are bad."""
    recorder = Recorder()
    parser = requestparser.RequestParser(recorder, MAX_HEAD_BYTES)
    try:
        for piece in pieces:
            parser.feed(piece)
    except requestparser.MalformedRequestError:
        return recorder.requests, True
    return recorder.requests, False


def cut(stream, places):
    """Return the stream in pieces that end at these places."""
    ends = sorted({place % (len(stream) + 1) for place in places})
    starts = [0, *ends]
    return [
        stream[start:end]
        for start, end in zip(starts, [*ends, len(stream)], strict=True)
        if start < end
    ]


def chunked(body, size):
    """Return a body in chunks of `size` bytes."""
    starts = range(0, len(body), size)
    chunks = [body[start : start + size] for start in starts]
    encoded = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return b''.join((*encoded, b'0\r\n\r\n'))


@strategies.composite
def plain_requests(draw):
    """Draw a request, as its parts and as its bytes."""
    method = draw(strategies.sampled_from(('GET', 'POST', 'PUT', 'DELETE')))
    target = draw(strategies.text('abc/?=1', max_size=8))
    names = draw(strategies.lists(strategies.text('XYZ', min_size=1)))
    fields = [('Host', 'a'), *((name, 'some text') for name in names)]
    body = draw(strategies.binary(max_size=40))
    encoded = body
    if draw(strategies.booleans()):
        fields.append(('Transfer-Encoding', 'chunked'))
        encoded = chunked(body, draw(strategies.integers(1, 41)))
    else:
        fields.append(('Content-Length', str(len(body))))
    lines = [f'{method} /{target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in fields]
    head = '\r\n'.join((*lines, '\r\n')).encode()
    parts = (method, f'/{target}', tuple(fields), body)
    return parts, b''.join((head, encoded))


class TestStreams:
    """Streams of requests, compared with the requests they were made of."""

    @hypothesis.given(
        strategies.lists(plain_requests(), max_size=6),
        strategies.lists(strategies.integers(0, 5000), max_size=12),
    )
    def test_pipelined_requests_cut_anywhere(self, drawn, places):
        """Guards against requests that depend on how TCP cuts the stream."""
        stream = b''.join(encoded for _parts, encoded in drawn)
        assert parse(cut(stream, places)) == (
            [parts for parts, _encoded in drawn],
            False,
        )

    @hypothesis.given(
        strategies.lists(plain_requests(), min_size=1, max_size=3),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5000),
                strategies.sampled_from((
                    b'\r',
                    b'\n',
                    b'\0',
                    b' ',
                    b':',
                    b',',
                    b'\r\n',
                    b'',
                    b'0',
                )),
            ),
            min_size=1,
            max_size=4,
        ),
        strategies.lists(strategies.integers(0, 5000), max_size=12),
    )
    def test_damaged_streams_cut_anywhere(self, drawn, damages, places):
        """Guards against requests that one cut shows and another hides."""
        stream = b''.join(encoded for _parts, encoded in drawn)
        for place, replacement in damages:
            at = place % len(stream)
            stream = b''.join((stream[:at], replacement, stream[at + 1 :]))
        byte_by_byte = [bytes((byte,)) for byte in stream]
        assert parse(cut(stream, places)) == parse(byte_by_byte)


class TestSmuggling:
    """Requests that two parsers could read differently."""

    @pytest.mark.parametrize(
        'request_bytes',
        [
            post(LENGTH, LENGTH, body=b'abc'),
            post(LENGTH, CHUNKED, body=CHUNKS),
            post(CHUNKED, LENGTH, body=CHUNKS),
            post(CHUNKED, CHUNKED, body=CHUNKS),
            post(b'Transfer-Encoding: gzip, chunked', body=CHUNKS),
            post(b'Transfer-Encoding: identity'),
            post(b'Transfer-Encoding:\r\n chunked', body=CHUNKS),
            post(b'Content-Length: +3', body=b'abc'),
            post(b'Content-Length: 3, 3', body=b'abc'),
            post(b'Content-Length : 3', body=b'abc'),
            post(CHUNKED, body=b'0x3\r\nabc\r\n'),
            post(CHUNKED, body=b'3\nabc\r\n'),
            post(CHUNKED, body=b'3;a\nb\r\nabc\r\n'),
            b'GET / HTTP/1.1\nHost: a\n\n',
            post(b'X: b\nY: c'),
            post(b'X: b\rY: c'),
            post(b'X: b\r\n  c'),
            post(b'Host: a'),
            post(b'X: a\0b'),
            post(b': b'),
        ],
    )
    def test_is_malformed(self, request_bytes):
        """Guards against a request hidden inside another one."""
        assert parse([request_bytes]) == ([], True)

    def test_trailer_is_no_part_of_the_head(self):
        """Guards against fields of a trailer that pass for those of a head."""
        trailer = b'3\r\nabc\r\n0\r\nX-Request-Id: other\r\n\r\n'
        requests, is_bad = parse([post(CHUNKED, body=trailer)])
        assert not is_bad
        fields = (('Host', 'a'), ('Transfer-Encoding', 'chunked'))
        assert requests == [('POST', '/', fields, b'abc')]

    def test_text_of_a_field_is_kept(self):
        """Guards against fields that change on the way.

        Only spaces and tabs around a text are no part of it; these bytes are
        white space in Latin-1.
        """
        requests, _is_bad = parse([
            post(b'X: \t\xa0a b\x85 \t', LENGTH, body=b'abc')
        ])
        assert requests[0][2][1] == ('X', '\xa0a b\x85')

    @pytest.mark.parametrize(
        'fields',
        [b'Connection: close', b'Connection: upgrade\r\nUpgrade: h2c'],
    )
    def test_bytes_behind_the_last_request_are_ignored(self, fields):
        """Guards against requests behind one that ends the connection."""
        stream = post(fields)
        for pieces in ([b''.join((stream, stream))], [stream, stream]):
            requests, is_bad = parse(pieces)
            assert len(requests) == 1
            assert not is_bad


class TestEndlessInput:
    """Bytes without end, which must not stay in memory."""

    @pytest.mark.parametrize(
        'start',
        [
            b'GET /',
            b'GET / HTTP/1.1\r\nHost: a\r\nX: ',
            b'GET / HTTP/1.1\r\nHost: a\r\nX',
            post(CHUNKED, body=b'0\r\nX: '),
        ],
        ids=['target', 'field', 'name', 'trailer'],
    )
    def test_is_malformed_at_the_limit(self, start):
        """Guards against a head or trailer that fills the memory."""
        piece = b'x' * 500
        needed = MAX_HEAD_BYTES // len(piece) + 2
        _requests, is_bad = parse([start, *itertools.repeat(piece, needed)])
        assert is_bad


class TestReadAhead:
    """Bytes that wait to be parsed."""

    def test_bytes_keep_their_time_of_arrival(self):
        """Guards against a request that seems younger than it is."""
        unparsed = readahead.ReadAhead()
        unparsed.append(b'abc', 10)
        unparsed.append(b'def', 20)
        assert unparsed.take(2) == (b'ab', 10)
        assert unparsed.take(5) == (b'c', 10)
        assert len(unparsed) == 3
        assert unparsed.take(5) == (b'def', 20)
        assert not unparsed
