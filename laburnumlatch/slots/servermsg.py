"""Messages about the local backend server and the life of this agent."""

import attrs

# From front ends to systems.


@attrs.define(frozen=True)
class ServerAnnounced:
    """The backend server beside this agent is there and wants work."""

    server_id: str
    service: str
    address: str
    concurrent: int
    connections: int


@attrs.define(frozen=True)
class ServerLeaving:
    """The backend server beside this agent asks for no new work."""

    server_id: str


@attrs.define(frozen=True)
class AgentStopping:
    """The agent was told to stop; its host leaves first."""


@attrs.define(frozen=True)
class Probed:
    """The answer of a health and load probe.

    `load` is what the server reports, from 0 to 1; it lags or misleads.
    """

    server_id: str
    is_up: bool
    load: float = 0


@attrs.define(frozen=True)
class GrantsAnswered:
    """The backend server accepted grants, or did not answer."""

    server_id: str
    accepted: bool
    slots: tuple[int, ...]


# From systems to front ends.


@attrs.define(frozen=True)
class Grant:
    """Permission for the backend server to serve one slot.

    `expires_ms` is the end on the monotonic clock that agent and backend
    server share, as they run on one host; 0 revokes the grant. A duration
    would count anew in a server that was frozen when the grant arrived.
    """

    slot: int
    token: int
    expires_ms: int


@attrs.define(frozen=True)
class GiveGrants:
    """Send grants to the local backend server at `address`."""

    server_id: str
    address: str
    grants: tuple[Grant, ...]


@attrs.define(frozen=True)
class Probe:
    """Ask the backend server at `address` for its health and load."""

    server_id: str
    address: str


@attrs.define(frozen=True)
class AgentStopped:
    """Nothing is left to do: the process may end."""
