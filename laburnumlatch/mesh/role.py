"""System: who holds the planner role, by one row of the store."""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members

TABLE = 'roles/'
ROW = 'roles/planner'
TICKET = 'role/'
READ_TICKET = 'role/read'
RENEW_TICKET = 'role/renew'
TAKE_TICKET = 'role/take'

RENEW_MS = 1000
# A call to the store without an answer counts as failed after this time.
CALL_MS = 1000
READ_MS = 400
# A renewal that the store turned down is made again after this time.
REJECTED_MS = 400
# The role is taken from a holder whose row has not changed for this time.
UNCHANGED_MS = 1600
# An agent that has heard nothing from the planner for this time looks at the
# row. Agents look one after another, so that mostly one of them writes.
SILENCE_MS = 1500
STAGGER_MS = 60
MAX_STAGGERS = 12
# A planner that uses a whole core fills a link of so many Mbit/s.
MBPS_PER_CORE = 50
# With a renewal this young the holder is certain that nobody took the role.
SURE_MS = 2000
# Without the store the holder goes on for this time, if a majority of the
# hosts still speaks to it.
OUTAGE_MS = 12_000
MAJORITY_MS = 1500

_log = logs.logger('role')


def run(agent, now):
    """Renew the role, or take it where its holder has gone."""
    _answers(agent, now)
    if agent.role.is_held:
        _hold(agent, now)
    elif agent.has_members:
        _watch(agent, now)


def may_lease(role, now):
    """Tell whether the holder may give leases at `now`."""
    if not role.is_held:
        return False
    if now < role.renewed + SURE_MS:
        return True
    return (
        now < role.renewed + OUTAGE_MS and now < role.majority_at + MAJORITY_MS
    )


def former_planners_end(role, lessees, lease_ms):
    """Return when no lease of an earlier planner can be live, in ms.

    An earlier planner stops giving leases when its process speaks to this
    one, or when a majority of the hosts no longer speaks to it.
    """
    if role.is_first:
        return role.taken
    ends = [role.taken + OUTAGE_MS]
    if role.majority_since is not None:
        ends.append(
            max(role.majority_since + MAJORITY_MS, role.taken + SURE_MS),
        )
    former = lessees.get(role.former_holder)
    if former is not None and former.first_heard is not None:
        ends.append(former.first_heard)
    return min(ends) + lease_ms


def adopt(agent, holder, address, term, now):
    """Follow another planner of a higher term; return whether it is new."""
    role = agent.role
    if term <= role.term or holder == agent.host_id:
        return False
    _log.info('planner-followed', planner=holder, term=term, former=role.holder)
    if role.is_held:
        _step_down(agent)
    role.holder = holder
    role.address = address
    role.term = term
    agent.lease.answered = now
    agent.lease.made = 0
    agent.lease.planner_has_store = True
    return True


def _answers(agent, now):
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        agent.role.pending = ''
        _read(agent, read, now)
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        _written(agent, written, now)
    if agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        agent.role.pending = ''
        _ask(agent, now)
    for failed in agent.inbox.take_answers(storemsg.StoreFailed, TICKET):
        _log.warning(
            'store-call-failed', call=failed.ticket, detail=failed.detail
        )
        agent.role.pending = ''
        agent.role.has_store = False
        if failed.ticket == READ_TICKET:
            retry_ms = agent.role_retry.record_failure(agent.rng)
            agent.timers.put(READ_TICKET, now + retry_ms)
        elif failed.is_rejected and agent.role.is_held:
            agent.timers.put(RENEW_TICKET, now + REJECTED_MS)


def _read(agent, read, now):
    role = agent.role
    role.has_store = True
    agent.role_retry.record_success()
    for row in read.rows:
        if row.key != ROW:
            continue
        try:
            record = wire.unpack(row.body, leaserows.RoleRecord)
        except errors.WireError as error:
            _log.error('row-ignored', row=row.key, detail=error)
            continue
        _see(agent, record, row.version, now)
    if role.row_version is None:
        role.row_version = 0
        role.row_seen = now


