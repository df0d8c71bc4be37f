"""System: keeps the operator's configuration up to date.

The configuration is read from the store and then watched for changes, which
`tableviews` sees to. A lower version never replaces a higher one. Local
settings that have changed are applied here too.
"""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import splitting
from laburnumlatch.mesh import tableviews
from laburnumlatch.mesh.evacuation import domains

TICKET = 'configuration/'
READ_TICKET = 'configuration/read'
WATCH_TICKET = 'configuration/watch'
POLL_TICKET = 'configuration/poll'
WATCH_TIMEOUT_MS = 28_000
READ_INTERVAL_MS = 2000

_log = logs.logger('configuration')


def run(agent, now):
    """Read or watch the configuration and apply new versions and settings."""
    for changed in agent.inbox.take(configmsg.SettingsChanged):
        _apply_settings(agent, changed.settings)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _process_failure(agent, failed, now)
    for read in agent.inbox.take(configmsg.ConfigurationRead):
        _apply_read(agent, read, now)
    _read_or_poll(agent, now)


def _read_or_poll(agent, now):
    """Read all rows, or ask for changes that the watch may have missed."""
    view = agent.operator_view
    if view.needs_read:
        if agent.due(READ_TICKET, READ_INTERVAL_MS, now):
            agent.outbox.post(configmsg.ReadConfiguration(READ_TICKET))
        return
    is_outdated = (
        agent.lease.configuration_version > agent.configuration_version
    )
    must_poll = is_outdated or tableviews.must_poll(agent, view, 0, now)
    if must_poll and agent.due(POLL_TICKET, tableviews.POLL_INTERVAL_MS, now):
        agent.outbox.post(
            configmsg.WatchConfiguration(POLL_TICKET, view.known_to, 0)
        )


def _process_failure(agent, failed, now):
    """Read all rows again: changes may be lost, or out of the history."""
    _log.warning('store-call-failed', call=failed.ticket, detail=failed.detail)
    view = agent.operator_view
    view.needs_read = True
    if failed.ticket == WATCH_TICKET:
        view.is_watched = False
    agent.timers.put(READ_TICKET, now + view.retry.record_failure(agent.rng))


def _apply_settings(agent, settings):
    """Apply new bounds; all other settings change only with a restart."""
    applied = attrs.evolve(agent.settings, bounds=settings.bounds)
    if applied == agent.settings == settings:
        return
    _log.info('settings-changed', bounds=settings.bounds)
    if applied != settings:
        _log.warning('settings-need-restart')
    agent.settings = applied


def _apply_read(agent, read, now):
    """Apply the newest version that was read, and start the next watch."""
    view = agent.operator_view
    domains.update(agent, read, now)
    tableviews.update(view, read.store_version, read.changed_in, now)
    newest = agent.configuration
    for configuration in read.configurations:
        if newest is None or configuration.version > newest.version:
            newest = configuration
    if newest is not None and newest is not agent.configuration:
        _put_in_force(agent, newest)
    if read.is_complete:
        view.needs_read = False
    if read.ticket == WATCH_TICKET or not view.is_watched:
        view.is_watched = True
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
