"""Writes of plans: compare-and-set on the version that was read."""

import attrs

from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.slots import documents
from laburnumlatch.slots import leaserows

TICKET = 'proposals/'
# After this time without an answer the write is tried again; it may have
# taken effect, which the document shows.
ANSWER_MS = 1000
# Writers that met a newer version spread their next attempts over this time.
SPREAD_MS = 300


def run(world, now):
    """Take in the answers to writes of plans, then read what is there."""
    for kind in (
        storemsg.StoreWritten,
        storemsg.StoreRefused,
        storemsg.StoreFailed,
    ):
        for answer in world.inbox.take_answers(kind, TICKET):
            proposal = _pop(world, answer.ticket)
            if proposal is not None:
                _defer(world, proposal, now)
                read_back(world, now)


def read_back(world, now):
    """Have the store read at once instead of at the next poll.

    The documents system reads all newer rows: taking in one row alone would
    move its cursor past older rows that it has not read.
    """
    world.store_reader.next_read = now
    world.wake_at(now)


def is_open(world, service, now):
    """Tell whether a plan of `service` may be written by this agent now."""
    proposal = world.proposals.get(service)
    if proposal is not None and proposal.sent + ANSWER_MS > now:
        world.wake_at(proposal.sent + ANSWER_MS)
        return False
    not_before, refused_version = world.timers.get(_timer(service)) or (0, 0)
    if _stored_version(world, service) == refused_version:
        not_before += ANSWER_MS
    if not_before > now:
        world.wake_at(not_before)
        return False
    return True


def propose(world, plan, now):
    """Write `plan` as the next version of the one this agent has."""
    current = world.plans.get(plan.service)
    version = 1 if current is None else current.version + 1
    world.standing.proposed += 1
    proposal = leaserows.Proposal(
        f'{TICKET}{plan.service}/{world.standing.proposed}',
        plan.service,
        wire.pack(attrs.evolve(plan, version=version)),
        _stored_version(world, plan.service),
        now,
    )
    world.proposals.put(plan.service, proposal)
    world.outbox.post(
        storemsg.StorePut(
            proposal.ticket,
            f'{documents.PLAN}/{plan.service}',
            proposal.body,
            proposal.expected_version,
        )
    )


def _pop(world, ticket):
    service = ticket.removeprefix(TICKET).rpartition('/')[0]
    proposal = world.proposals.get(service)
    if proposal is None or proposal.ticket != ticket:
        return None
    return world.proposals.pop(service)


def _defer(world, proposal, now):
    """Write again only on a newer plan, and not all agents at once."""
    not_before = now + world.rng.randrange(SPREAD_MS)
    world.timers.put(
        _timer(proposal.service),
        (not_before, proposal.expected_version),
    )


def _timer(service):
    return f'{TICKET}{service}'


def _stored_version(world, service):
    """Return the version of the plan's row in the store; 0: none known."""
    known = world.documents.get((documents.PLAN, service))
    return 0 if known is None else known.version
