"""Stand-in for a backend server: its state, and what it does with work."""

import collections
import time

import attrs

from laburnumlatch.core import clock
from laburnumlatch.experiments import grantledger

# Requests that wait for a slot; more are refused.
QUEUE = 3


@attrs.define
class Faults:
    """What goes wrong at present; counts say for how many requests.

    A count of -1 means all. `is_frozen` stops every answer, and the server
    later goes on as if nothing had happened. `slow` multiplies the work time.
    `truncate` closes in the middle of the answer, `close` after the work and
    before the answer; `silent` never answers; `shed` refuses as not run;
    `twice` sends the answer once more; `strange` answers under another ID.
    """

    is_frozen: bool = False
    slow: float = 1
    truncate: int = 0
    close: int = 0
    silent: int = 0
    shed: int = 0
    twice: int = 0
    strange: int = 0


@attrs.define(frozen=True)
class Kind:
    """What a backend server is like; `is_divided` ones serve held keys only.

    During `cold_ms` after the start work takes `cold_factor` times as long.
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
    """Something that happened to a request; `at` in ms."""

    at: int
    name: str
    request_id: str
    key: int | None


@attrs.define(eq=False)
class Run:
    """Work on one request; released keys may be worked on to the end."""

    request_id: str
    key: int | None
    is_released: bool = False


@attrs.define(eq=False)
class Backend:
    """State of one backend server; times are of `time_source` in ms.

    `on_grant` is called after each accepted grant with this server and the
    `grantledger.Grant`.
    """

    host_id: str
    kind: Kind
    address: str
    on_grant: object
    time_source: clock.Clock = attrs.Factory(clock.MonotonicClock)
    faults: Faults = attrs.Factory(Faults)
    runs: collections.Counter = attrs.Factory(collections.Counter)
    events: list[Event] = attrs.Factory(list)
    ledger: grantledger.Ledger = attrs.Factory(grantledger.Ledger)
    server_id: str = ''
    born: int = 0
    started: int = 0
    sequence: int = 0
    running: list[Run] = attrs.Factory(list)
    waiting: int = 0
    most_running: int = 0
    is_draining: bool = False
    is_up: bool = True

    def __attrs_post_init__(self):
        """Begin the first life."""
        self.begin_life()

    def begin_life(self):
        """Start anew: nothing is held, and the count of calls starts again."""
        self.born = int(time.time() * clock.MS_PER_S)
        self.server_id = f'i-{self.host_id}-{self.born}'
        self.started = self.now()
        self.sequence = 0
        self.ledger = grantledger.Ledger()
        self.is_draining = False

    def now(self):
        """Return the time in ms."""
        return self.time_source.now()

    def note(self, name, request_id, key):
        """Record an event."""
        self.events.append(Event(self.now(), name, request_id, key))

    def strikes(self, fault):
        """Tell whether a counted fault hits this request; count it down."""
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return left != 0

    def holds(self, key):
        """Tell whether work on `key`, None without one, may run."""
        if not self.kind.is_divided:
            return True
        return key is not None and self.ledger.holds(key, self.now())

    def begin(self, run):
        """Occupy a slot with a `Run`, and count it."""
        self.running.append(run)
        self.most_running = max(self.most_running, len(self.running))
        self.runs[run.request_id] += 1
        self.note('start', run.request_id, run.key)

    def end(self, run):
        """Give the slot back."""
        self.running.remove(run)
        self.note('end', run.request_id, run.key)

    def may_end(self, run):
        """Tell whether work may end well: its keys were not held too long."""
        return run.is_released or self.holds(run.key)

    def take_back(self, released):
        """Give keys back, and return the runs that still work on them."""
        self.ledger.release(released)
        runs = [
            run
            for run in self.running
            if run.key is not None and released.covers(run.key)
        ]
        for run in runs:
            run.is_released = True
        return runs

    def give(self, start, end, fence, hold_ms):
        """Take a grant; return whether it is accepted."""
        grant = grantledger.Grant(start, end, fence, self.now() + hold_ms)
        if not self.ledger.accept(grant):
            return False
        self.on_grant(self, grant)
        return True

    def work_ms(self):
        """Return how long a request takes at this moment."""
        duration_ms = self.kind.work_ms * self.faults.slow
        if self.now() < self.started + self.kind.cold_ms:
            duration_ms *= self.kind.cold_factor
        return duration_ms
