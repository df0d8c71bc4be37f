"""System: takes, renews and follows the planner role.

One row of the store names the agent that holds the role, and the holder renews
the row. The other agents read it when the planner is silent, and one of them
takes the role if the row has not changed for some time. Writes are
compare-and-set by the version of the row.
"""

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.core import wire
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import members
from laburnumlatch.mesh import plannercontact
from laburnumlatch.mesh import takeover

TABLE = 'roles/'
ROW = 'roles/planner'
TICKET = 'role/'
READ_TICKET = 'role/read'
RENEW_TICKET = 'role/renew'
TAKE_TICKET = 'role/take'

RENEW_INTERVAL_MS = 1000
# A store call without a response counts as failed after this time.
CALL_TIMEOUT_MS = 1000
READ_INTERVAL_MS = 400
# Delay before a renewal that the store rejected is retried.
REJECTED_RETRY_MS = 400
# The role is taken from a holder whose row has not changed for this time.
STALE_ROW_MS = 1600
# Agents read the row one after another once the planner is silent, so that
# usually only one of them writes.
STAGGER_MS = 60
# For this time after a renewal the holder relies on having the role and issues
# leases without the contact of a majority. An agent that takes the role allows
# for leases that the former holder issues in this time.
CERTAIN_HOLD_MS = 2000
# Without the store the holder carries on for this time, as long as a majority
# of the hosts is still in contact with it.
MAX_OUTAGE_MS = 12_000
MAJORITY_TIMEOUT_MS = 1500
# A planner gives the role up only if the one before it held the role for this
# time: otherwise a fault that every planner meets would pass it round.
STEADY_HOLD_MS = 300_000
# An agent that has given the role up takes it only if no other has done so.
YIELD_MS = 30_000

_log = logs.logger('role')


def run(agent, now):
    """Renew the role, or take it if its holder is lost."""
    _process_store_responses(agent, now)
    is_held = agent.role.is_held
    if is_held and versions.epoch_of(agent.role.term) < agent.current_epoch:
        _give_up_term(agent, now)
    elif is_held:
        _renew(agent, now)
    elif agent.has_members:
        _watch_holder(agent, now)


def may_lease(role, now):
    """Return whether the holder may issue leases at `now`."""
    if not role.is_held:
        return False
    if now < role.renewed_at + CERTAIN_HOLD_MS:
        return True
    return (
        now < role.renewed_at + MAX_OUTAGE_MS
        and now < role.majority_contact + MAJORITY_TIMEOUT_MS
    )


def former_leases_end(role):
    """Return from when on no lease of an earlier planner can be live, in ms."""
    return role.taken_at if role.is_first else unknown_leases_end(role)


def unknown_leases_end(role):
    """Return from when on no lease of any earlier planner can be live, in ms.

    Unlike `former_leases_end` it does not rely on the row of the store for
    whether there was one. There may have been several planners before, of which
    the row of the store names only the last. Each stops issuing leases once it
    has lost contact with a majority of the hosts, or the store for too long.
    Its last lease may still last as long as a lease does.
    """
    ends = [role.taken_at + MAX_OUTAGE_MS]
    if role.majority_since is not None:
        ends.append(
            max(
                role.majority_since + MAJORITY_TIMEOUT_MS,
                role.taken_at + CERTAIN_HOLD_MS,
            ),
        )
    return min(ends) + leaserows.latest_end_ms()


def follow_planner(agent, holder, address, term, now):
    """Follow another planner if its term is higher; return whether it is."""
    role = agent.role
    if term <= role.term or holder == agent.host_id:
        return False
    _log.info('planner-followed', planner=holder, term=term, former=role.holder)
    if role.is_held:
        _step_down(agent)
    role.is_retaking = False
    role.holder = holder
    role.address = address
    role.term = term
    role.followed_at = now
    agent.lease.planner_contact_at = now
    agent.lease.issued_at = 0
    agent.lease.planner_has_store = True
    return True


def give_up_if_steady(agent, now):
    """Give the role up to another agent, unless it has just changed hands."""
    role = agent.role
    if not role.may_give_up:
        return
    _log.warning('planner-role-given-up', term=role.term)
    _step_down(agent)
    role.yields_until = now + YIELD_MS


def _give_up_term(agent, now):
    """Give up a term from before the store was restored; take the next one.

    The store may have lost the row of this term, and another one of an earlier
    planner may be there.
    """
    _log.warning('planner-role-lost', detail='the store was restored')
    _step_down(agent)
    agent.role.row_version = None
    agent.role.is_retaking = True
    _read_row(agent, now)


def _process_store_responses(agent, now):
    for read in agent.inbox.take_answers(storemsg.StoreChanges, TICKET):
        agent.role.pending = ''
        _process_read(agent, read, now)
    for written in agent.inbox.take_answers(storemsg.StoreWritten, TICKET):
        _process_write(agent, written, now)
    if agent.inbox.take_answers(storemsg.StoreRefused, TICKET):
        agent.role.pending = ''
        _read_row(agent, now)
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
            agent.timers.put(RENEW_TICKET, now + REJECTED_RETRY_MS)


