"""System: keeps the hosts and plans up to date from the rows of the store.

The rows of hosts are read once and then watched, which `tableviews` sees to.
Plans come from the planner, and from the store if one does not arrive. This
host's row is written whenever it differs from the state of the backend server.
"""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import ownserver
from laburnumlatch.mesh import planchanges
from laburnumlatch.mesh import planmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import tableviews
from laburnumlatch.mesh.pacing import coldness

TABLE = 'mesh/'
HOST_PREFIX = 'mesh/host/'
PLAN_PREFIX = 'plans/'
TICKET = 'members/'
SCAN_TICKET = 'members/scan'
WATCH_TICKET = 'members/watch'
POLL_TICKET = 'members/poll'
ROW_TICKET = 'members/row'
PLANS_TICKET = 'members/plans'
WATCH_TIMEOUT_MS = 28_000
# Pause after changes before the next watch: hosts that start or stop together
# write their rows together, and each watch that ends costs a call.
WATCH_PAUSE_MS = 500
# Rows that the planner knows, and this agent does not, may still come by the
# watch within this time.
BEHIND_MS = 2 * WATCH_PAUSE_MS
# How often this host's row is compared with its state.
OWN_ROW_CHECK_MS = 100
# The planner sends plans directly. The store is read if a plan has not arrived
# this long after a lease with its version.
PLAN_READ_DELAY_MS = 400
# A store call without a response is retried after this time.
CALL_TIMEOUT_MS = 2000
# A live backend server announces itself well within this time.
FIRST_ANNOUNCEMENT_MS = 3000

_log = logs.logger('members')


def run(agent, now):
    """Apply changed rows and plans, and keep this host's row up to date."""
    _read_or_poll(agent, now)
    _resume_watch(agent, now)
    for message in agent.inbox.take(planmsg.PlanTold):
        update_plan(agent, message.plan, message.row_version)
    for message in agent.inbox.take(planmsg.PlanChangeTold):
        _apply_plan_change(agent, message)
    _read_missing_plans(agent, now)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _process_failure(agent, failed, now)
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        _process_read(agent, read, now)
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        agent.own_row_version = written.version
        agent.is_own_row_missing = False
        agent.row_retry.record_success()
        agent.timers.pop(ROW_TICKET)
    if agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        read_again(agent)
    if agent.has_members and agent.due('members/own', OWN_ROW_CHECK_MS, now):
        _write_own_row(agent, now)


def own_record(agent):
    """Return the `rows.HostRecord` that this host's row should contain."""
    backend = agent.backend
    state = rows.HostState.READY
    if backend is None:
        state = rows.HostState.LEFT
    elif backend.closing_at is not None:
        state = rows.HostState.DRAINING
    settings = agent.settings
    return rows.HostRecord(
        host_id=settings.host_id,
        service=settings.service,
        domain=settings.domain,
        address=settings.peer_address,
        state=state,
        slots=0 if backend is None else backend.slots,
        life=None if backend is None else backend.life,
        cores=settings.cores,
        link_mbps=settings.link_mbps,
    )


def update_plan(agent, plan, row_version):
    """Replace this agent's plan of the service if `plan` is newer.

    The row may have a newer version and hold an older plan: then the store was
    restored from a copy.
    """
    current_row = agent.plans.get(plan.service)
    if current_row is not None:
        current_row.row_version = max(current_row.row_version, row_version)
        if current_row.plan.version >= plan.version:
            return
        row_version = current_row.row_version
    agent.plans.put(plan.service, leaserows.PlanRow(plan, row_version))
    _log.info(
        'plan-known',
        service=plan.service,
        version=plan.version,
        pieces=len(plan.pieces),
    )


def _apply_plan_change(agent, message):
    """Apply a change to this agent's plan, if it was made from that version."""
    change = message.change
    current_plan = agent.plan_of(change.service)
    if current_plan is None or current_plan.version >= change.version:
        return
    try:
        plan = planchanges.apply(current_plan, change)
    except planchanges.UnfitChangeError as error:
        # The whole plan arrives after the next renewal or from the store.
        _log.info('plan-change-unfit', known=current_plan.version, detail=error)
        return
    update_plan(agent, plan, message.row_version)


def apply_rows(agent, store_rows):
    """Update hosts and plans from rows of the store; ignore unreadable rows."""
    for row in store_rows:
        try:
            _apply_row(agent, row)
        except errors.WireError as error:
            _log.error('row-ignored', row=row.key, detail=error)


def read_again(agent):
    """Read all rows, as this host's row may be another one than was known."""
    agent.timers.pop(ROW_TICKET)
    agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))


def _read_missing_plans(agent, now):
    """Read the plans at the start, and if a newer one does not arrive."""
    if not _misses_plans(agent):
        agent.plans_outdated_since = None
        return
    if agent.plans_outdated_since is None:
        agent.plans_outdated_since = now
    read_at = agent.plans_outdated_since + PLAN_READ_DELAY_MS
    if agent.has_plans and now < read_at:
        agent.wake_at(read_at)
    elif agent.due(PLANS_TICKET, PLAN_READ_DELAY_MS, now):
        agent.outbox.post(storemsg.StoreRead(PLANS_TICKET, PLAN_PREFIX))


def _misses_plans(agent):
    """Return whether no plans were read yet, or the lease names a newer one."""
    if not agent.has_plans:
        return True
    for service, version in agent.lease.plan_versions:
        plan = agent.plan_of(service)
        if plan is None or plan.version < version:
            return True
    return False


