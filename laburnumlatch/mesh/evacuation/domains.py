"""Which failure domains the operator has evacuated.

While a domain is evacuated, its backend servers get no new requests: at once
none that can go elsewhere, and within the bound of the settings none at all.
The requests for evacuations are rows of the store.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import rows

# The own server gets no request in the last part of the bound: this agent has
# learned of the evacuation later than the store has acknowledged it.
MARGIN_MS = 1500
# After a long pause nothing is sent for this time, so that an evacuation which
# the store reported during the pause is read first.
RESUME_DELAY_MS = 100
# Responses that have arrived during a pause of this process are read within
# this time after it.
RESUME_MS = 1000
PROGRESS_TIMER = 'evacuation/progress'

_log = logs.logger('evacuation')


def update(agent, read, now):
    """Apply the evacuations of a `configmsg.ConfigurationRead`.

    A response that is older than one already applied is ignored: a full read
    and a watch run side by side, and may end in either order.
    """
    if read.store_version < agent.evacuations_version:
        return
    agent.evacuations_version = read.store_version
    begun_at = _latest_known_begin(agent, read, now)
    for domain in read.evacuated:
        if not is_evacuated(agent, domain):
            agent.evacuations.put(domain, rows.Evacuation(domain, begun_at))
            # `progress` reports it in this tick.
            agent.timers.pop(PROGRESS_TIMER)
    ended = set(read.ended_evacuations)
    if read.is_complete:
        ended.update(agent.evacuations.keys())
        ended.difference_update(read.evacuated)
    for domain in sorted(ended):
        evacuation = agent.evacuations.pop(domain)
        if evacuation is not None and evacuation.is_known:
            _log.info('evacuation-ended', domain=domain)
    if not len(agent.evacuations):
        agent.evacuation_progress = None


def is_evacuated(agent, domain):
    """Return whether the operator has evacuated the failure domain of a host.

    A domain without any host may be in the table, too.
    """
    return domain in agent.evacuations


def is_host_evacuated(agent, host_id):
    """Return whether a host may own no keys because its domain is evacuated.

    So is one whose domain is not known yet, while there is any evacuation.
    """
    if not len(agent.evacuations):
        return False
    host = agent.hosts.get(host_id)
    return host is None or is_evacuated(agent, host.record.domain)


def may_start(agent, now):
    """Return whether the own backend server may be sent a request now."""
    evacuation = agent.evacuations.get(agent.settings.domain)
    if evacuation is None:
        return True
    return evacuation.begun_at is not None and now < ends_at(agent, evacuation)


def paused_sends_until(agent):
    """Return until when nothing is sent after a pause, 0 if it was short.

    The bound of an evacuation may have ended during a long one.
    """
    if agent.resumed_at is None:
        return 0
    if agent.resumed_at - agent.paused_at < _allowed_ms(agent):
        return 0
    return agent.resumed_at + RESUME_DELAY_MS


def is_bound_over(agent, domain, now):
    """Return whether hosts of a domain have certainly stopped their work.

    False if this agent does not know when the evacuation began: the agents of
    the domain know better.
    """
    evacuation = agent.evacuations.get(domain)
    if evacuation is None or evacuation.begun_at is None:
        return False
    return now >= ends_at(agent, evacuation)


def ends_at(agent, evacuation):
    """Return until when requests may be sent to servers of the domain.

    The evacuation must have a known begin.
    """
    return evacuation.begun_at + _allowed_ms(agent)


def known_domains(agent):
    """Return the failure domains of the settings and of all known hosts."""
    return {
        agent.settings.domain,
        *agent.settings.regions,
        *(host.record.domain for host in agent.hosts),
    }


def _allowed_ms(agent):
    """Return how long requests may be sent after the begin of an evacuation."""
    return max(0, agent.settings.bounds.evacuation_ms - MARGIN_MS)


def _latest_known_begin(agent, read, now):
    """Return since when new evacuations of a read may exist, None if unknown.

    A watch reports them at once, unless this process was paused. Those of a
    read or a poll may be as old as the last response before it, or of any age
    if there was none. So the bound is never assumed to end later than it does,
    also after an outage of the store.
    """
    if read.is_prompt:
        is_resuming = (
            agent.resumed_at is not None and now < agent.resumed_at + RESUME_MS
        )
        return agent.paused_at if is_resuming else now
    return agent.operator_view.updated_at or None
