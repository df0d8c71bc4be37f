"""System: counters and latency histograms of this agent.

A counter is identified by its name and labels; `exposition.COUNTER_HELP`
describes each name.
"""

from laburnumlatch.core import faultmsg
from laburnumlatch.core import histograms
from laburnumlatch.core import storemsg
from laburnumlatch.mesh import processmsg
from laburnumlatch.mesh import rows

_STORE_OUTCOMES = (
    (storemsg.StoreChanges, 'read'),
    (storemsg.StoreWritten, 'written'),
    (storemsg.StoreRefused, 'conflict'),
    (storemsg.StoreFailed, 'failed'),
)


def run(agent, now):
    """Count what front ends report.

    It counts responses of the store before other systems consume them.

    The first part of a ticket names the part of the agent that made the call.
    """
    for message_class, outcome in _STORE_OUTCOMES:
        for response in agent.inbox.peek(message_class):
            part = response.ticket.partition('/')[0]
            count(agent, 'store_calls', part=part, outcome=outcome)
    for failed in agent.inbox.take(faultmsg.MessageFailed):
        count(agent, 'internal_faults', kind=failed.kind)
    callbacks = agent.inbox.take(faultmsg.CallbackFailed)
    if callbacks:
        count(agent, 'internal_faults', len(callbacks), kind='callback')
    for cut in agent.inbox.take(processmsg.CallersCut):
        count(
            agent,
            'caller_connections_closed',
            cut.connections,
            reason=cut.reason,
        )


def count(agent, name, amount=1, **labels):
    """Add `amount` to the counter with this name and these labels."""
    key = (name, tuple(labels.items()))
    counter = agent.counters.get(key)
    if counter is None:
        counter = agent.counters.put(key, rows.Counter(name, labels))
    counter.total += amount


def count_end(agent, request, outcome, reason):
    """Count the end of a request.

    `reason` is the status of the response if the request was answered, else
    why it was refused.
    """
    count(
        agent,
        'requests_ended',
        service=request.service,
        route=request.route,
        kind=request.kind,
        origin='agent' if request.sender else 'caller',
        outcome=outcome,
        reason=reason,
    )


def observe_latency(agent, request, latency_ms):
    """Record how long a caller waited for its response, in ms.

    The histogram takes 1 ms to `histograms.MAX_LATENCY_MS`; other values are
    recorded as the nearest bound.
    """
    key = (request.service, request.kind)
    row = agent.latencies.get(key)
    if row is None:
        row = agent.latencies.put(
            key,
            rows.Latency(
                request.service, request.kind, histograms.new_histogram()
            ),
        )
    row.recorded.record_value(
        min(max(1, latency_ms), histograms.MAX_LATENCY_MS),
    )