def _see(agent, record, version, now):
    role = agent.role
    if role.is_held and (record.holder, record.term) != (
        agent.host_id,
        role.term,
    ):
        _log.warning('planner-role-lost', planner=record.holder)
        _step_down(agent)
    if role.row_version != version:
        role.row_version = version
        role.row_seen = now
    if record.holder == agent.host_id and not role.is_held:
        # Held by an earlier process on this host, which has ended.
        role.term = max(role.term, record.term)
        _take(agent, now)
    else:
        adopt(agent, record.holder, record.address, record.term, now)


def _hold(agent, now):
    role = agent.role
    if role.pending and now >= role.sent + CALL_MS:
        role.has_store = False
    if not agent.due(RENEW_TICKET, RENEW_MS, now) or role.pending:
        return
    _put(agent, RENEW_TICKET, role.term, now)


def _put(agent, ticket, term, now):
    role = agent.role
    own = agent.settings
    record = leaserows.RoleRecord(own.host_id, own.peer_address, term)
    role.pending = ticket
    role.sent = now
    agent.outbox.post(
        storemsg.StorePut(
            ticket, ROW, wire.pack(record), role.row_version or 0
        ),
    )


def _written(agent, written, now):
    role = agent.role
    role.pending = ''
    role.has_store = True
    if written.ticket == TAKE_TICKET:
        _taken(agent, now)
    role.row_version = written.version
    role.renewed = role.sent


def _taken(agent, now):
    role = agent.role
    role.is_first = not role.row_version
    role.former_holder = role.holder
    role.holder = agent.host_id
    role.address = agent.settings.peer_address
    role.term += 1
    role.is_held = True
    role.taken = now
    role.majority_at = 0
    role.majority_since = None
    role.has_plans = False
    agent.plan_writes.clear()
    agent.lessees.clear()
    agent.loads.clear()
    _log.info('planner-role-taken', term=role.term)
    told = leasemsg.PlannerIs(role.holder, role.address, role.term)
    for host in members.live_hosts(agent):
        if host.host_id != agent.host_id:
            agent.outbox.post(
                leasemsg.SendDatagram(host.record.address, told),
            )


def _step_down(agent):
    agent.role.is_held = False
    agent.plan_writes.clear()
    agent.role.pending = ''
    agent.lessees.clear()


def _watch(agent, now):
    """Look at the row if the planner is silent; take it if it is stale."""
    lease = agent.lease
    is_followed = agent.role.holder and lease.planner_has_store
    if is_followed and now < lease.answered + SILENCE_MS:
        agent.wake_at(lease.answered + SILENCE_MS)
        return
    patience_ms = SILENCE_MS + _rank(agent) * STAGGER_MS
    if not lease.planner_has_store:
        patience_ms = _rank(agent) * STAGGER_MS
    due = lease.answered + patience_ms
    if agent.role.holder and now < due:
        agent.wake_at(due)
        return
    if agent.role.pending:
        return
    if _is_stale(agent, now):
        _take(agent, now)
    elif agent.due(READ_TICKET, READ_MS, now):
        _ask(agent, now)


def _is_stale(agent, now):
    role = agent.role
    if role.row_version is None or not role.has_store:
        return False
    if role.row_version == 0:
        return True
    return now >= role.row_seen + UNCHANGED_MS


def _take(agent, now):
    if agent.stopping_since is None and not agent.role.pending:
        _put(agent, TAKE_TICKET, agent.role.term + 1, now)


def _ask(agent, now):
    agent.role.pending = READ_TICKET
    agent.role.sent = now
    agent.outbox.post(storemsg.StoreRead(READ_TICKET, TABLE))


def _rank(agent):
    """Return this host's place in the order in which agents look."""
    hosts = sorted(
        members.live_hosts(agent),
        key=lambda host: (
            -_capacity(host.record),
            agent.is_divided_host(host),
            host.host_id,
        ),
    )
    ids = [host.host_id for host in hosts[:MAX_STAGGERS]]
    if agent.host_id not in ids:
        return MAX_STAGGERS
    return ids.index(agent.host_id)


def _capacity(record):
    """Return how much planning a host can take.

    All hosts speak to the planner, so a slow link binds like a slow core.
    """
    return min(record.cores, record.link_mbps / MBPS_PER_CORE)
