"""Log lines for the decisions about a request.

A request that is answered in time gets one short line. For every other
request all decisions are written, each with the time at which it was made.
The same holds for requests whose ID falls into the sample. All agents derive
the sample from the ID, so a sampled request is logged in full on every host.
"""

import zlib

import attrs

from laburnumlatch.core import logs

# One request in this many is logged in full even if it succeeds.
SAMPLE_INTERVAL = 64
# At most this many decisions are kept for a request; later ones are dropped,
# except its end.
MAX_DECISIONS = 40

_log = logs.logger('requests')


@attrs.define(frozen=True)
class Decision:
    """One decision and its inputs; `made_at` is in ms of the agent's clock."""

    made_at: int
    event: str
    inputs: dict


def is_sampled(request_id):
    """Return whether the request belongs to the sample logged in full."""
    return not zlib.crc32(request_id.encode()) % SAMPLE_INTERVAL


def record(agent, request, event, **inputs):
    """Keep a decision about a request in case the request ends badly.

    Once the request is logged in full, or has missed its target, the decision
    is written at once.
    """
    if request.is_logged_immediately:
        _log.notice(event, request=request.request_id, **inputs)
    elif len(request.decisions) < MAX_DECISIONS:
        request.decisions.append(Decision(agent.now, event, inputs))
    if agent.now > request.arrived_at + request.target_ms:
        write_all(agent, request)


def write_all(agent, request):
    """Write the decisions kept so far; later ones are written at once."""
    request.is_logged_immediately = True
    for decision in request.decisions:
        _log.backdated_notice(
            agent.now - decision.made_at,
            decision.event,
            {'request': request.request_id, **decision.inputs},
        )
    request.decisions.clear()


def record_end(agent, request, event, *, is_good, **inputs):
    """Write the end of a request, after its decisions unless `is_good`.

    The decisions of a sampled request are written in any case.
    """
    if not is_good or is_sampled(request.request_id):
        write_all(agent, request)
    if request.is_logged_immediately:
        _log.notice(event, request=request.request_id, **inputs)
    else:
        _log.info(event, request=request.request_id, **inputs)
