"""State of a stand-in backend server: its grants, requests and faults."""

import collections
import time

import attrs

from laburnumlatch.core import clock
from laburnumlatch.experiments import grantledger

# Requests that may wait for a slot; further ones are rejected.
MAX_QUEUED = 3


@attrs.define
class Faults:
    """The faults that are active at present.

    A fault that is a count hits that many requests, -1 means all of them.

    `is_frozen`: sends no response at all; once it is cleared the server
    continues as if nothing had happened.
    `slow`: multiplies the processing time.
    `truncate`: closes the connection in the middle of the response.
    `close`: processes the request, then closes without a response.
    `silent`: never responds.
    `shed`: rejects the request as not executed.
    `twice`: sends the response a second time.
    `wrong_id`: sends the response under a different request ID.
    """

    is_frozen: bool = False
    slow: float = 1
    truncate: int = 0
    close: int = 0
    silent: int = 0
    shed: int = 0
    twice: int = 0
    wrong_id: int = 0


@attrs.define(frozen=True)
class BackendProfile:
    """Service, location and capacity of a backend server.

    If `is_divided`, the service is divided by key, and the server accepts
    only requests for keys that are granted to it. A request takes `work_ms`,
    and `cold_factor` times as long during `cold_ms` after the start. `slots`
    is the number of requests processed at once, `connections` the largest
    number of open connections.
    """

    service: str
    domain: str
    is_divided: bool
    work_ms: int = 5
    slots: int = 6
    connections: int = 130
    cold_ms: int = 0
    cold_factor: float = 4


@attrs.define(frozen=True)
class Event:
    """A step in the processing of a request, with its time in ms."""

    at_ms: int
    name: str
    request_id: str
    key: int | None


@attrs.define(eq=False)
class Run:
    """A request that is being processed.

    `is_released` is set when its key is released meanwhile: the request may
    still finish.
    """

    request_id: str
    key: int | None
    is_released: bool = False


@attrs.define(eq=False)
class Backend:
    """State of one backend server; times are in ms of `time_source`.

    `on_grant` is called with this server and the `grantledger.Grant` after
    each accepted grant. `run_counts` says how often each request ID was
    executed. `running` are the requests in slots, `max_running` the most at any
    time, `queued` the number that wait for a slot. `born` is the start of this
    life of the server, in ms of the system clock; `sequence` numbers its
    announcements.
    """

    host_id: str
    profile: BackendProfile
    address: str
    on_grant: object
    time_source: clock.Clock = attrs.Factory(clock.MonotonicClock)
    faults: Faults = attrs.Factory(Faults)
    run_counts: collections.Counter = attrs.Factory(collections.Counter)
    events: list[Event] = attrs.Factory(list)
    ledger: grantledger.Ledger = attrs.Factory(grantledger.Ledger)
    server_id: str = ''
    born: int = 0
    started_at_ms: int = 0
    sequence: int = 0
    running: list[Run] = attrs.Factory(list)
    queued: int = 0
    max_running: int = 0
    is_draining: bool = False
    is_up: bool = True

    def __attrs_post_init__(self):
        """Begin the first life of the server."""
        self.begin_life()

    def begin_life(self):
        """Restart the server: with a new ID, no grants, and sequence 0."""
        self.born = int(time.time() * clock.MS_PER_S)
        self.server_id = f'i-{self.host_id}-{self.born}'
        self.started_at_ms = self.now()
        self.sequence = 0
        self.ledger = grantledger.Ledger()
        self.is_draining = False

    def now(self):
        """Return the time in ms of `time_source`."""
        return self.time_source.now()

    def record_event(self, name, request_id, key):
        """Append an `Event` with the present time."""
        self.events.append(Event(self.now(), name, request_id, key))

    def consume_fault(self, fault):
        """Return whether a counted fault hits this request; decrement it."""
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining != 0

    def holds(self, key):
        """Return whether a request for `key` may run; None means no key."""
        if not self.profile.is_divided:
            return True
        return key is not None and self.ledger.holds(key, self.now())

    def start_run(self, run):
        """Occupy a slot with a `Run`, and count the execution."""
        self.running.append(run)
        self.max_running = max(self.max_running, len(self.running))
        self.run_counts[run.request_id] += 1
        self.record_event('start', run.request_id, run.key)

    def finish_run(self, run):
        """Free the slot of a `Run`."""
        self.running.remove(run)
        self.record_event('end', run.request_id, run.key)

    def may_succeed(self, run):
        """Return whether a `Run` may succeed.

        It may not if the grant of its key ended without a release: another
        server may own the key by now.
        """
        return run.is_released or self.holds(run.key)

    def release(self, released):
        """Give up the keys of a `grantledger.Grant`.

        Returns the runs in progress that use one of them.
        """
        self.ledger.release(released)
        runs = [
            run
            for run in self.running
            if run.key is not None and released.covers(run.key)
        ]
        for run in runs:
            run.is_released = True
        return runs

    def accept_grant(self, start, end, fence, hold_ms):
        """Accept keys `start` to `end` for `hold_ms` from now.

        Returns False if a higher fencing token was granted before.
        """
        grant = grantledger.Grant(start, end, fence, self.now() + hold_ms)
        if not self.ledger.accept(grant):
            return False
        self.on_grant(self, grant)
        return True

    def work_ms(self):
        """Return how long a request that starts now takes, in ms."""
        duration_ms = self.profile.work_ms * self.faults.slow
        if self.now() < self.started_at_ms + self.profile.cold_ms:
            duration_ms *= self.profile.cold_factor
        return duration_ms
