"""Which failure domains the operator has evacuated.

While a domain is evacuated, its backend servers get no new requests: at once
none that can go elsewhere, and within the bound of the settings none at all.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import rows

# The own server gets no request in the last part of the bound: this agent has
# learned of the evacuation later than the store has acknowledged it.
MARGIN_MS = 1500

_log = logs.logger('evacuation')


def update(agent, read, now):
    """Apply the evacuations of a `configmsg.ConfigurationRead`."""
    for domain in read.evacuated:
        _begin(agent, domain, now)
    ended = list(read.ended_evacuations)
    if read.is_complete:
        ended += set(agent.evacuations.keys()) - set(read.evacuated)
    for domain in ended:
        if agent.evacuations.pop(domain) is not None:
            _log.info('evacuation-ended', domain=domain)


def is_evacuated(agent, domain):
    """Return whether the operator has evacuated a failure domain."""
    return domain in agent.evacuations


def may_start(agent, now):
    """Return whether the own backend server may be sent a request now."""
    evacuation = agent.evacuations.get(agent.settings.domain)
    return evacuation is None or now < _ends_at(agent, evacuation)


def _begin(agent, domain, now):
    if is_evacuated(agent, domain):
        return
    if domain not in agent.settings.regions:
        _log.warning('evacuation-ignored', domain=domain)
        return
    agent.evacuations.put(domain, rows.Evacuation(domain, now))
    _log.info('evacuation-begun', domain=domain)


def _ends_at(agent, evacuation):
    """Return until when requests may be sent to servers of the domain."""
    allowed_ms = agent.settings.bounds.evacuation_ms - MARGIN_MS
    return evacuation.begun_at + max(0, allowed_ms)
