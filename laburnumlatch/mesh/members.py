"""System: hosts and plans by the rows of the store."""

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

TABLE = 'mesh/'
HOST_PREFIX = 'mesh/host/'
PLAN_PREFIX = 'plans/'
TICKET = 'members/'
SCAN_TICKET = 'members/scan'
WATCH_TICKET = 'members/watch'
ROW_TICKET = 'members/row'
PLANS_TICKET = 'members/plans'
WATCH_MS = 28_000
# After changes the next watch begins this much later: hosts that start or end
# together write their rows together, and each watch that ends is a call.
WATCH_PAUSE_MS = 500
# How often the own row is compared with what it should say.
OWN_ROW_MS = 100
# The planner's plan comes directly; the store is asked if it has not come this
# long after a lease that tells of it.
PLANS_MS = 400
# A call to the store that is not answered by then is made again.
CALL_MS = 2000
# A backend server that lives announces itself well within this time.
FIRST_ANNOUNCEMENT_MS = 3000

_log = logs.logger('members')


def run(agent, now):
    """Follow the rows, and keep the own one current."""
    if not agent.is_watching and agent.due(SCAN_TICKET, CALL_MS, now):
        agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))
    _watch_again(agent, now)
    for told in agent.inbox.take(planmsg.PlanTold):
        take_plan(agent, told.plan, told.row_version)
    for change_told in agent.inbox.take(planmsg.PlanChangeTold):
        _take_change(agent, change_told)
    _read_plans(agent, now)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _failed(agent, failed, now)
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        _changed(agent, read, now)
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        agent.own_row_version = written.version
        agent.row_retry.succeeded()
        agent.timers.pop(ROW_TICKET)
    if agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        _rescan(agent)
    if agent.has_members and agent.due('members/own', OWN_ROW_MS, now):
        _write_own_row(agent, now)


def own_record(agent):
    """Return what this host's row of the store should say."""
    backend = agent.backend
    state = rows.HostState.READY
    if backend is None:
        state = rows.HostState.LEFT
    elif backend.closing_at is not None:
        state = rows.HostState.DRAINING
    own = agent.settings
    return rows.HostRecord(
        host_id=own.host_id,
        service=own.service,
        domain=own.domain,
        address=own.peer_address,
        state=state,
        slots=0 if backend is None else backend.slots,
        life=None if backend is None else backend.life,
        cores=own.cores,
        link_mbps=own.link_mbps,
    )


def take_plan(agent, plan, row_version):
    """Keep `plan` if it is newer than what this agent knows."""
    known = agent.plans.get(plan.service)
    if known is not None and known.row_version >= row_version:
        return
    agent.plans.put(plan.service, leaserows.PlanRow(plan, row_version))
    _log.info(
        'plan-known',
        service=plan.service,
        version=plan.version,
        pieces=len(plan.pieces),
    )


def _take_change(agent, told):
    """Keep the plan that a change leads to, if the one before is known."""
    change = told.change
    known = agent.plan_of(change.service)
    if known is None or known.version >= change.version:
        return
    try:
        plan = planchanges.apply(known, change)
    except planchanges.UnfitChangeError as error:
        # The whole plan follows with the next lease or from the store.
        _log.info('plan-change-unfit', known=known.version, detail=error)
        return
    take_plan(agent, plan, told.row_version)


def take_rows(agent, found):
    """Keep what rows of the store say of hosts and plans."""
    for row in found:
        try:
            _take_row(agent, row)
        except errors.WireError as error:
            _log.error('row-ignored', row=row.key, detail=error)


def _rescan(agent):
    agent.timers.pop(ROW_TICKET)
    agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))


def _read_plans(agent, now):
    """Read the plans at the start, and if one that is known of is missing."""
    if not _misses_plans(agent):
        agent.plans_missed_since = None
        return
    if agent.plans_missed_since is None:
        agent.plans_missed_since = now
    read_at = agent.plans_missed_since + PLANS_MS
    if agent.has_plans and now < read_at:
        agent.wake_at(read_at)
    elif agent.due(PLANS_TICKET, PLANS_MS, now):
        agent.outbox.post(storemsg.StoreRead(PLANS_TICKET, PLAN_PREFIX))


