"""Rows of plans: who owns which slot, and who witnesses whose lease."""

import attrs


@attrs.define(frozen=True, cache_hash=True)
class Incarnation:
    """One run of an agent: a host and the number drawn when it started.

    It is a key of most tables of ownership, so its hash is kept.
    """

    host_id: str
    number: int


@attrs.define(frozen=True)
class SlotPlan:
    """Who serves a slot, in order of precedence.

    `since` is the plan version from which this chain has been unchanged.
    `previous` still holds the slot while it moves to `owner`.
    """

    owner: Incarnation
    successors: tuple[Incarnation, ...]
    epoch: int
    since: int
    previous: Incarnation | None = None

    @property
    def chain(self):
        """Incarnations in order of precedence, `previous` first if set."""
        head = () if self.previous is None else (self.previous,)
        return (*head, self.owner, *self.successors)

    def epoch_at(self, position):
        """Return the epoch served at a position of the chain."""
        return self.epoch + position - (self.previous is not None)


@attrs.define(frozen=True)
class WitnessSet:
    """The witnesses of one host, in three failure domains.

    `former` is the set before, while the host has not changed over yet:
    until then the host is fenced only by a majority of both sets. `since` is
    the plan version that named `witnesses`.
    """

    host: Incarnation
    witnesses: tuple[Incarnation, ...]
    since: int = 1
    former: tuple[Incarnation, ...] = ()

    @property
    def groups(self):
        """The sets of which a majority has to vote to fence the host."""
        if self.former:
            return (self.witnesses, self.former)
        return (self.witnesses,)

    @property
    def everyone(self):
        """All witnesses of both sets, each once."""
        return tuple(dict.fromkeys((*self.witnesses, *self.former)))


@attrs.define(frozen=True)
class Plan:
    """The assignment of a service: one row of the table service.

    `version` rises by one with each write of the row. `fenced` are the
    incarnations whose fencing has been recorded.
    """

    service: str
    version: int
    slots: tuple[SlotPlan, ...]
    witness_sets: tuple[WitnessSet, ...] = ()
    fenced: tuple[Incarnation, ...] = ()

    def witness_set(self, incarnation):
        """Return the `WitnessSet` of `incarnation`, or None."""
        for witness_set in self.witness_sets:
            if witness_set.host == incarnation:
                return witness_set
        return None

    def witnesses_of(self, incarnation):
        """Return the witnesses of `incarnation`, empty if it has none."""
        witness_set = self.witness_set(incarnation)
        return () if witness_set is None else witness_set.witnesses


def majority(count):
    """Return how many of `count` witnesses decide."""
    return count // 2 + 1