def _process_read(agent, read, now):
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
        _process_record(agent, record, row.version, now)
    if role.row_version is None or not _has_row(read):
        role.row_version = 0
        role.row_seen_at = now
    if role.is_retaking and not role.is_held:
        _try_to_take(agent, now)


def _has_row(read):
    return any(row.key == ROW for row in read.rows)


def _process_record(agent, record, version, now):
    role = agent.role
    if role.is_held and (record.holder, record.term) != (
        agent.host_id,
        role.term,
    ):
        _log.warning('planner-role-lost', planner=record.holder)
        _step_down(agent)
    if role.row_version != version:
        role.row_version = version
        role.row_seen_at = now
    if record.holder == agent.host_id and not role.is_held:
        # Held by an earlier process on this host, which has ended.
        role.term = max(role.term, record.term)
        _try_to_take(agent, now)
    else:
        follow_planner(agent, record.holder, record.address, record.term, now)


def _renew(agent, now):
    role = agent.role
    if role.pending and now >= role.sent_at + CALL_TIMEOUT_MS:
        role.has_store = False
    if not agent.due(RENEW_TICKET, RENEW_INTERVAL_MS, now) or role.pending:
        return
    _write_row(agent, RENEW_TICKET, role.term, now)


def _write_row(agent, ticket, term, now):
    role = agent.role
    settings = agent.settings
    record = leaserows.RoleRecord(settings.host_id, settings.peer_address, term)
    role.pending = ticket
    role.sent_at = now
    agent.outbox.post(
        storemsg.StorePut(
            ticket, ROW, wire.pack(record), role.row_version or 0
        ),
    )


def _process_write(agent, written, now):
    role = agent.role
    role.pending = ''
    role.has_store = True
    if written.ticket == TAKE_TICKET:
        _become_holder(agent, now)
    role.row_version = written.version
    role.renewed_at = role.sent_at


def _become_holder(agent, now):
    """Start a new term as planner and announce it to all hosts."""
    role = agent.role
    role.is_first = not role.row_version and not role.term
    role.may_give_up = role.is_first or _was_followed_for_long(role, now)
    role.followed_at = 0
    role.holder = agent.host_id
    role.address = agent.settings.peer_address
    role.term = role.taking_term
    role.is_held = True
    role.is_retaking = False
    role.taken_at = now
    role.majority_contact = 0
    role.majority_since = None
    role.has_plans = False
    agent.plan_writes.clear()
    agent.lease_holders.clear()
    agent.bucket_loads.clear()
    agent.plan_faults.clear()
    _log.info('planner-role-taken', term=role.term)
    announcement = leasemsg.PlannerIs(role.holder, role.address, role.term)
    for host in members.live_hosts(agent):
        if host.host_id != agent.host_id:
            agent.outbox.post(
                leasemsg.SendDatagram(host.record.address, announcement),
            )


def _was_followed_for_long(role, now):
    return role.followed_at > 0 and now >= role.followed_at + STEADY_HOLD_MS


def _step_down(agent):
    agent.role.is_held = False
    agent.plan_writes.clear()
    agent.role.pending = ''
    agent.lease_holders.clear()
    agent.plan_faults.clear()


def _watch_holder(agent, now):
    """Read the row if the planner is silent; take the role if it is stale."""
    lease = agent.lease
    silent_at = lease.planner_contact_at + plannercontact.PLANNER_SILENCE_MS
    if plannercontact.follows_planner(agent, now):
        agent.wake_at(silent_at)
        return
    stagger_ms = takeover.rank(agent) * STAGGER_MS
    due = silent_at + stagger_ms
    if not lease.planner_has_store:
        due = lease.planner_contact_at + stagger_ms
    if agent.role.holder and now < due:
        agent.wake_at(due)
        return
    if agent.role.pending:
        return
    if _is_row_stale(agent, now) and now >= agent.role.yields_until:
        _try_to_take(agent, now)
    elif agent.due(READ_TICKET, READ_INTERVAL_MS, now):
        _read_row(agent, now)


def _is_row_stale(agent, now):
    role = agent.role
    if role.row_version is None or not role.has_store:
        return False
    if role.row_version == 0:
        return True
    return now >= role.row_seen_at + STALE_ROW_MS


def _try_to_take(agent, now):
    """Write this host into the row, unless it stops or a call is in flight.

    Nor does it if it has just given the role up.
    """
    role = agent.role
    if agent.stopping_since is not None or role.pending:
        return
    if now < role.yields_until:
        return
    role.taking_term = versions.following(role.term, agent.current_epoch)
    _write_row(agent, TAKE_TICKET, role.taking_term, now)


def _read_row(agent, now):
    agent.role.pending = READ_TICKET
    agent.role.sent_at = now
    agent.outbox.post(storemsg.StoreRead(READ_TICKET, TABLE))
