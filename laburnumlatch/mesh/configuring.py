"""System: keeps the operator's configuration up to date.

The configuration is read from the store and then watched for changes. A lower
version never replaces a higher one. Local settings that have changed are
applied here too.
"""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import splitting
from laburnumlatch.mesh.evacuation import domains

TICKET = 'configuration/'
READ_TICKET = 'configuration/read'
WATCH_TICKET = 'configuration/watch'
WATCH_TIMEOUT_MS = 28_000
READ_INTERVAL_MS = 2000
# Used if the planner has a newer version: the watch may have stalled.
OUTDATED_READ_INTERVAL_MS = 500

_log = logs.logger('configuration')


def run(agent, now):
    """Read or watch the configuration and apply new versions and settings."""
    for changed in agent.inbox.take(configmsg.SettingsChanged):
        _apply_settings(agent, changed.settings)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        agent.is_watching_configuration = False
        retry_ms = agent.configuration_retry.record_failure(agent.rng)
        agent.timers.put(READ_TICKET, now + retry_ms)
    for read in agent.inbox.take(configmsg.ConfigurationRead):
        _apply_read(agent, read)
    is_outdated = (
        agent.lease.configuration_version > agent.configuration_version
    )
    if agent.is_watching_configuration and not is_outdated:
        return
    interval_ms = OUTDATED_READ_INTERVAL_MS if is_outdated else READ_INTERVAL_MS
    if agent.due(READ_TICKET, interval_ms, now):
        agent.outbox.post(configmsg.ReadConfiguration(READ_TICKET))


def _apply_settings(agent, settings):
    """Apply new bounds; all other settings change only with a restart."""
    applied = attrs.evolve(agent.settings, bounds=settings.bounds)
    if applied == agent.settings == settings:
        return
    _log.info('settings-changed', bounds=settings.bounds)
    if applied != settings:
        _log.warning('settings-need-restart')
    agent.settings = applied


def _apply_read(agent, read):
    """Apply the newest version that was read, and start the next watch."""
    domains.update(agent, read, agent.now)
    agent.configuration_updated_at = agent.now
    agent.configuration_retry.record_success()
    newest = agent.configuration
    for configuration in read.configurations:
        if newest is None or configuration.version > newest.version:
            newest = configuration
    if newest is not None and newest is not agent.configuration:
        _put_in_force(agent, newest)
    if read.ticket == WATCH_TICKET or not agent.is_watching_configuration:
        agent.is_watching_configuration = True
        agent.outbox.post(
            configmsg.WatchConfiguration(
                WATCH_TICKET, read.store_version, WATCH_TIMEOUT_MS
            ),
        )


def _put_in_force(agent, newest):
    """Replace the configuration; an unweighted split keeps its last form."""
    applied = splitting.replace_unweighted(newest, agent.configuration)
    _log.info(
        'configuration-in-force',
        version=applied.version,
        routes=len(applied.routes),
    )
    agent.configuration = applied
    splitting.drop_stale(agent)
    agent.outbox.post(configmsg.LimitsChanged(applied.limits))
