"""Encodes and decodes the platform's configuration row for publishing."""

import json
import types

from laburnumlatch.mesh import routes
from laburnumlatch.operators import configcodec
from laburnumlatch.platform import configlink
from laburnumlatch.platform import configrows
from laburnumlatch.platform import durations

# Limits of the platform's store for one row and for one transaction.
MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_WRITES = 100
_KIND_NAMES = types.MappingProxyType({
    kind: name for name, kind in configrows.KINDS.items()
})
_ROUTE_COLUMNS = (
    'name',
    'host',
    'path_prefix',
    'kind',
    'service',
    'traffic_split',
    'timeout',
    'target_latency',
    'priority',
    'max_attempts',
)
_SERVICE_COLUMNS = (
    'name',
    'health_path',
    'max_connections',
    'sharded',
    'warmup',
)


class PlatformCodec(configcodec.ConfigurationCodec):
    """The row `op/config`: a JSON object with tables of routes and services.

    A table is `{"columns": [name, ...], "rows": [[value, ...], ...]}`.
    """

    key = configlink.ROW
    evacuation_prefix = configlink.EVACUATION_PREFIX
    max_bytes = MAX_ROW_BYTES
    max_writes = MAX_TRANSACTION_WRITES

    def encode(self, configuration):
        """Return the row's body for a `routes.Configuration`."""
        limits = configuration.limits
        document = {
            'version': configuration.version,
            'routes': _encode_table(
                _ROUTE_COLUMNS, configuration.routes, _encode_route
            ),
            'services': _encode_table(
                _SERVICE_COLUMNS,
                configuration.services.values(),
                _encode_service,
            ),
            'limits': {
                'max_header_bytes': limits.header_bytes,
                'max_body_bytes': limits.body_bytes,
                'header_timeout': _render_duration(limits.header_timeout_ms),
                'idle_timeout': _render_duration(limits.idle_timeout_ms),
            },
        }
        return json.dumps(document, separators=(',', ':')).encode()

    def decode(self, body):
        """Return `routes.Configuration`; raise `errors.InvalidInputError`."""
        return configrows.decode(body)


def _encode_table(columns, rows, encode_row):
    return {'columns': columns, 'rows': [encode_row(row) for row in rows]}


def _encode_route(route):
    """Return the values of a route in the order of `_ROUTE_COLUMNS`."""
    service, split = None, None
    if _is_single_service(route.shares):
        service = route.shares[0].service
    else:
        split = [
            {'service': share.service, 'weight': share.weight}
            for share in route.shares
        ]
    return [
        route.name,
        route.host,
        route.prefix,
        _KIND_NAMES[route.kind],
        service,
        split,
        _render_duration(route.timeout_ms),
        _render_duration(route.target_ms),
        route.priority,
        route.attempts,
    ]


def _is_single_service(shares):
    return shares == (routes.Share(shares[0].service, 1),)


def _encode_service(service):
    """Return the values of a service in the order of `_SERVICE_COLUMNS`."""
    return (
        service.name,
        service.health_path,
        service.connections,
        service.is_divided,
        _render_duration(service.warmup_ms),
    )


def _render_duration(duration_ms):
    return None if duration_ms is None else durations.render(duration_ms)
