"""System: the planner writes the plans of all services."""

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.slots import balance
from laburnumlatch.slots import fences
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import plans
from laburnumlatch.slots import proposals
from laburnumlatch.slots import rows

ROLE = 'role'
ROLE_TICKET = 'planning/role'
ROLE_RENEW_MS = 2000
# Slots without a chain of live hosts wait for a planner that is there.
ROLE_STALE_MS = 6000
# Agents that see a stale role try to take it spread over this time.
ROLE_SPREAD_MS = 2000
# The same where the planner is known to have gone.
VACANT_SPREAD_MS = 500
INTERVAL_MS = 1000
# Hosts that start together get into the first plan together.
FIRST_PLAN_MS = 1000

_log = logs.logger('planning')


def run(world, now):
    """Hold or take the planner role, and plan while it is held."""
    proposals.run(world, now)
    _read_role(world, now)
    _renew_role(world, now)
    if _is_planner(world, now) and world.due('planning/plan', INTERVAL_MS, now):
        for service in world.services:
            _plan(world, service, now)


def improved(plan, service, hosts, region, voted=()):
    """Return the plan that ready `hosts` should get; pure.

    `region` holds the ready hosts of all services, `voted` the (host,
    witness) pairs of known votes.
    """
    better = plans.with_sets(plan, hosts, region, voted)
    better = plans.with_successors(better, hosts)
    return balance.with_moves(better, service, hosts)


def _is_planner(world, now):
    role = world.role
    return role.planner == world.incarnation and now - role.seen < ROLE_STALE_MS


def _read_role(world, now):
    for kind in (
        storemsg.StoreWritten,
        storemsg.StoreRefused,
        storemsg.StoreFailed,
    ):
        if world.inbox.take_answers(kind, ROLE_TICKET):
            proposals.read_back(world, now)
    document = world.documents.get((ROLE, world.settings.region))
    if document is None or document.version == world.role.version:
        return
    world.role.version = document.version
    world.role.seen = now
    try:
        row = wire.unpack(document.body, leaserows.PlannerRole)
    except errors.WireError as error:
        _log.error('planner-row-refused', detail=error)
        world.role.planner = None
    else:
        world.role.planner = row.planner


def _renew_role(world, now):
    server = world.local_server()
    if server is None or server.state != rows.HostState.READY:
        return
    due = world.role.seen + _role_wait_ms(world)
    if now < due:
        world.wake_at(due)
    elif world.due(ROLE_TICKET, INTERVAL_MS, now):
        _write_role(world)


def _role_wait_ms(world):
    """Return how long after the last write of the role this host writes it."""
    role = world.role
    if role.planner == world.incarnation:
        return ROLE_RENEW_MS
    # A restarted planner does not wait for its own row to be stale.
    if _was_planner(world) or not role.version:
        return 0
    number = world.incarnation.number
    if _planner_is_out(world):
        return number % VACANT_SPREAD_MS
    return ROLE_STALE_MS + number % ROLE_SPREAD_MS


def _was_planner(world):
    planner = world.role.planner
    return planner is not None and planner.host_id == world.settings.host_id


def _planner_is_out(world):
    """Tell whether the planner is known to leave, or to be fenced."""
    planner = world.role.planner
    if planner is None:
        return False
    host = world.hosts.get(planner.host_id)
    if host is not None and host.state != rows.HostState.READY:
        return True
    return any(planner in plan.fenced for plan in world.plans)


def _write_role(world):
    role = world.role
    role.term += 1
    body = wire.pack(leaserows.PlannerRole(world.incarnation, role.term))
    world.outbox.post(
        storemsg.StorePut(
            ROLE_TICKET,
            f'{ROLE}/{world.settings.region}',
            body,
            role.version,
        )
    )


def _plan(world, service, now):
    if not proposals.is_open(world, service.name, now):
        return
    ready = [host for host in world.hosts if host.state == rows.HostState.READY]
    own = world.settings.region
    regions = {host.region for host in ready if host.service == service.name}
    # Planners of two regions would undo each other's changes to one plan.
    if min(regions, default=own) != own:
        return
    region = [host for host in ready if host.region == own]
    hosts = [host for host in region if host.service == service.name]
    plan = world.plans.get(service.name)
    if plan is None:
        _plan_first(world, service, hosts, region, now)
        return
    better = improved(
        attrs.evolve(plan, fenced=_fenced(world, plan)),
        service,
        hosts,
        region,
        frozenset(world.votes.keys()),
    )
    if better != plan:
        _log_changes(plan, better)
        proposals.propose(world, better, now)


def _plan_first(world, service, hosts, region, now):
    if not hosts:
        return
    begin = world.role.plan_from.setdefault(service.name, now + FIRST_PLAN_MS)
    if now < begin:
        world.wake_at(begin)
        return
    first = plans.initial(service, hosts, region)
    _log.info('first-plan', service=service.name, hosts=len(hosts))
    proposals.propose(world, first, now)


def _fenced(world, plan):
    """Return the current incarnations that are known to be fenced."""
    current = {plans.incarnation(host) for host in world.hosts}
    known = set(plan.fenced)
    for vote in world.votes:
        # An earlier incarnation with an heir is left to its claim.
        heirs = None if vote.host in current else (0,)
        if fences.is_fenced(world, plan, vote.host, 0, heirs):
            known.add(vote.host)
    for slot in plan.slots:
        current.update(slot.chain)
    return tuple(sorted(known & current, key=attrs.astuple))


def _log_changes(plan, better):
    for number, (old, new) in enumerate(
        zip(plan.slots, better.slots, strict=True)
    ):
        if old.owner != new.owner:
            _log.info(
                'slot-moved',
                service=plan.service,
                slot=number,
                owner=new.owner.host_id,
                epoch=new.epoch,
                reason='balance',
            )
