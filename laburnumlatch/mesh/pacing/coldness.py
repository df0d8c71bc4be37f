"""Until when backend servers are cold.

A server says with each announcement how long it stays cold. Only the agent
beside it receives its announcements. Other agents learn of a new life from the
row of the host, and of its cold time from responses of that agent.
"""

from laburnumlatch.core import logs
from laburnumlatch.mesh import counting

# A server may become cold again for a longer time than after its start, but a
# cold time beyond this multiple of the configured one is taken for an error.
MAX_COLD_RATIO = 4
# The longest cold time that is believed if the service does not configure one.
DEFAULT_MAX_COLD_MS = 30_000
# Longer than the interval of announcements, 870 ms.
SUSPECT_MS = 1000
# Announcements come about once a second, and repeat a time that is invalid.
LOG_INTERVAL_MS = 60_000

_log = logs.logger('pacing')


def update(agent, cold_ms, now):
    """Record that the own server has announced to be cold for `cold_ms`.

    The newest announcement counts, also if it says less than an earlier one.
    If `cold_ms` is None, as it was unreadable, what was believed stays, and a
    new life counts as cold for the time of the configuration.
    """
    backend = agent.backend
    if cold_ms is None:
        if agent.due('pacing/unreadable', LOG_INTERVAL_MS, now):
            _log.warning('cold-time-unreadable', server=backend.life.server_id)
        if backend.joined_at < now:
            return
        service = _own_service(agent)
        cold_ms = 0 if service is None else service.cold_start_ms
    believed_ms = min(cold_ms, _longest_ms(agent))
    if believed_ms < cold_ms and agent.due(
        'pacing/clamped', LOG_INTERVAL_MS, now
    ):
        _log.warning(
            'cold-time-clamped', said_ms=cold_ms, believed_ms=believed_ms
        )
    was_cold = bool(backend.cold_until)
    backend.cold_until = now + believed_ms if believed_ms else 0
    if was_cold != bool(believed_ms):
        counting.count(agent, 'cold_changes', cold=bool(believed_ms))
        _log.info(
            'server-cold' if believed_ms else 'server-warm',
            server=backend.life.server_id,
            cold_ms=believed_ms,
            per_s=cold_rate(agent),
            running=backend.running,
            queued=len(agent.queue),
        )


def expect_restart(agent, now):
    """Treat the own server as cold, as it accepted no connection.

    It may be restarting, and serve requests before its first announcement
    arrives. The next announcement replaces this.
    """
    backend = agent.backend
    if remaining_ms(agent, now) or not cold_rate(agent):
        return
    backend.cold_until = now + SUSPECT_MS
    _log.info('server-maybe-cold', server=backend.life.server_id)


def cold_rate(agent):
    """Return the requests a second that the own server bears while cold.

    Returns 0 if the configuration states none, or is not known yet.
    """
    service = _own_service(agent)
    return 0 if service is None else service.cold_per_s


def remaining_ms(agent, now):
    """Return how long the own server stays cold; 0 if it needs no pace."""
    backend = agent.backend
    if backend is None or backend.cold_until <= now or not cold_rate(agent):
        return 0
    return backend.cold_until - now


def expect_cold_start(agent, host, now):
    """Treat another host as cold, as its row shows a new life there.

    The row does not say for how long; until a response of the host does, the
    cold time of the configuration counts.
    """
    services = (
        {} if agent.configuration is None else (agent.configuration.services)
    )
    service = services.get(host.record.service)
    if service is not None and service.cold_per_s:
        host.cold_until = now + service.cold_start_ms


def is_host_cold(agent, host, now):
    """Return whether a host, this one or another, has a cold server."""
    if host.host_id == agent.host_id:
        return bool(remaining_ms(agent, now))
    return now < host.cold_until


def _longest_ms(agent):
    """Return the longest cold time that is believed."""
    service = _own_service(agent)
    if service is None or not service.cold_start_ms:
        return DEFAULT_MAX_COLD_MS
    return service.cold_start_ms * MAX_COLD_RATIO


def _own_service(agent):
    if agent.configuration is None:
        return None
    return agent.configuration.services.get(agent.settings.service)
