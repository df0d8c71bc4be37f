"""System: follows evacuations, and reports what has yet to leave."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.mesh.evacuation import domains

PROGRESS_INTERVAL_MS = 1000

_log = logs.logger('evacuation')


@attrs.define(frozen=True)
class Remaining:
    """What has yet to leave the hosts of evacuated domains.

    `pieces` and `keys` are those of all plans that such a host owns or has yet
    to release. `requests` are open at the backend server of this host, queued
    or running, if its own domain is evacuated.
    """

    pieces: int = 0
    keys: int = 0
    requests: int = 0


def run(agent, now):
    """Log begin and progress, and wake the agent at the end of the bound."""
    if not len(agent.evacuations):
        return
    own = agent.evacuations.get(agent.settings.domain)
    if own is not None and own.begun_at is not None:
        ends_at = domains.ends_at(agent, own)
        if now < ends_at:
            agent.wake_at(ends_at)
    if agent.due(domains.PROGRESS_TIMER, PROGRESS_INTERVAL_MS, now):
        if any(not evacuation.is_known for evacuation in agent.evacuations):
            _check_domains(agent)
        _log_progress(agent)


def effective_domains(agent):
    """Return the evacuated failure domains that exist, sorted."""
    return sorted(
        evacuation.domain
        for evacuation in agent.evacuations
        if evacuation.is_known
    )


def remaining(agent):
    """Return the `Remaining` as this agent knows it."""
    if not len(agent.evacuations):
        return Remaining()
    host_ids = {
        host.host_id
        for host in agent.hosts
        if domains.is_evacuated(agent, host.record.domain)
    }
    pieces = [
        piece
        for row in agent.plans
        for piece in row.plan.pieces
        if piece.host_id in host_ids or piece.former in host_ids
    ]
    return Remaining(
        len(pieces), sum(piece.size for piece in pieces), _open_here(agent)
    )


def _open_here(agent):
    if not domains.is_evacuated(agent, agent.settings.domain):
        return 0
    running = 0 if agent.backend is None else agent.backend.running
    return len(agent.queue) + running


def _check_domains(agent):
    """Log each new evacuation, and whether its domain exists.

    An unknown domain may become known with its first host.
    """
    known_domains = domains.known_domains(agent)
    for evacuation in agent.evacuations:
        if evacuation.domain in known_domains:
            if not evacuation.is_known:
                evacuation.is_known = True
                _log.info('evacuation-begun', domain=evacuation.domain)
        elif evacuation.is_known is None and agent.has_members:
            evacuation.is_known = False
            _log.warning(
                'evacuation-ignored',
                domain=evacuation.domain,
                known=','.join(sorted(known_domains)),
            )


def _log_progress(agent):
    """Log what has yet to leave if it has changed since the last line.

    The planner logs it for all keys, and each host of an evacuated domain for
    its own requests.
    """
    left = Remaining(requests=_open_here(agent))
    if agent.role.is_held:
        left = remaining(agent)
    if left != (agent.evacuation_progress or Remaining()):
        agent.evacuation_progress = left
        _log.info(
            'evacuation-progress',
            domains=','.join(effective_domains(agent)),
            pieces=left.pieces,
            keys=left.keys,
            requests=left.requests,
        )
