"""Simulated backend servers."""

import itertools
import math

from laburnumlatch.core import clock
from laburnumlatch.experiments import fleetchecks
from laburnumlatch.experiments import grantledger
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import ranges

WORK_MS = 100
# A server that has crashed starts again after this time, and is then cold.
RESTART_MS = 1000
COLD_MS = 3000
SLOTS = 6
STATUS_OK = 200
STATUS_ERROR = 500
# The clock of a backend server may run up to 2 % slow.
SLOW_CLOCK_RATIO = 0.98


class Backend:
    """A backend server that accepts fenced grants and runs requests.

    A request runs for `work_ms`, then makes `nested_calls` requests to the
    other service one after another, and gets a response with `status`.

    `clock_ratio` is the speed of the server's clock, by which it measures
    the hold time of grants. Faults are counted down: the next
    `silent_connections` requests on reused connections get no response, and
    the next `lost_answers` responses are lost after the work was done. The next
    `sheds` requests are refused as not run, and the next `stale_connections`
    on a kept connection find it closed.

    A grant arrives after `grant_delay_ms`. While `is_cut` the server lives on,
    but its agent cannot reach it; what is in transit still arrives. Until
    `cold_until` it announces that it is cold. Work takes `slowness` times as
    long, which its responses report if `reports_load` is set. A cold server
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
        self.nested_calls = 0
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
        self.reports_load = False
        self.slots = SLOTS
        self.max_cold_starts = math.inf
        self.crashes = 0
        self.started = []
        self.handovers = []

    @property
    def is_reachable(self):
        """Whether the agent on the same host can reach the server."""
        return self.is_up and not self.is_cut

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
        if not self.reports_load:
            return None
        return messages.ServerLoadReport(
            len(self.running), 0, self.slots, self.slowness
        )

    def announce(self):
        """Return the next `BackendAnnounced`, with a new sequence number."""
        self.sequence += 1
        return backendmsg.BackendAnnounced(
            call_number=0,
            life=self.life,
            service=self.service,
            address=f'{self.host_id}:80',
            slots=SLOTS,
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

    def remaining_work_ms(self, start, end):
        """Return when the work on a range of keys ends, in ms from now."""
        ends = [
            until - self.fleet.now
            for key, until in self.running.values()
            if key is not None and start <= key <= end
        ]
        return max([0, *ends])

    def holds(self, key):
        """Tell whether a request for `key` may start."""
        return self.is_up and self.ledger.holds(key, self.fleet.now)

    def _start_cold(self):
        self.restart(COLD_MS)
        self.fleet.post(self.host_id, self.announce())
