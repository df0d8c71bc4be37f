"""Default configuration of a simulated deployment.

It has two services, of which one is divided by key, and three routes.
"""

import attrs

from laburnumlatch.mesh import routes

SERVICE = 'bokun'
OTHER_SERVICE = 'moti'
# The path of requests to the other service.
OTHER_PATH = '/'
KEY_COUNT = 65_536
# One-way delay of a message between two hosts.
NETWORK_DELAY_MS = 2
# The clock advances by this much at a time.
STEP_MS = 1
ANNOUNCEMENT_INTERVAL_MS = 870
LOOK_TARGET_MS = 600
BOOK_TARGET_MS = 800
STATUS_TARGET_MS = 300
LOOK_TIMEOUT_MS = 1500
BOOK_TIMEOUT_MS = 2000
STATUS_TIMEOUT_MS = 800
CONNECTIONS = 130

CONFIGURATION = routes.Configuration(
    version=1,
    routes=(
        routes.Route(
            name='lookup',
            host='bokun.example',
            prefix='/look/',
            kind=routes.Kind.SAFE,
            shares=(routes.Share(SERVICE, 1),),
            timeout_ms=LOOK_TIMEOUT_MS,
            target_ms=LOOK_TARGET_MS,
            priority=2,
            attempts=2,
        ),
        routes.Route(
            name='book',
            host='bokun.example',
            prefix='/book/',
            kind=routes.Kind.ONCE,
            shares=(routes.Share(SERVICE, 1),),
            timeout_ms=BOOK_TIMEOUT_MS,
            target_ms=BOOK_TARGET_MS,
            priority=1,
            attempts=2,
        ),
        routes.Route(
            name='status',
            host='moti.example',
            prefix='/',
            kind=routes.Kind.SAFE,
            shares=(routes.Share(OTHER_SERVICE, 1),),
            timeout_ms=STATUS_TIMEOUT_MS,
            target_ms=STATUS_TARGET_MS,
            priority=1,
            attempts=2,
        ),
    ),
    services={
        SERVICE: routes.Service(
            SERVICE, '/health', CONNECTIONS, is_divided=True
        ),
        OTHER_SERVICE: routes.Service(OTHER_SERVICE, '/health', CONNECTIONS),
    },
)


def with_cold_rate(configuration, cold_per_s, cold_start_ms):
    """Return a configuration in which cold servers bear `cold_per_s`."""
    services = {
        name: attrs.evolve(
            service, cold_per_s=cold_per_s, cold_start_ms=cold_start_ms
        )
        for name, service in configuration.services.items()
    }
    return attrs.evolve(configuration, services=services)
