"""A caller that sends several requests before it reads the first response."""

import asyncio

import attrs
from tornado import httputil

HEAD_END = b'\r\n\r\n'
LINE_END = '\r\n'


@attrs.define(frozen=True)
class PipelinedResponse:
    """A response with its status code, header fields and body."""

    code: int
    headers: httputil.HTTPHeaders
    body: bytes


def encode(method, path, fields, body=b''):
    """Return the bytes of a request; `fields` is a dict of header fields."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    head = LINE_END.join(lines).encode()
    return b''.join((head, HEAD_END, body))


async def exchange(address, encoded_requests, timeout_s):
    """Send all requests on one connection; return their responses in order.

    A response that did not come before the connection ended, or within
    `timeout_s`, is None, as are all behind it.
    """
    ip_text, port = address.split(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip_text, int(port))
    except OSError:
        return [None for _ in encoded_requests]
    responses = []
    try:
        writer.write(b''.join(encoded_requests))
        async with asyncio.timeout(timeout_s):
            while len(responses) < len(encoded_requests):
                responses.append(await _read_response(reader))
    except (OSError, EOFError):
        missing = len(encoded_requests) - len(responses)
        responses.extend(None for _ in range(missing))
    finally:
        writer.close()
    return responses


async def _read_response(reader):
    head = await reader.readuntil(HEAD_END)
    status_line, _line_end, lines = head.decode('latin-1').partition(LINE_END)
    headers = httputil.HTTPHeaders.parse(lines)
    body = await reader.readexactly(int(headers['Content-Length']))
    return PipelinedResponse(int(status_line.split()[1]), headers, body)
