"""Decodes the calls by which a backend server announces its state."""

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
_DECODE_ERRORS = (ValueError, TypeError, KeyError)
_BODY_ERRORS = (*_DECODE_ERRORS, errors.InvalidInputError)


def decode(call, server_id, body, received_at):
    """Return a function that builds the message from the call's number.

    `call` is `HEARTBEAT` or `DEREGISTER`, `body` the JSON of the call and
    `received_at` the time of its arrival in Unix ms.
    Raises `errors.InvalidInputError` if the call is invalid; an invalid call
    is not attributed to any backend server.
    """
    if not server_id:
        raise errors.InvalidInputError('the server ID is missing')
    if call == DEREGISTER:
        return functools.partial(
            backendmsg.BackendLeft,
            server_id=server_id,
            announced_at=received_at,
            born=_decode_born(body),
        )
    if call != HEARTBEAT:
        raise errors.InvalidInputError('unknown call')
    try:
        return _decode_heartbeat(server_id, jsontext.decode(body))
    except _DECODE_ERRORS as error:
        raise errors.InvalidInputError(f'announcement: {error!r}') from error


def _decode_born(body):
    """Return the start of the server that leaves, None if it is not there."""
    try:
        return jsontext.get_unsigned_int(jsontext.decode(body), 'born')
    except _BODY_ERRORS:
        return None


def _decode_heartbeat(server_id, document):
    return functools.partial(
        backendmsg.BackendAnnounced,
        life=ranges.Life(
            server_id, jsontext.get_unsigned_int(document, 'born')
        ),
        service=jsontext.get_text(document, 'service'),
        address=jsontext.get_text(document, 'address'),
        slots=jsontext.get_unsigned_int(document, 'slots'),
        is_draining=_IS_DRAINING[document['state']],
        sequence=jsontext.get_unsigned_int(document, 'sequence'),
        cold_ms=_decode_cold_ms(document.get('cold_remaining', '0ms')),
    )


def _decode_cold_ms(text):
    """Return a cold time in ms, None if it is invalid."""
    try:
        return durations.parse(text)
    except errors.InvalidInputError:
        return None
