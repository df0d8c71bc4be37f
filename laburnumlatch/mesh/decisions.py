"""Log lines for the decisions about a request.

A request that is answered in time has one short line. The decisions about
any other request are written whole, each with the time at which it was made,
and so are those of every request whose ID falls into the sample: agents
choose the same requests, so a sampled one is whole on all hosts.
"""

import zlib

import attrs

from laburnumlatch.core import logs

# One request in so many is logged whole even if all goes well.
SAMPLE_RATE = 64
# A request with more decisions than this loses the latest before its end.
MAX_DECISIONS = 40

_log = logs.logger('requests')


@attrs.define(frozen=True)
class Decision:
    """One decision: `made` in ms of the agent's clock, and its inputs."""

    made: int
    event: str
    inputs: dict


def is_sampled(request_id):
    """Tell whether all decisions about a request are written."""
    return not zlib.crc32(request_id.encode()) % SAMPLE_RATE


def note(agent, request, event, **inputs):
    """Keep a decision about a request, or write it if the request is late."""
    if request.is_logged_immediately:
        _log.notice(event, request=request.request_id, **inputs)
    elif len(request.decisions) < MAX_DECISIONS:
        request.decisions.append(Decision(agent.now, event, inputs))
    if agent.now > request.arrived + request.target_ms:
        write_whole(agent, request)


def write_whole(agent, request):
    """Write the decisions kept so far, and each later one when it is made."""
    request.is_logged_immediately = True
    for decision in request.decisions:
        _log.past(
            agent.now - decision.made,
            decision.event,
            {'request': request.request_id, **decision.inputs},
        )
    request.decisions.clear()


def conclude(agent, request, event, *, is_good, **inputs):
    """Write the end of a request; what led to it as well unless it is good."""
    if not is_good or is_sampled(request.request_id):
        write_whole(agent, request)
    if request.is_logged_immediately:
        _log.notice(event, request=request.request_id, **inputs)
    else:
        _log.info(event, request=request.request_id, **inputs)
