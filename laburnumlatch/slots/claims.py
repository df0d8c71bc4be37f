"""Claims of this host on the slots of its earlier incarnations."""

import attrs

from laburnumlatch.core import logs
from laburnumlatch.slots import fences
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans
from laburnumlatch.slots import proposals

REPEAT_MS = 300
TIMER = 'claims/repeat'

_log = logs.logger('claims')


def run(world, plan, now):
    """Ask for the votes on earlier incarnations; write what they give."""
    for old in world.standing.earlier:
        if fences.is_inherited(world, plan, old, world.incarnation):
            _inherit(world, plan, old, now)
            return
        if fences.is_fenced(world, plan, old, 0):
            continue
        if world.due(f'{TIMER}/{old.number}', REPEAT_MS, now):
            _ask(world, plan, old)


def _ask(world, plan, old):
    witness_set = plan.witness_set(old)
    for witness in witness_set.everyone if witness_set else ():
        if witness.host_id != old.host_id:
            leasemsg.send(
                world,
                witness.host_id,
                leasemsg.Claim(plan.service, old, world.incarnation, witness),
            )


def _inherit(world, plan, old, now):
    """Write the plan with this incarnation in the place of `old`."""
    if not proposals.is_open(world, plan.service, now):
        return
    own = world.incarnation
    slots = tuple(
        plans.inherit(slot, old, own, plan.version + 1) for slot in plan.slots
    )
    sets = plan.witness_sets
    if plan.witness_set(own) is None:
        witnesses = tuple(
            world.witness if witness.host_id == own.host_id else witness
            for witness in plan.witnesses_of(old)
        )
        sets = (
            *sets,
            planrows.WitnessSet(own, witnesses, plan.version + 1),
        )
    _log.info(
        'slots-claimed',
        service=plan.service,
        owner=own.host_id,
        incarnation=own.number,
        former=old.number,
    )
    proposals.propose(
        world,
        attrs.evolve(plan, slots=slots, witness_sets=sets),
        now,
    )
