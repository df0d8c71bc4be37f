"""Header fields of the caller interface and between agents."""

REQUEST_ID = 'Request-Id'
REQUEST_ATTEMPT = 'Request-Attempt'
REQUEST_EPOCH = 'Request-Epoch'
DEADLINE_MS = 'Deadline-Ms'
OUTCOME = 'Outcome'
OUTCOME_REASON = 'Outcome-Reason'
OWNER = 'Owner'
RETRY_AFTER = 'Retry-After'
RETRY_AFTER_MS = 'Retry-After-Ms'
FORWARDED_FROM = 'Forwarded-From'
FORWARD_EXCHANGE = 'Forward-Exchange'
FORWARD_REPEAT = 'Forward-Repeat'
FENCE_REFUSED = 'Fence-Refused'
FENCE_TOKEN = 'Fence-Token'
SLOT = 'Slot'

# Fields about one connection (RFC 9110, section 7.6.1) or written anew here.
_NOT_PASSED_ON = frozenset((
    'connection',
    'content-length',
    'date',
    'expect',
    'host',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'server',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    *(
        name.lower()
        for name in (
            REQUEST_ID,
            REQUEST_ATTEMPT,
            REQUEST_EPOCH,
            DEADLINE_MS,
            OUTCOME,
            OUTCOME_REASON,
            OWNER,
            RETRY_AFTER_MS,
            FORWARDED_FROM,
            FORWARD_EXCHANGE,
            FORWARD_REPEAT,
            FENCE_REFUSED,
            FENCE_TOKEN,
            SLOT,
        )
    ),
))


def end_to_end(pairs):
    """Return the (name, text) pairs that a proxy passes on unchanged."""
    pairs = list(pairs)
    listed = {
        name.strip().lower()
        for field, text in pairs
        if field.lower() == 'connection'
        for name in text.split(',')
    }
    return [
        (name, text)
        for name, text in pairs
        if name.lower() not in _NOT_PASSED_ON and name.lower() not in listed
    ]
