"""Encodes responses to callers."""

import http

import attrs

from laburnumlatch.core import headfields
from laburnumlatch.platform import fields

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_STATUSES_WITHOUT_BODY = frozenset((
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
))


@attrs.define(frozen=True)
class Response:
    """A complete response; it takes fields as pairs of name and text."""

    status: int
    fields: headfields.HeadFields = attrs.field(converter=headfields.pack)
    body: bytes


def encode(response, method, is_last):
    """Return head and body of the response to a request with this method.

    `is_last` says that the connection closes behind it.
    """
    pairs = list(response.fields)
    has_body = response.status not in _STATUSES_WITHOUT_BODY
    if has_body:
        pairs.append(('Content-Length', str(len(response.body))))
    if is_last:
        pairs.append(('Connection', 'close'))
    status_line = f'HTTP/1.1 {response.status} {_reason(response.status)}'
    head = fields.encode_head(status_line, pairs)
    if has_body and method != 'HEAD':
        return head, response.body
    return head, b''


def _reason(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return '-'
