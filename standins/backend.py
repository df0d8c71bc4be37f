"""Stand-in for a backend server: its state, and what it does with work."""

import collections
import enum

import attrs

from laburnumlatch.core import clock
from standins import grants

DRAIN_GRACE_MS = 3000
MAX_EVENTS = 100_000
LOAD_HISTORY = 1000
HTTP_SHED = 503
HTTP_FENCED = 409
MS_PER_S = 1000


class Refusal(enum.StrEnum):
    """Why work was refused."""

    FENCED = 'fenced'
    SHED = 'shed'
    DRAINING = 'draining'
    FAULT = 'fault'


@attrs.define
class Faults:
    """What goes wrong at present; counts say for how many requests.

    A count of -1 means all. `freeze` stops every answer, and the server later
    goes on as if nothing had happened. `slow` multiplies the service time.
    `truncate` closes in the middle of the answer, `close` after the work and
    before the answer; `silent` never answers work; `refuse` sheds it.
    `load_lag_ms` and `load_fixed` (-1: off) falsify the reported load.
    """

    freeze: bool = False
    slow: float = 1
    truncate: int = 0
    close: int = 0
    silent: int = 0
    refuse: int = 0
    load_lag_ms: int = 0
    load_fixed: float = -1


@attrs.define(frozen=True)
class Kind:
    """What a backend server is like.

    A server that `checks_grants` refuses work without a live grant. During
    `cold_ms` after the start work takes `cold_factor` times as long.
    """

    server_id: str
    service: str
    service_ms: int = 5
    concurrent: int = 6
    connections: int = 130
    checks_grants: bool = True
    cold_ms: int = 0
    cold_factor: float = 4


@attrs.define
class Counts:
    """What tests judge by; `runs` counts by request ID."""

    runs: collections.Counter = attrs.Factory(collections.Counter)
    answered: int = 0
    canceled: int = 0
    expired: int = 0
    refused: collections.Counter = attrs.Factory(collections.Counter)
    most_running: int = 0
    most_connections: int = 0
    connections_refused: int = 0
    body_bytes: int = 0


@attrs.define
class Backend:
    """State of one backend server; times are of `time_source` in ms."""

    kind: Kind
    time_source: clock.Clock = attrs.Factory(clock.MonotonicClock)
    faults: Faults = attrs.Factory(Faults)
    counts: Counts = attrs.Factory(Counts)
    ledger: grants.Ledger = attrs.Factory(grants.Ledger)
    running: int = 0
    draining_since: int | None = None
    started: int = attrs.field()
    events: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_EVENTS),
    )
    load_history: collections.deque = attrs.Factory(
        lambda: collections.deque(maxlen=LOAD_HISTORY),
    )

    @started.default
    def _started_now(self):
        return self.time_source.now()


def note(backend, event, request_id='', **fields):
    """Append one event to the record that tests read."""
    backend.events.append({
        'at': backend.time_source.now(),
        'event': event,
        'request_id': request_id,
        **fields,
    })


def set_faults(backend, fields):
    """Set the faults named in `fields`; raise TypeError for unknown ones."""
    backend.faults = attrs.evolve(backend.faults, **fields)


def strikes(backend, fault):
    """Tell whether a counted fault hits this request, and count it down."""
    left = getattr(backend.faults, fault)
    if left > 0:
        setattr(backend.faults, fault, left - 1)
    return left != 0


def refusal(backend, slot, token):
    """Return the `Refusal` of new work, or None if it may start."""
    now = backend.time_source.now()
    if strikes(backend, 'refuse'):
        return Refusal.FAULT
    since = backend.draining_since
    if since is not None and now >= since + DRAIN_GRACE_MS:
        return Refusal.DRAINING
    is_fenced = backend.kind.checks_grants and not grants.allows(
        backend.ledger,
        now,
        slot,
        token,
    )
    if is_fenced:
        return Refusal.FENCED
    if backend.running >= backend.kind.concurrent:
        return Refusal.SHED
    return None


def begin(backend, request_id, slot, token):
    """Occupy a concurrency slot and count the run."""
    backend.running += 1
    counts = backend.counts
    counts.most_running = max(counts.most_running, backend.running)
    counts.runs[request_id] += 1
    note(backend, 'start', request_id, slot=slot, token=token)
    _remember_load(backend)


def end(backend, request_id, how):
    """Give the concurrency slot back; `how` names the event."""
    backend.running -= 1
    note(backend, how, request_id)
    _remember_load(backend)


def service_time_ms(backend):
    """Return how long a request takes at this moment."""
    kind = backend.kind
    duration_ms = kind.service_ms * backend.faults.slow
    if backend.time_source.now() < backend.started + kind.cold_ms:
        duration_ms *= kind.cold_factor
    return duration_ms


def give_grants(backend, given):
    """Take in grants as dicts; return the slots whose tokens are outdated."""
    now = backend.time_source.now()
    refused = []
    for grant in given:
        if grants.give(backend.ledger, now, **grant):
            note(backend, 'grant', **grant)
        else:
            refused.append(grant['slot'])
    return refused


def drain(backend):
    """Begin to finish open work; new work is refused after the grace time."""
    if backend.draining_since is None:
        backend.draining_since = backend.time_source.now()
        note(backend, 'drain')


def reported_load(backend):
    """Return the load from 0 to 1 as the server reports it."""
    faults = backend.faults
    if faults.load_fixed >= 0:
        return faults.load_fixed
    running = backend.running
    if faults.load_lag_ms:
        then = backend.time_source.now() - faults.load_lag_ms
        known = [count for at, count in backend.load_history if at <= then]
        running = known[-1] if known else 0
    return running / backend.kind.concurrent


def _remember_load(backend):
    backend.load_history.append((backend.time_source.now(), backend.running))
