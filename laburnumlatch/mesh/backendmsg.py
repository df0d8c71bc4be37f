"""Messages about the local backend server: announcements and grants.

Durations are in ms. `call_number` and `ticket` come back in the answer.
"""

import attrs

from laburnumlatch.mesh import ranges


@attrs.define(frozen=True)
class BackendAnnounced:
    """The local backend server told of itself; `call_number` is replied."""

    call_number: int
    life: ranges.Life
    service: str
    address: str
    slots: int
    is_draining: bool
    sequence: int
    cold_ms: int = 0


@attrs.define(frozen=True)
class BackendLeft:
    """A backend server of this identity says that it is leaving.

    `announced_at` is the time of day, in Unix ms like the start of a life.
    """

    call_number: int
    server_id: str
    announced_at: int


@attrs.define(frozen=True)
class AnnouncementAnswered:
    """Whether the announcement counts; the reply to the backend server."""

    call_number: int
    is_accepted: bool


@attrs.define(frozen=True)
class GiveGrant:
    """Grant a range of keys to the backend server, or renew the grant."""

    ticket: int
    address: str
    start: int
    end: int
    fence: int
    hold_ms: int
    handover: str = ''


@attrs.define(frozen=True)
class GrantAnswered:
    """What became of a grant: accepted, refused, or None if unknown."""

    ticket: int
    is_accepted: bool | None


@attrs.define(frozen=True)
class TakeBack:
    """Release a range; the answer comes when running work has ended."""

    ticket: int
    address: str
    start: int
    end: int
    fence: int


@attrs.define(frozen=True)
class TakenBack:
    """Answer to a release; `handover` spares the next owner the warm-up.

    `is_answered` is False if no answer came.
    """

    ticket: int
    is_answered: bool
    handover: str = ''
