"""The bytes of callers' connections: whole, cut anywhere, and malformed."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from laburnumlatch.platform import readahead
from tests import streams

CHUNKS = b'3\r\nabc\r\n0\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked'
LENGTH = b'Content-Length: 3'


class TestStreams:
    """Streams of requests, compared with the requests they were made of."""

    @hypothesis.given(
        strategies.lists(streams.plain_requests(), max_size=6),
        strategies.lists(strategies.integers(0, 5000), max_size=12),
    )
    def test_pipelined_requests_cut_anywhere(self, drawn, places):
        """Guards against requests that depend on how TCP cuts the stream."""
        stream = b''.join(encoded for _parts, encoded in drawn)
        assert streams.parse(streams.cut(stream, places)) == (
            [parts for parts, _encoded in drawn],
            False,
        )

    @hypothesis.given(
        strategies.lists(streams.plain_requests(), min_size=1, max_size=3),
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
        assert streams.parse(streams.cut(stream, places)) == streams.parse(
            byte_by_byte
        )


class TestSmuggling:
    """Requests that two parsers could read differently."""

    @pytest.mark.parametrize(
        'request_bytes',
        [
            streams.post(LENGTH, LENGTH, body=b'abc'),
            streams.post(LENGTH, CHUNKED, body=CHUNKS),
            streams.post(CHUNKED, LENGTH, body=CHUNKS),
            streams.post(CHUNKED, CHUNKED, body=CHUNKS),
            streams.post(b'Transfer-Encoding: gzip, chunked', body=CHUNKS),
            streams.post(b'Transfer-Encoding: identity'),
            streams.post(b'Transfer-Encoding:\r\n chunked', body=CHUNKS),
            streams.post(b'Content-Length: +3', body=b'abc'),
            streams.post(b'Content-Length: 3, 3', body=b'abc'),
            streams.post(b'Content-Length : 3', body=b'abc'),
            streams.post(CHUNKED, body=b'0x3\r\nabc\r\n'),
            streams.post(CHUNKED, body=b'3\nabc\r\n'),
            streams.post(CHUNKED, body=b'3;a\nb\r\nabc\r\n'),
            b'GET / HTTP/1.1\nHost: a\n\n',
            streams.post(b'X: b\nY: c'),
            streams.post(b'X: b\rY: c'),
            streams.post(b'X: b\r\n  c'),
            streams.post(b'Host: a'),
            streams.post(b'X: a\0b'),
            streams.post(b': b'),
        ],
    )
    def test_is_malformed(self, request_bytes):
        """Guards against a request hidden inside another one."""
        assert streams.parse([request_bytes]) == ([], True)

    def test_trailer_is_no_part_of_the_head(self):
        """Guards against fields of a trailer that pass for those of a head."""
        trailer = b'3\r\nabc\r\n0\r\nX-Request-Id: other\r\n\r\n'
        requests, is_bad = streams.parse([streams.post(CHUNKED, body=trailer)])
        assert not is_bad
        fields = (('Host', 'a'), ('Transfer-Encoding', 'chunked'))
        assert requests == [('POST', '/', fields, b'abc')]

    def test_text_of_a_field_is_kept(self):
        """Guards against fields that change on the way.

        Only spaces and tabs around a text are no part of it; these bytes are
        white space in Latin-1.
        """
        requests, _is_bad = streams.parse([
            streams.post(b'X: \t\xa0a b\x85 \t', LENGTH, body=b'abc')
        ])
        assert requests[0][2][1] == ('X', '\xa0a b\x85')

    @pytest.mark.parametrize(
        'fields',
        [
            b'Connection: close',
            b'Connection: close, upgrade\r\nUpgrade: h2c',
            b'Connection: upgrade\r\nConnection: close\r\nUpgrade: h2c',
        ],
    )
    def test_bytes_behind_the_last_request_are_ignored(self, fields):
        """Guards against requests behind one that ends the connection."""
        stream = streams.post(fields)
        for pieces in ([b''.join((stream, stream))], [stream, stream]):
            requests, is_bad = streams.parse(pieces)
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
            streams.post(CHUNKED, body=b'0\r\nX: '),
        ],
        ids=['target', 'field', 'name', 'trailer'],
    )
    def test_is_malformed_at_the_limit(self, start):
        """Guards against a head or trailer that fills the memory."""
        piece = b'x' * 500
        needed = streams.MAX_HEAD_BYTES // len(piece) + 2
        _requests, is_bad = streams.parse([
            start,
            *itertools.repeat(piece, needed),
        ])
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
