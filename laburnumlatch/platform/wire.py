"""Header fields of the platform's protocol, and which of them are forwarded."""

from laburnumlatch.core import headfields

REQUEST_ID = 'X-Request-Id'
TIME_LEFT_MS = 'X-Deadline-Ms'
# With this a backend server proves that the body is its own.
SEAL = 'X-Response-Seal'
EXPECTED_SERVER = 'X-Expect-Instance'
# Set by the agent: the service of the host where the request began.
CALLER_SERVICE = 'X-Caller-Service'
KEY = 'X-Shard-Key'
NOT_RUN = 'X-Not-Executed'
HANDOVER = 'X-Handover'
RETRY_AFTER = 'Retry-After'

# Fields about one connection, or set anew by every hop.
_HOP_BY_HOP = frozenset((
    'connection',
    'content-length',
    'expect',
    'host',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))
_NOT_FORWARDED_IN_REQUESTS = _HOP_BY_HOP | frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        TIME_LEFT_MS,
        EXPECTED_SERVER,
        CALLER_SERVICE,
        KEY,
    )
)


def request_fields(pairs):
    """Return the fields of a request to forward unchanged."""
    return _without(pairs, _NOT_FORWARDED_IN_REQUESTS)


def response_fields(pairs):
    """Return the fields of a response to forward unchanged."""
    return _without(pairs, _HOP_BY_HOP)


def _without(pairs, names):
    """Drop the fields in `names` and those that `Connection` lists."""
    fields = headfields.pack(pairs)
    options = fields.get('Connection')
    if options is not None:
        listed = options.split(headfields.SEPARATOR)
        names = names.union(name.strip().lower() for name in listed)
    return fields.without(names)
