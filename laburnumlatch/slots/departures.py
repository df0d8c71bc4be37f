"""Planned departure of this host, and of a backend server that failed."""

from laburnumlatch.core import logs
from laburnumlatch.slots import grants
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import leases
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import requests
from laburnumlatch.slots import rows

REPEAT_MS = 100
TIMER = 'departures/surrender'
# Witnesses that do not answer within this time are left to vote by
# themselves when the promise expires.
GIVE_UP_MS = 3000

_log = logs.logger('departures')


def begin(world, reason, now):
    """Start no more work here and give up the slots when it has ended."""
    standing = world.standing
    if standing.departure == leaserows.Departure.NO:
        standing.departure = leaserows.Departure.FINISHING
        standing.departure_since = now
        _log.info('leaving', host=world.settings.host_id, reason=reason)


def run(world, plan, now):
    """Surrender once no request runs and no grant is live."""
    standing = world.standing
    if standing.departure == leaserows.Departure.FINISHING:
        if not _may_surrender(world, now):
            return
        standing.departure = leaserows.Departure.SURRENDERED
        standing.departure_since = now
    if standing.is_gone:
        _refuse_queued(world)
    if standing.departure != leaserows.Departure.SURRENDERED:
        return
    witness_set = None if plan is None else plan.witness_set(world.incarnation)
    if witness_set is None or _has_surrendered(world, witness_set, now):
        standing.departure = leaserows.Departure.DONE
        _log.info('left', host=world.settings.host_id)
    elif world.due(TIMER, REPEAT_MS, now):
        _ask(world, plan, witness_set)


def _refuse_queued(world):
    """Send back work that waits for a backend server that has left."""
    for request in world.requests:
        if request.state == rows.RequestState.QUEUED:
            requests.refuse(world, request, requestmsg.Reason.NOT_OWNER)


def _may_surrender(world, now):
    return grants.has_finished(world) and all(
        grants.is_withdrawn(world, row, now) for row in world.slots
    )


def _has_surrendered(world, witness_set, now):
    if leases.is_fenced(world):
        return True
    return now - world.standing.departure_since >= GIVE_UP_MS


def _ask(world, plan, witness_set):
    for witness in witness_set.everyone:
        lease = world.leases.get(witness)
        if lease is None or not lease.barred:
            leasemsg.send(
                world,
                witness.host_id,
                leasemsg.Surrender(plan.service, world.incarnation, witness),
            )
