"""HTTP/1.1 over loopback, and the record, for the scripts of the third review.

Nothing but Python's own library is used.
"""

import asyncio
import dataclasses
import socket
import time
from urllib import parse as urlparse

NS_PER_MS = 1_000_000
MS_PER_S = 1000
HEAD_END = b'\r\n\r\n'
LENGTH = 'content-length'
OK = 200
NOT_FOUND = 404


class UnableError(Exception):
    """The case could not run as it is meant to."""


def now_ms():
    """Return the monotonic time in ms."""
    return time.monotonic_ns() // NS_PER_MS


class Record:
    """Lines about what was sent, answered and run, for `record.txt`."""

    def __init__(self, path):
        """Write to `path`, a file beside the script."""
        self._file = path.open('w', encoding='utf-8')
        self._began = now_ms()

    def line(self, text):
        """Write one line with the time since the start."""
        seconds = (now_ms() - self._began) / MS_PER_S
        self._file.write(f'{seconds:8.3f} {text}\n')

    def close(self):
        """Write what is left."""
        self._file.close()


@dataclasses.dataclass
class Request:
    """One HTTP request that a stand-in has read."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The last value of each name in the query."""
        pairs = urlparse.parse_qsl(self.target.partition('?')[2])
        return dict(pairs)


class Endpoint:
    """Serves HTTP/1.1 on one address, one request after the other."""

    def __init__(self, respond):
        """Answer with `await respond(request)`.

        That is a (status, fields, body), or None to break off the connection.
        """
        self._respond = respond
        self._writers = set()
        self._server = None

    async def start(self, ip_text, port):
        """Listen; raise OSError if the address is taken."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip_text, port))
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def abort(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The client has left, or the script ends.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer):
        while not reader.at_eof():
            first_line, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get(LENGTH, '0')))
            method, target = first_line.split(' ')[:2]
            response = await self._respond(
                Request(method, target, fields, body)
            )
            if response is None:
                writer.transport.abort()
                return
            writer.write(encode_response(*response))
            await writer.drain()


async def read_head(reader):
    """Return first line and fields, by names in lower case, of a message."""
    head = await reader.readuntil(HEAD_END)
    lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    return lines[0], {
        name.strip().lower(): text.strip() for name, _colon, text in pairs
    }


async def read_response(reader):
    """Return (status, fields, body) of a response with a length."""
    first_line, fields = await read_head(reader)
    body = await reader.readexactly(int(fields.get(LENGTH, '0')))
    return int(first_line.split(' ')[1]), fields, body


def encode_response(status, fields, body):
    """Return the bytes of a response with a length."""
    return _encode(f'HTTP/1.1 {status} -', fields, body)


def encode_request(method, target, fields, body=b''):
    """Return the bytes of a request."""
    return _encode(f'{method} {target} HTTP/1.1', fields, body)


def _encode(first_line, fields, body):
    lines = [first_line, *(f'{name}: {fields[name]}' for name in fields)]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


async def call(address, message, limit_s):
    """Send the bytes of one request to an (ip, port), and read the response.

    Returns (status, fields, body); the status is 0 if no whole response came.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await _call(address, message)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''


async def _call(address, message):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(message)
        return await read_response(reader)
    finally:
        writer.close()


class Connection:
    """A client's connection, which is kept for further requests.

    `was_kept` and `was_closed` are of the last request: whether it went over a
    connection that had carried others, and whether that ended without a whole
    answer.
    """

    def __init__(self, address):
        """Connect to an (ip, port) when a request needs it."""
        self.was_kept = False
        self.was_closed = False
        self._address = address
        self._streams = None

    async def ask(self, message, limit_s):
        """Send the bytes of a request; return the status, 0 for none."""
        self.was_kept = self._streams is not None
        self.was_closed = False
        try:
            async with asyncio.timeout(limit_s):
                status, fields = await self._ask(message)
        except TimeoutError:
            self.close()
            return 0
        except (OSError, asyncio.IncompleteReadError):
            self.was_closed = True
            self.close()
            return 0
        if fields.get('connection') == 'close':
            self.close()
        return status

    def close(self):
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _ask(self, message):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(message)
        status, fields, _body = await read_response(reader)
        return status, fields
