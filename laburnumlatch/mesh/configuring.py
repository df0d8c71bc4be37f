"""System: the configuration in force; a lower version never replaces it."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.mesh import messages

TICKET = 'configuration/'
READ_TICKET = 'configuration/read'
WATCH_TICKET = 'configuration/watch'
WATCH_MS = 28_000
CALL_MS = 2000
# The planner knows a newer version: the watch may have gone silent.
BEHIND_MS = 500

_log = logs.logger('configuration')


def run(agent, now):
    """Follow the operator's configuration in the store."""
    for changed in agent.inbox.take(messages.SettingsChanged):
        _take_settings(agent, changed.settings)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        agent.is_watching_configuration = False
        retry_ms = agent.configuration_retry.record_failure(agent.rng)
        agent.timers.put(READ_TICKET, now + retry_ms)
    for read in agent.inbox.take(messages.ConfigurationRead):
        _take(agent, read)
    is_behind = agent.lease.configuration_version > agent.configuration_version
    if agent.is_watching_configuration and not is_behind:
        return
    interval_ms = BEHIND_MS if is_behind else CALL_MS
    if agent.due(READ_TICKET, interval_ms, now):
        agent.outbox.post(messages.ReadConfiguration(READ_TICKET))


def _take_settings(agent, settings):
    """Put new bounds in force; addresses and names stay until a restart."""
    kept = attrs.evolve(agent.settings, bounds=settings.bounds)
    if kept == agent.settings == settings:
        return
    _log.info('settings-changed', bounds=settings.bounds)
    if kept != settings:
        _log.warning('settings-need-restart')
    agent.settings = kept


def _take(agent, read):
    agent.configuration_heard = agent.now
    agent.configuration_retry.record_success()
    known = agent.configuration
    for configuration in read.configurations:
        if known is None or configuration.version > known.version:
            known = configuration
    if known is not None and known is not agent.configuration:
        _log.info(
            'configuration-in-force',
            version=known.version,
            routes=len(known.routes),
        )
        agent.configuration = known
        agent.outbox.post(messages.LimitsChanged(known.limits))
    if read.ticket == WATCH_TICKET or not agent.is_watching_configuration:
        agent.is_watching_configuration = True
        agent.outbox.post(
            messages.WatchConfiguration(
                WATCH_TICKET, read.store_version, WATCH_MS
            ),
        )
