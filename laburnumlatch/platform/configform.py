"""The operator's configuration as the publishing step writes it."""

import json
import types

from laburnumlatch.mesh import routes
from laburnumlatch.operators import configcodec
from laburnumlatch.platform import configlink
from laburnumlatch.platform import configrows
from laburnumlatch.platform import durations

# Rows of the platform hold at most this much.
MAX_BYTES = 65_536
MAX_WRITES = 100
_KINDS = types.MappingProxyType({
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


class PlatformForm(configcodec.ConfigurationCodec):
    """`op/config`: routes and services as columns and rows."""

    key = configlink.ROW
    max_bytes = MAX_BYTES
    max_writes = MAX_WRITES

    def encode(self, configuration):
        """Return the body of a `routes.Configuration`."""
        limits = configuration.limits
        document = {
            'version': configuration.version,
            'routes': _table(_ROUTE_COLUMNS, configuration.routes, _route),
            'services': _table(
                _SERVICE_COLUMNS, configuration.services.values(), _service
            ),
            'limits': {
                'max_header_bytes': limits.header_bytes,
                'max_body_bytes': limits.body_bytes,
                'header_timeout': _duration(limits.header_timeout_ms),
                'idle_timeout': _duration(limits.idle_timeout_ms),
            },
        }
        return json.dumps(document, separators=(',', ':')).encode()

    def decode(self, body):
        """Return `routes.Configuration`; raise `errors.InvalidInputError`."""
        return configrows.decode(body)


def _table(columns, rows, encode):
    return {'columns': columns, 'rows': [encode(row) for row in rows]}


def _route(route):
    """Return the values of a route in the order of its columns."""
    service, split = None, None
    if _is_whole(route.shares):
        service = route.shares[0].service
    else:
        split = [
            {'service': part.service, 'weight': part.weight}
            for part in route.shares
        ]
    return [
        route.name,
        route.host,
        route.prefix,
        _KINDS[route.kind],
        service,
        split,
        _duration(route.timeout_ms),
        _duration(route.target_ms),
        route.priority,
        route.attempts,
    ]


def _is_whole(shares):
    return shares == (routes.Share(shares[0].service, 1),)


def _service(service):
    return (
        service.name,
        service.health_path,
        service.connections,
        service.is_divided,
        _duration(service.warmup_ms),
    )


def _duration(duration_ms):
    return None if duration_ms is None else durations.render(duration_ms)
