"""The operator's configuration, decoded to the product's types."""

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
_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


def decode(body):
    """Return `routes.Configuration`; raise `errors.InvalidInputError`."""
    try:
        document = jsontext.decode(body)
        return routes.Configuration(
            version=jsontext.get_unsigned_int(document, 'version'),
            routes=tuple(_route(row) for row in _rows(document['routes'])),
            services={
                row['name']: _service(row)
                for row in _rows(document['services'])
            },
            limits=_limits(document.get('limits') or {}),
        )
    except _ERRORS as error:
        raise errors.InvalidInputError(f'configuration: {error!r}') from error


def _rows(table):
    """Return the rows of a table of columns as dicts, without nulls."""
    columns = table['columns']
    return [
        {
            name: entry
            for name, entry in zip(columns, row, strict=False)
            if entry is not None
        }
        for row in table['rows']
    ]


def _route(row):
    split = row.get('traffic_split')
    if split is None:
        shares = (routes.Share(jsontext.get_text(row, 'service'), 1),)
    else:
        shares = tuple(
            routes.Share(jsontext.get_text(part, 'service'), _weight(part))
            for part in split
        )
    return routes.Route(
        name=jsontext.get_text(row, 'name'),
        host=jsontext.get_text(row, 'host').lower(),
        prefix=jsontext.get_text(row, 'path_prefix'),
        # A kind that is not known must not be repeated.
        kind=KINDS.get(row.get('kind'), routes.Kind.ONCE),
        shares=shares,
        timeout_ms=_duration(row, 'timeout', None),
        target_ms=_duration(row, 'target_latency', None),
        priority=_number(row, 'priority', routes.DEFAULT_PRIORITY),
        attempts=_number(row, 'max_attempts', 1),
    )


def _service(row):
    return routes.Service(
        name=jsontext.get_text(row, 'name'),
        health_path=row.get('health_path', '/health'),
        connections=_number(row, 'max_connections', DEFAULT_CONNECTIONS),
        is_divided=bool(row.get('sharded', False)),
        warmup_ms=_duration(row, 'warmup', 0),
    )


def _limits(row):
    usual = routes.Limits()
    return routes.Limits(
        header_bytes=_number(row, 'max_header_bytes', usual.header_bytes),
        body_bytes=_number(row, 'max_body_bytes', usual.body_bytes),
        header_timeout_ms=_duration(
            row, 'header_timeout', usual.header_timeout_ms
        ),
        idle_timeout_ms=_duration(row, 'idle_timeout', usual.idle_timeout_ms),
    )


def _weight(part):
    weight = part['weight']
    if type(weight) not in {int, float} or weight < 0:
        raise errors.InvalidInputError(f'weight is {weight!r}')
    return weight


def _number(row, name, default):
    return jsontext.get_unsigned_int(row, name) if name in row else default


def _duration(row, name, default):
    text = row.get(name)
    if text is None:
        return default
    return durations.parse(text)
