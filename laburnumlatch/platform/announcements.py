"""What a backend server tells of itself, decoded to the product's messages."""

import functools
import types

from laburnumlatch.core import errors
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.platform import durations
from laburnumlatch.platform import jsontext

HEARTBEAT = 'instances.heartbeat'
DEREGISTER = 'instances.deregister'
_IS_DRAINING = types.MappingProxyType({'ready': False, 'draining': True})
_ERRORS = (ValueError, TypeError, KeyError)


def decode(call, server_id, body, read_at):
    """Return a function that makes the message for an ask's number.

    `read_at` is the time of day, in Unix ms.
    Raises `errors.InvalidInputError` if the call cannot be understood: it
    then names no backend server.
    """
    if not server_id:
        raise errors.InvalidInputError('no identity')
    if call == DEREGISTER:
        return functools.partial(
            backendmsg.BackendLeft, server_id=server_id, announced_at=read_at
        )
    if call != HEARTBEAT:
        raise errors.InvalidInputError('no such call')
    try:
        return _announced(server_id, jsontext.decode(body))
    except _ERRORS as error:
        raise errors.InvalidInputError(f'announcement: {error!r}') from error


def _announced(server_id, document):
    return functools.partial(
        backendmsg.BackendAnnounced,
        life=ranges.Life(server_id, jsontext.whole(document, 'born')),
        service=jsontext.text(document, 'service'),
        address=jsontext.text(document, 'address'),
        slots=jsontext.whole(document, 'slots'),
        is_draining=_IS_DRAINING[document['state']],
        sequence=jsontext.whole(document, 'sequence'),
        cold_ms=durations.parse(document.get('cold_remaining', '0ms')),
    )