def _misses_plans(agent):
    """Tell whether the planner knows a newer plan, or none is known yet."""
    if not agent.has_plans:
        return True
    for service, version in agent.lease.plan_versions:
        plan = agent.plan_of(service)
        if plan is None or plan.version < version:
            return True
    return False


def _failed(agent, failed, now):
    _log.warning('store-call-failed', call=failed.ticket, detail=failed.detail)
    if failed.ticket == WATCH_TICKET:
        # The history may be gone or changes lost, so all is read again.
        agent.is_watching = False
        agent.watch_after = None
    if failed.ticket in {WATCH_TICKET, SCAN_TICKET}:
        retry_at = now + agent.members_retry.failed(agent.rng)
        agent.timers.put(SCAN_TICKET, retry_at)
        agent.wake_at(retry_at)
    elif failed.ticket == ROW_TICKET:
        retry_at = now + agent.row_retry.failed(agent.rng)
        agent.timers.put(ROW_TICKET, retry_at)
        if not failed.is_rejected:
            # The row may have been written, and then has another version.
            agent.outbox.post(storemsg.StoreRead(SCAN_TICKET, TABLE))


def _watch_again(agent, now):
    """Begin the next watch once its pause is over."""
    if agent.watch_after is None:
        return
    if now < agent.watch_at:
        agent.wake_at(agent.watch_at)
        return
    agent.outbox.post(
        storemsg.StoreWatch(WATCH_TICKET, TABLE, agent.watch_after, WATCH_MS),
    )
    agent.watch_after = None


def _changed(agent, read, now):
    agent.members_retry.succeeded()
    if read.ticket == PLANS_TICKET:
        agent.has_plans = True
        take_rows(agent, read.rows)
        return
    if read.ticket == WATCH_TICKET or not agent.is_watching:
        agent.is_watching = True
        agent.watch_after = read.version
        pause_ms = WATCH_PAUSE_MS if read.rows else 0
        agent.watch_at = now + pause_ms
        agent.wake_at(agent.watch_at)
    if not agent.has_members:
        _log.info('members-known', version=read.version)
    agent.has_members = True
    take_rows(agent, read.rows)
    agent.members_heard = agent.now


def _take_row(agent, row):
    if row.key.startswith(PLAN_PREFIX):
        plan = ranges.validate(wire.unpack(row.body, ranges.Plan))
        take_plan(agent, plan, row.version)
    elif row.key.startswith(HOST_PREFIX):
        record = wire.unpack(row.body, rows.HostRecord)
        if row.key != f'{HOST_PREFIX}{record.host_id}':
            raise errors.WireError(f'row of host {record.host_id}')
        _take_host(agent, record, row.version)


def _take_host(agent, record, version):
    if record.host_id == agent.host_id:
        agent.own_row_version = max(agent.own_row_version, version)
        ownserver.recall_leaving(agent, record, agent.now)
    known = agent.hosts.get(record.host_id)
    if known is None:
        agent.hosts.put(record.host_id, rows.Host(record, version))
    elif known.version < version:
        if known.record != record:
            _log.info(
                'host-changed',
                host=record.host_id,
                state=record.state,
                life=record.life,
            )
        if known.record.life != record.life:
            known.avoid_until = 0
            known.failures = 0
        known.record = record
        known.version = version


def _write_own_row(agent, now):
    record = own_record(agent)
    known = agent.hosts.get(agent.host_id)
    if known is not None and known.record == record:
        return
    if agent.backend is None and now < agent.started + FIRST_ANNOUNCEMENT_MS:
        # The backend server may live on beside a restarted agent.
        agent.wake_at(agent.started + FIRST_ANNOUNCEMENT_MS)
        return
    if not agent.due(ROW_TICKET, CALL_MS, now):
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
    """Return the hosts whose rows do not say that they have left."""
    return [
        host for host in agent.hosts if host.record.state != rows.HostState.LEFT
    ]
