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


def run(world, now):
    """Follow the operator's configuration in the store."""
    for changed in world.inbox.take(messages.SettingsChanged):
        _take_settings(world, changed.settings)
    for failed in world.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        world.is_watching_configuration = False
        retry_ms = world.configuration_retry.failed(world.rng)
        world.timers.put(READ_TICKET, now + retry_ms)
    for read in world.inbox.take(messages.ConfigurationRead):
        _take(world, read)
    is_behind = world.lease.configuration_version > world.configuration_version
    if world.is_watching_configuration and not is_behind:
        return
    interval_ms = BEHIND_MS if is_behind else CALL_MS
    if world.due(READ_TICKET, interval_ms, now):
        world.outbox.post(messages.ReadConfiguration(READ_TICKET))


def _take_settings(world, settings):
    """Put new bounds in force; addresses and names stay until a restart."""
    kept = attrs.evolve(world.settings, bounds=settings.bounds)
    if kept == world.settings == settings:
        return
    _log.info('settings-changed', bounds=settings.bounds)
    if kept != settings:
        _log.warning('settings-need-restart')
    world.settings = kept


def _take(world, read):
    world.configuration_heard = world.now
    world.configuration_retry.succeeded()
    known = world.configuration
    for configuration in read.configurations:
        if known is None or configuration.version > known.version:
            known = configuration
    if known is not None and known is not world.configuration:
        _log.info(
            'configuration-in-force',
            version=known.version,
            routes=len(known.routes),
        )
        world.configuration = known
        world.outbox.post(messages.LimitsChanged(known.limits))
    if read.ticket == WATCH_TICKET or not world.is_watching_configuration:
        world.is_watching_configuration = True
        world.outbox.post(
            messages.WatchConfiguration(
                WATCH_TICKET, read.store_version, WATCH_MS
            ),
        )
