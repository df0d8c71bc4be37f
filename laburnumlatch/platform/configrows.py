"""Decodes the platform's configuration row to `routes.Configuration`."""

import math
import types

from laburnumlatch.core import errors
from laburnumlatch.mesh import routes
from laburnumlatch.platform import durations
from laburnumlatch.platform import jsontext

KINDS = types.MappingProxyType({
    'safe': routes.Kind.SAFE,
    'non_idempotent': routes.Kind.ONCE,
    'upload': routes.Kind.UPLOAD,
})
DEFAULT_CONNECTIONS = 100
_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


def decode(body):
    """Return `routes.Configuration` from the row's JSON.

    Raises `errors.InvalidInputError` if any part of it is invalid.
    """
    try:
        document = jsontext.decode(body)
        return routes.Configuration(
            version=jsontext.get_unsigned_int(document, 'version'),
            routes=tuple(
                _decode_route(row) for row in _rows(document['routes'])
            ),
            services={
                row['name']: _decode_service(row)
                for row in _rows(document['services'])
            },
            limits=_decode_limits(document.get('limits') or {}),
        )
    except _DECODE_ERRORS as error:
        raise errors.InvalidInputError(f'configuration: {error!r}') from error


def _rows(table):
    """Return the rows of a table as dicts by column, without nulls."""
    columns = table['columns']
    return [
        {
            name: entry
            for name, entry in zip(columns, row, strict=False)
            if entry is not None
        }
        for row in table['rows']
    ]


def _decode_route(row):
    split = row.get('traffic_split')
    if split is None:
        shares = (routes.Share(jsontext.get_text(row, 'service'), 1),)
    else:
        shares = tuple(
            routes.Share(jsontext.get_text(share, 'service'), _weight(share))
            for share in split
        )
    return routes.Route(
        name=jsontext.get_text(row, 'name'),
        host=jsontext.get_text(row, 'host').lower(),
        prefix=jsontext.get_text(row, 'path_prefix'),
        # Requests of an unknown kind must not be retried.
        kind=KINDS.get(row.get('kind'), routes.Kind.ONCE),
        shares=shares,
        timeout_ms=_duration(row, 'timeout', None),
        target_ms=_duration(row, 'target_latency', None),
        priority=_unsigned_int(row, 'priority', routes.DEFAULT_PRIORITY),
        attempts=_unsigned_int(row, 'max_attempts', 1),
        regions=frozenset(_texts(row, 'allowed_regions')),
    )


def _decode_service(row):
    return routes.Service(
        name=jsontext.get_text(row, 'name'),
        health_path=row.get('health_path', '/health'),
        connections=_unsigned_int(row, 'max_connections', DEFAULT_CONNECTIONS),
        is_divided=bool(row.get('sharded', False)),
        warmup_ms=_duration(row, 'warmup', 0),
        cold_start_ms=_duration(row, 'cold_start', 0),
        cold_per_s=_unsigned_number(row, 'cold_per_s'),
    )


def _decode_limits(row):
    defaults = routes.Limits()
    return routes.Limits(
        header_bytes=_unsigned_int(
            row, 'max_header_bytes', defaults.header_bytes
        ),
        body_bytes=_unsigned_int(row, 'max_body_bytes', defaults.body_bytes),
        header_timeout_ms=_duration(
            row, 'header_timeout', defaults.header_timeout_ms
        ),
        idle_timeout_ms=_duration(
            row, 'idle_timeout', defaults.idle_timeout_ms
        ),
    )


def _weight(share):
    weight = share['weight']
    if type(weight) not in {int, float} or weight < 0:
        raise errors.InvalidInputError(f'weight is {weight!r}')
    return weight


def _texts(row, name):
    """Return a list of texts; empty if the field is missing."""
    texts = row.get(name, [])
    if isinstance(texts, list) and all(isinstance(one, str) for one in texts):
        return texts
    raise errors.InvalidInputError(f'{name} is {texts!r}')


def _unsigned_number(row, name):
    """Return a number that is not negative; 0 if the field is missing."""
    number = row.get(name, 0)
    if type(number) not in {int, float} or not 0 <= number < math.inf:
        raise errors.InvalidInputError(f'{name} is {number!r}')
    return number


def _unsigned_int(row, name, default):
    return jsontext.get_unsigned_int(row, name) if name in row else default


def _duration(row, name, default):
    """Return a duration in ms; `default` if the field is missing."""
    text = row.get(name)
    if text is None:
        return default
    return durations.parse(text)
