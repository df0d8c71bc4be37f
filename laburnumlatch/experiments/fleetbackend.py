"""Simulated backend servers."""

import itertools
import math

import attrs

from laburnumlatch.core import clock
from laburnumlatch.experiments import fleetchecks
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import grantledger
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges

WORK_MS = 100
# A server that has crashed starts again after this time, and is then cold.
RESTART_MS = 1000
COLD_MS = 3000
SLOTS = 6
NESTED_CALL_TIMEOUT_MS = 600
STATUS_OK = 200
STATUS_ERROR = 500
# The clock of a backend server may run up to 2 % slow.
SLOW_CLOCK_RATIO = 0.98


@attrs.define(frozen=True)
class Works:
    """Work times in ms by path, varied by the factor `spread` either way."""

    by_path: dict[str, int] = attrs.Factory(dict)
    spread: float = 1


@attrs.define(frozen=True)
class Calling:
    """Nested calls of a server: the share of requests that make them.

    They go to `path`, with `timeout_ms` each.
    """

    share: float = 1
    path: str = fleetconfig.OTHER_PATH
    timeout_ms: int = NESTED_CALL_TIMEOUT_MS


class Backend:
    """A backend server that accepts fenced grants and runs requests.

    A request runs for `work_ms`, unless `works` says otherwise. Then
    some make `nested_calls` requests one after another, as `calling` says; a
    response has `status`.

    `clock_ratio` is the speed of the server's clock, by which it measures
    the hold time of grants. Faults are counted down: the next
    `silent_connections` requests on reused connections get no response, and
    the next `lost_answers` responses are lost after the work was done. The next
    `sheds` requests are refused as not run, and the next `stale_connections`
    on a kept connection find it closed.

    A grant arrives after `grant_delay_ms`. While `is_cut` the server lives on,
    but its agent cannot reach it; what is in transit still arrives. Until
    `cold_until` it announces that it is cold. Work takes `slowness` times as
    long, which its responses report, with `reported_slots`, if that is not
    None. A cold server
    crashes if it gets more than `max_cold_starts` requests within a second,
    and starts again, cold; `crashes` counts that.

    `running` maps the numbers of running requests to (key, end in ms),
    `started` lists (start in ms, request ID) and `handovers` the handover
    tokens of the accepted grants.
    """

    def __init__(self, fleet, host_id, service, work_ms=WORK_MS):
        """Create a server of `service` on a host of a `fleetsim.Fleet`."""
        self.fleet = fleet
        self.host_id = host_id
        self.service = service
        self.work_ms = work_ms
        self.status = STATUS_OK
        self.slots = SLOTS
        self.works = Works()
        self.nested_calls = 0
        self.calling = Calling()
        self.silent_connections = 0
        self.lost_answers = 0
        self.sheds = 0
        self.stale_connections = 0
        self.is_up = True
        self.is_cut = False
        self.life = ranges.Life(f's-{host_id}', fleet.now)
        self.ledger = grantledger.Ledger()
        self.running = {}
        self.sequence = 0
        self.is_draining = False
        self.clock_ratio = SLOW_CLOCK_RATIO
        self.loses_grant_answers = False
        self.grant_delay_ms = 0
        self.cold_until = 0
        self.slowness = 1
        self.reported_slots = None
        self.max_cold_starts = math.inf
        self.crashes = 0
        self.started = []
        self.handovers = []

    @property
    def is_reachable(self):
        """Whether the agent on the same host can reach the server."""
        return self.is_up and not self.is_cut

    def draw_work_ms(self, head):
        """Return how long a request with this head runs, in ms."""
        path = head.target[: head.target.rfind('/') + 1]
        usual_ms = self.works.by_path.get(path, self.work_ms)
        if self.works.spread == 1:
            return usual_ms
        factor = self.works.spread ** self.fleet.rng.uniform(-1, 1)
        return max(1, int(usual_ms * factor))

    def makes_calls(self):
        """Return whether the next request makes nested calls."""
        if not self.nested_calls or self.calling.share == 1:
            return bool(self.nested_calls)
        return self.fleet.rng.random() < self.calling.share

    def restart(self, cold_ms=0):
        """Start a new life without any grants, which is cold for a time."""
        self.cold_until = self.fleet.now + cold_ms
        self.is_up = True
        self.life = ranges.Life(f's-{self.host_id}', self.fleet.time_of_day)
        self.ledger = grantledger.Ledger()
        self.running = {}
        self.sequence = 0
        self.is_draining = False

    def crash_if_overloaded(self):
        """End the present life if a cold server gets too many requests."""
        now = self.fleet.now
        recent = itertools.takewhile(
            lambda start: start[0] > now - clock.MS_PER_S,
            reversed(self.started),
        )
        is_cold = now < self.cold_until
        if is_cold and len(tuple(recent)) > self.max_cold_starts:
            self.crashes += 1
            self.restart_cold()

    def restart_cold(self):
        """End the present life; the next one is cold, and announces itself."""
        self.is_up = False
        self.fleet.schedule(RESTART_MS, self._start_cold)

    def load_report(self):
        """Return what a response says of the load, None if nothing."""
        if self.reported_slots is None:
            return None
        return messages.ServerLoadReport(
            len(self.running), 0, self.reported_slots, self.slowness
        )

    def announce(self):
        """Return the next `BackendAnnounced`, with a new sequence number."""
        self.sequence += 1
        return backendmsg.BackendAnnounced(
            call_number=0,
            life=self.life,
            service=self.service,
            address=f'{self.host_id}:80',
            slots=self.slots,
            is_draining=self.is_draining,
            sequence=self.sequence,
            cold_ms=max(0, self.cold_until - self.fleet.now),
        )

    def held_ranges(self):
        """Return (start, end, fence) of each grant that has not expired."""
        if not self.is_up:
            return []
        return [
            (grant.start, grant.end, grant.fence)
            for grant in self.ledger.live_grants(self.fleet.now)
        ]

    def fences(self):
        """Return the fences of all grants that have not expired."""
        return [held_range[2] for held_range in self.held_ranges()]

    def grant(self, message):
        """Return whether a `GiveGrant` is accepted, and check for conflicts."""
        until = self.fleet.now + int(message.hold_ms / self.clock_ratio)
        grant = grantledger.Grant(
            message.start, message.end, message.fence, until
        )
        if not self.ledger.accept(grant):
            return False
        self.handovers.append(message.handover)
        fleetchecks.check_no_running_work(self.fleet, self.host_id, message)
        fleetchecks.check_exclusive_ownership(self.fleet)
        fleetchecks.check_rising_fence(self.fleet, self.host_id, message)
        return True

    def release(self, message):
        """Release the range of a `TakeBack`."""
        self.ledger.release(message)

    def works_on(self, start, end):
        """Return whether a request for a key of a range is running."""
        return any(
            key is not None and start <= key <= end
            for key, _until in self.running.values()
        )

    def holds(self, key):
        """Tell whether a request for `key` may start."""
        return self.is_up and self.ledger.holds(key, self.fleet.now)

    def _start_cold(self):
        self.restart(COLD_MS)
        self.fleet.post(self.host_id, self.announce())
