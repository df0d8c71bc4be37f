"""Encodes responses to callers."""

import http
import re

import attrs

# Characters that would end a field and begin another one.
_LINE_END = re.compile('[\r\n\0]')
_STATUSES_WITHOUT_BODY = frozenset((
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
))
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@attrs.define(frozen=True)
class Response:
    """A complete response; `fields` are pairs of name and text."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


def encode(response, method, is_last):
    """Return the bytes of the response to a request with this method.

    `is_last` says that the connection closes behind it.
    """
    lines = [f'HTTP/1.1 {response.status} {_reason(response.status)}']
    lines += [
        f'{name}: {text}'
        for name, text in response.fields
        if not (_LINE_END.search(name) or _LINE_END.search(text))
    ]
    body = response.body
    if response.status not in _STATUSES_WITHOUT_BODY:
        lines.append(f'Content-Length: {len(body)}')
    if is_last:
        lines.append('Connection: close')
    if method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        body = b''
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1', 'replace') + body


def _reason(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return '-'
