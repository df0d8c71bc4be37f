"""Votes that reached this host, and what they prove under a plan."""

from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans


def take_votes(world):
    """Keep arrived votes and acknowledge them."""
    for vote in world.inbox.take(leasemsg.Vote):
        # A vote is final: a repeated one says the same.
        world.votes.put((vote.host, vote.witness), vote)
        leasemsg.send(
            world,
            vote.witness.host_id,
            leasemsg.VoteAck(vote.host, vote.witness, world.incarnation),
        )


def forget_votes(world, plan):
    """Drop votes on hosts that the plan no longer names anywhere."""
    named = {witness_set.host for witness_set in plan.witness_sets}
    for slot in plan.slots:
        named.update(slot.chain)
    past = [
        (vote.host, vote.witness)
        for vote in world.votes
        if vote.service == plan.service
        and vote.plan_version < plan.version
        and vote.host not in named
    ]
    for key in past:
        world.votes.pop(key)


def is_fenced(world, plan, host, since, heirs=(0,)):
    """Tell whether votes from `since` up to the plan fence `host`.

    Only votes count whose heir is one of `heirs`; all count if it is None.
    While the witness set of the host changes, both sets have to agree.
    """
    # On most ticks of most hosts nobody has been voted on.
    witness_set = plan.witness_set(host) if len(world.votes) else None
    if witness_set is None:
        return False
    return all(
        _count(world, plan, host, group, since, heirs)
        >= planrows.majority(len(group))
        for group in witness_set.groups
    )


def is_clear(world, plan, number, position, any_heir=False):
    """Tell whether every host before `position` of a chain is out.

    A vote with an heir counts if the heir comes next in the chain, or, with
    `any_heir`, always, and so does a release `by_plan`: that suffices only
    for a write of the plan.
    """
    # Without votes and releases, as on most ticks, no earlier host is out.
    if position and not len(world.votes) and not len(world.releases):
        return False
    slot = plan.slots[number]
    chain = slot.chain
    for place, host in enumerate(chain[:position]):
        if _has_released(world, plan, number, host, any_heir):
            continue
        heirs = None
        if not any_heir:
            heirs = (0, *(one.number for one in plans.heirs(chain, place)))
        if not is_fenced(world, plan, host, slot.since, heirs):
            return False
    return True


def _has_released(world, plan, number, host, may_write):
    release = world.releases.get((plan.service, number, host))
    if release is None or release.since != plan.slots[number].since:
        return False
    return may_write or not release.by_plan


def is_inherited(world, plan, old, new):
    """Tell whether `new` may replace `old`, its earlier incarnation."""
    witness_set = plan.witness_set(old)
    return witness_set is not None and all(
        _heir_votes(world, old, new, group) >= planrows.majority(len(group))
        for group in witness_set.groups
    )


def _heir_votes(world, old, new, group):
    votes = 0
    for witness in group:
        vote = world.votes.get((old, witness))
        # A host never votes on itself as a witness, and its earlier run has
        # ended: that is the vote.
        votes += witness.host_id == old.host_id or (
            vote is not None and vote.heir == new.number
        )
    return votes


def _count(world, plan, host, group, since, heirs):
    votes = (world.votes.get((host, witness)) for witness in group)
    return sum(
        1
        for vote in votes
        if vote is not None
        and since <= vote.plan_version <= plan.version
        and (heirs is None or vote.heir in heirs)
    )
