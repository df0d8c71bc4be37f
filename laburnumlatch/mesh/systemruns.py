"""Runs one system of an agent; what an error in it gives up."""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import tracebacks
from laburnumlatch.mesh import counting
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import rows

# Systems that only count and report: an error costs them that one run. In any
# other it ends the process, as that system may have posted messages or changed
# rows half-way.
REPORTING_SYSTEMS = frozenset(('counting', 'progress'))

# Systems that handle requests, one after another.
REQUEST_SYSTEMS = frozenset((
    *('intake', 'expiry', 'outcomes', 'silence', 'pipelining', 'placement'),
    *('throttling', 'admission', 'displacement', 'coldqueue', 'dispatch'),
))
# What a system handles that belongs to a request.
_REQUEST_KINDS = (
    rows.Request,
    messages.RequestArrived,
    messages.ForwardArrived,
    messages.ExchangeEnded,
    messages.ExchangeFailed,
)

_log = logs.logger('ticks')


def run(agent, name, run_system, now):
    """Run the system `name`, a function of the agent and the time.

    Raises `errors.SystemFailedError` if it raises and does more than to report.
    """
    try:
        run_system(agent, now)
    except Exception as error:
        if name not in REPORTING_SYSTEMS:
            raise errors.SystemFailedError(
                name, _handled_requests(name, error)
            ) from error
        counting.count(agent, 'internal_faults', kind=name)
        _log.error(
            'system-run-failed', system=name, **tracebacks.describe(error)
        )


def _handled_requests(name, error):
    """Return the numbers of the requests that a system was handling.

    None if it handles requests, and it is not known which.
    """
    handled = tracebacks.local_values(error, _REQUEST_KINDS)
    if not handled and name in REQUEST_SYSTEMS:
        return None
    return frozenset(request.number for request in handled)
