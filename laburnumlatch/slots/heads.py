"""The head of a request: its fields are checked before anything is done."""

from urllib import parse as urlparse

from laburnumlatch.slots import edges
from laburnumlatch.slots import headers

MAX_HEADER_BYTES = 16384
MAX_ID_LENGTH = 128
MAX_DIGITS = 18
FIELD_OVERHEAD_BYTES = 4
STATUS_BAD_REQUEST = 400
STATUS_METHOD = 405
STATUS_HEADERS_TOO_LARGE = 431

_METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))
_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE'))


def quoted(key):
    """Return a key as it stands in paths and in messages."""
    return urlparse.quote(key, safe='')


def read(request, path_args):
    """Return the fields of a `requestmsg.RequestArrived` but its number.

    Raises `edges.RefusedError`, which names what is wrong and where.
    """
    _check(request)
    fields = request.headers
    service, operation, key = path_args
    return {
        'request_id': _request_id(fields),
        'service': service,
        'operation': operation,
        'key': quoted(key),
        'attempt': _whole_number(fields, headers.REQUEST_ATTEMPT),
        'epoch': _whole_number(fields, headers.REQUEST_EPOCH),
        'time_left_ms': _whole_number(fields, headers.DEADLINE_MS),
        'body_bytes': _body_bytes(request),
        'forwarded_from': fields.get(headers.FORWARDED_FROM, ''),
        'forward_exchange': (
            _whole_number(fields, headers.FORWARD_EXCHANGE) or 1
        ),
        'is_repeat': fields.get(headers.FORWARD_REPEAT) == 'true',
    }


def _check(request):
    if request.method not in _METHODS:
        raise edges.RefusedError(
            STATUS_METHOD,
            f'method {request.method}: expected one of '
            f'{", ".join(sorted(_METHODS))}',
        )
    size = sum(
        len(name) + len(text) + FIELD_OVERHEAD_BYTES
        for name, text in request.headers.get_all()
    )
    if size + len(request.uri) > MAX_HEADER_BYTES:
        raise edges.RefusedError(
            STATUS_HEADERS_TOO_LARGE,
            f'request line and header fields: {size + len(request.uri)} '
            f'bytes; expected at most {MAX_HEADER_BYTES}',
        )


def _request_id(fields):
    request_id = fields.get(headers.REQUEST_ID, '')
    is_printable = request_id.isascii() and request_id.isprintable()
    if len(request_id) > MAX_ID_LENGTH or not is_printable:
        raise edges.RefusedError(
            STATUS_BAD_REQUEST,
            f'header {headers.REQUEST_ID}: expected up to '
            f'{MAX_ID_LENGTH} printable ASCII characters',
        )
    return request_id


def _body_bytes(request):
    fields = request.headers
    length = None
    if 'Transfer-Encoding' not in fields:
        length = _whole_number(fields, 'Content-Length') or 0
    if request.method in _WITHOUT_BODY and length != 0:
        raise edges.RefusedError(
            STATUS_BAD_REQUEST,
            f'method {request.method}: a body; expected none',
        )
    return length


def _whole_number(fields, name):
    text = fields.get(name)
    if text is None:
        return None
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > MAX_DIGITS:
        raise edges.RefusedError(
            STATUS_BAD_REQUEST,
            f'header {name}: {text[:MAX_ID_LENGTH]!r}; expected a whole number',
        )
    return int(text)