def _process_failure(agent, failed, now):
    """Schedule the retry of a failed store call."""
    _log.warning('store-call-failed', call=failed.ticket, detail=failed.detail)
    view = agent.members_view
    if failed.ticket == WATCH_TICKET:
        view.is_watched = False
    if failed.ticket in {WATCH_TICKET, SCAN_TICKET, POLL_TICKET}:
        # Changes may be lost, or no longer in the store's history: read all
        # rows again.
        view.needs_read = True
        retry_at = now + view.retry.record_failure(agent.rng)
        agent.timers.put(SCAN_TICKET, retry_at)
        agent.wake_at(retry_at)
    elif failed.ticket == ROW_TICKET:
        retry_at = now + agent.row_retry.record_failure(agent.rng)
        agent.timers.put(ROW_TICKET, retry_at)
        if not failed.is_rejected:
            # The row may have been written and then has another version.
            agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))


def _read_or_poll(agent, now):
    """Read all rows, or ask for changes that the watch may have missed."""
    view = agent.members_view
    if view.needs_read:
        if agent.due(SCAN_TICKET, CALL_TIMEOUT_MS, now):
            agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))
        return
    must_poll = tableviews.must_poll(agent, view, BEHIND_MS, now)
    if must_poll and agent.due(POLL_TICKET, tableviews.POLL_INTERVAL_MS, now):
        agent.outbox.post(
            storemsg.StoreWatch(POLL_TICKET, TABLE, view.known_to, 0)
        )


def _resume_watch(agent, now):
    """Start the next watch once its pause is over."""
    view = agent.members_view
    if view.watch_at is None or not view.is_watched:
        return
    if now < view.watch_at:
        agent.wake_at(view.watch_at)
        return
    view.watch_at = None
    agent.outbox.post(
        storemsg.StoreWatch(
            WATCH_TICKET, TABLE, view.known_to, WATCH_TIMEOUT_MS
        ),
    )


def _process_read(agent, read, now):
    """Apply the rows of a read or watch, and schedule the next watch."""
    if read.ticket == PLANS_TICKET:
        agent.has_plans = True
        apply_rows(agent, read.rows)
        return
    view = agent.members_view
    if read.ticket == WATCH_TICKET or not view.is_watched:
        view.is_watched = True
        pause_ms = WATCH_PAUSE_MS if read.rows else 0
        view.watch_at = now + pause_ms
        agent.wake_at(view.watch_at)
    if not agent.has_members:
        _log.info('members-known', version=read.version)
    agent.has_members = True
    if read.ticket == SCAN_TICKET:
        view.needs_read = False
        _find_own_row(agent, read.rows)
    apply_rows(agent, read.rows)
    changed_in = max((row.version for row in read.rows), default=0)
    tableviews.update(view, read.version, changed_in, now)


def _find_own_row(agent, store_rows):
    """Note whether this host's row is among all rows of the table."""
    own_key = f'{HOST_PREFIX}{agent.host_id}'
    agent.is_own_row_missing = all(row.key != own_key for row in store_rows)
    if agent.is_own_row_missing:
        agent.own_row_version = 0


def _apply_row(agent, row):
    if row.key.startswith(PLAN_PREFIX):
        plan = ranges.validate(wire.unpack(row.body, ranges.Plan))
        update_plan(agent, plan, row.version)
    elif row.key.startswith(HOST_PREFIX):
        record = wire.unpack(row.body, rows.HostRecord)
        if row.key != f'{HOST_PREFIX}{record.host_id}':
            raise errors.WireError(f'row describes host {record.host_id}')
        _update_host(agent, record, row.version)


def _update_host(agent, record, version):
    """Update a host if its row is newer; a new life clears its failures."""
    if record.host_id == agent.host_id:
        agent.own_row_version = max(agent.own_row_version, version)
        ownserver.resume_draining(agent, record, agent.now)
    host = agent.hosts.get(record.host_id)
    if host is None:
        host = agent.hosts.put(record.host_id, rows.Host(record, version))
        # Rows of the first read may be old.
        if agent.members_view.updated_at:
            coldness.expect_cold_start(agent, host, agent.now)
    elif host.version < version:
        if host.record != record:
            _log.info(
                'host-changed',
                host=record.host_id,
                state=record.state,
                life=record.life,
            )
        if host.record.life != record.life:
            host.avoid_until = 0
            host.failures = 0
            coldness.expect_cold_start(agent, host, agent.now)
        host.record = record
        host.version = version


def _write_own_row(agent, now):
    record = own_record(agent)
    host = agent.hosts.get(agent.host_id)
    is_known = host is not None and host.record == record
    if is_known and not agent.is_own_row_missing:
        return
    if agent.backend is None and now < agent.started + FIRST_ANNOUNCEMENT_MS:
        # The backend server may be live beside a restarted agent.
        agent.wake_at(agent.started + FIRST_ANNOUNCEMENT_MS)
        return
    if not agent.due(ROW_TICKET, CALL_TIMEOUT_MS, now):
        return
    agent.outbox.post(
        storemsg.StorePut(
            ROW_TICKET,
            f'{HOST_PREFIX}{agent.host_id}',
            wire.pack(record),
            agent.own_row_version,
        )
    )


def live_hosts(agent):
    """Return the hosts whose rows are not in the state `LEFT`."""
    return [
        host for host in agent.hosts if host.record.state != rows.HostState.LEFT
    ]
