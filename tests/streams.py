"""Streams of requests for tests, and the requests that a parser finds."""

from hypothesis import strategies

from laburnumlatch.platform import requestparser

MAX_HEAD_BYTES = 4000
# Offers of another protocol, which a server may ignore; some have none.
OFFERS = (
    (),
    (),
    (('Connection', 'Upgrade, HTTP2-Settings'), ('Upgrade', 'h2c')),
    (('connection', 'upgrade'), ('upgrade', 'websocket')),
    (('Upgrade', 'TLS/1.0, h2c'), ('Connection', 'keep-alive, Upgrade')),
    (('Upgrade', 'h2c'),),
)


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


def parse(pieces, max_head_bytes=MAX_HEAD_BYTES):
    """Return the complete requests in some bytes, and whether they are bad."""
    recorder = Recorder()
    parser = requestparser.RequestParser(recorder, max_head_bytes)
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
    fields += draw(strategies.sampled_from(OFFERS))
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
