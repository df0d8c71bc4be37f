"""Messages about leases, between agents, as datagrams.

A host is always named with its incarnation, so that nothing said to or by an
earlier run of an agent counts for a later one.
"""

import attrs

from laburnumlatch.slots import planrows


@attrs.define(frozen=True)
class Renew:
    """A host asks a witness to promise for another lease duration.

    `witness` is the incarnation number alone: this message and its answer
    are most of the control traffic.
    """

    service: str
    host: planrows.Incarnation
    witness: int
    sequence: int
    plan_version: int


@attrs.define(frozen=True)
class Promise:
    """The witness promises, having read the plan up to `plan_version`.

    `host` is the incarnation number of the host that asked.
    """

    host: int
    witness: planrows.Incarnation
    sequence: int
    plan_version: int


@attrs.define(frozen=True)
class Barred:
    """The witness has voted on `host` and will not promise to it again."""

    host: planrows.Incarnation
    witness: planrows.Incarnation


@attrs.define(frozen=True)
class Vote:
    """The witness has fenced `host` at `plan_version`; this is final.

    `heir` is the incarnation number of the same host that claimed its slots,
    or 0.
    """

    service: str
    host: planrows.Incarnation
    witness: planrows.Incarnation
    plan_version: int
    heir: int = 0


@attrs.define(frozen=True)
class VoteAck:
    """`receiver` has the vote of `witness` on `host`."""

    host: planrows.Incarnation
    witness: planrows.Incarnation
    receiver: planrows.Incarnation


@attrs.define(frozen=True)
class Surrender:
    """A host gives up its lease and asks a witness to vote at once."""

    service: str
    host: planrows.Incarnation
    witness: planrows.Incarnation


@attrs.define(frozen=True)
class Claim:
    """A restarted host asks for the vote on its earlier incarnation."""

    service: str
    old: planrows.Incarnation
    new: planrows.Incarnation
    witness: planrows.Incarnation


@attrs.define(frozen=True)
class Release:
    """`host` no longer serves a slot under the chain that began at `since`.

    With `by_plan` a later host of the chain may act on it only by a write of
    the plan.
    """

    service: str
    slot: int
    host: planrows.Incarnation
    since: int
    by_plan: bool = False


@attrs.define(frozen=True)
class ReleaseAck:
    """`receiver` has the release."""

    service: str
    slot: int
    host: planrows.Incarnation
    since: int
    receiver: planrows.Incarnation


@attrs.define(frozen=True)
class TakenOver:
    """`host_id` serves slots that no plan row names it for yet."""

    service: str
    host_id: str
    slots: tuple[tuple[int, int], ...]


@attrs.define(frozen=True)
class Inquire:
    """Ask a host which of `slots` it neither holds nor will take.

    Its answer counts for the plan of `version` and older ones.
    """

    service: str
    version: int
    slots: tuple[int, ...]
    asker: planrows.Incarnation


@attrs.define(frozen=True)
class Free:
    """`host` holds none of `slots`; it takes none before a newer plan."""

    service: str
    version: int
    slots: tuple[int, ...]
    host: planrows.Incarnation


KINDS = (
    Renew,
    Promise,
    Barred,
    Vote,
    VoteAck,
    Surrender,
    Claim,
    Release,
    ReleaseAck,
    TakenOver,
    Inquire,
    Free,
)


@attrs.define(frozen=True)
class SendDatagram:
    """Send `message`, one of KINDS, to the agent at `address`."""

    address: str
    message: object


def send(world, host_id, message):
    """Post a datagram to a host; without its address nothing is sent."""
    host = world.hosts.get(host_id)
    if host_id == world.settings.host_id:
        address = world.settings.datagram_address
    elif host is None:
        return
    else:
        address = host.datagram_address
    world.outbox.post(SendDatagram(address, message))
