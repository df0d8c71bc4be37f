"""Messages about the local backend server: announcements and grants.

Durations are in ms. `call_number` and `ticket` pair a response with its call.
"""

from laburnumlatch.core import records
from laburnumlatch.mesh import ranges

# A grant without a response for this time counts as unanswered.
GRANT_TIMEOUT_MS = 600


@records.define(frozen=True)
class BackendAnnounced:
    """The local backend server announced itself.

    `sequence` rises with each announcement of the same life. `cold_ms` is how
    much of its warm-up time is left, None if it said that unreadably.
    """

    call_number: int
    life: ranges.Life
    service: str
    address: str
    slots: int
    is_draining: bool
    sequence: int
    cold_ms: int | None = 0


@records.define(frozen=True)
class BackendLeft:
    """The backend server with this identity announced that it is leaving.

    `born` is the start of the run that leaves, None if it did not say.
    `announced_at` is in ms of Unix time, too, by a clock that follows no jump
    of the time of day.
    """

    call_number: int
    server_id: str
    announced_at: int
    born: int | None = None


@records.define(frozen=True)
class AnnouncementAnswered:
    """The response to the backend server: whether its call is accepted."""

    call_number: int
    is_accepted: bool


@records.define(frozen=True)
class GiveGrant:
    """Grant a range of keys to the backend server, or renew the grant.

    `start` and `end` are inclusive. The grant lasts for `hold_ms`. `handover`
    is the token of the former owner's release, empty if there is none. With
    `is_renewal` the server has accepted the same grant before. It goes over a
    connection that has carried accepted grants, to the run of the server that
    accepted them, or with `may_connect` over a new one, to any run.
    """

    ticket: int
    address: str
    start: int
    end: int
    fence: int
    hold_ms: int
    handover: str = ''
    is_renewal: bool = False
    may_connect: bool = True


@records.define(frozen=True)
class GrantAnswered:
    """Whether a grant was accepted; None if no response came.

    With `is_unsent` it has certainly not reached the server.
    """

    ticket: int
    is_accepted: bool | None
    is_unsent: bool = False


@records.define(frozen=True)
class TakeBack:
    """Release a range; the response comes when running work on it has ended."""

    ticket: int
    address: str
    start: int
    end: int
    fence: int


@records.define(frozen=True)
class TakenBack:
    """The response to a release; `is_answered` is False if none came.

    With the token `handover` the next owner's backend server skips the warm-up.
    """

    ticket: int
    is_answered: bool
    handover: str = ''
