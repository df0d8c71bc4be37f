"""A backend server of the deployment in memory."""

from laburnumlatch.experiments import fleetchecks
from laburnumlatch.experiments import grantledger
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import ranges

WORK_MS = 100
SLOTS = 6
STATUS_OK = 200
STATUS_ERROR = 500
# A clock may run 2 % slow.
SLOW_CLOCK_RATE = 0.98


class Backend:
    """A backend server: fenced grants by key range, and work that takes time.

    `slow_clock` is the rate at which it measures holds, `calls` how many
    requests to the other service each of its runs makes, `status` what it
    answers, `silent` how many of the kept connections that are used next
    pass nothing, `lost_answers` how many answers are lost after the run.
    """

    def __init__(self, fleet, host_id, service, work_ms=WORK_MS):
        """Serve `service` on a host of `fleet`, a `fleetsim.Fleet`."""
        self.fleet = fleet
        self.host_id = host_id
        self.service = service
        self.work_ms = work_ms
        self.status = STATUS_OK
        self.nested_calls = 0
        self.silent_connections = 0
        self.lost_answers = 0
        self.is_up = True
        self.life = ranges.Life(f's-{host_id}', fleet.now)
        self.ledger = grantledger.Ledger()
        self.running = {}
        self.sequence = 0
        self.is_draining = False
        self.slow_clock = SLOW_CLOCK_RATE
        self.loses_grant_answers = False
        self.started = []
        self.handovers = []

    def restart(self):
        """Begin a new life that holds nothing."""
        self.is_up = True
        self.life = ranges.Life(f's-{self.host_id}', self.fleet.now)
        self.ledger = grantledger.Ledger()
        self.running = {}
        self.sequence = 0
        self.is_draining = False

    def announce(self):
        """Return the next announcement."""
        self.sequence += 1
        return backendmsg.BackendAnnounced(
            ask=0,
            life=self.life,
            service=self.service,
            address=f'{self.host_id}:80',
            slots=SLOTS,
            is_draining=self.is_draining,
            sequence=self.sequence,
        )

    def held_ranges(self):
        """Return the (start, end, fence) that are held now."""
        if not self.is_up:
            return []
        return [
            (grant.start, grant.end, grant.fence)
            for grant in self.ledger.live_grants(self.fleet.now)
        ]

    def fences(self):
        """Return the fences under which keys are held now."""
        return [held[2] for held in self.held_ranges()]

    def grant(self, message):
        """Take a grant; return whether it is accepted."""
        until = self.fleet.now + int(message.hold_ms / self.slow_clock)
        grant = grantledger.Grant(
            message.start, message.end, message.fence, until
        )
        if not self.ledger.accept(grant):
            return False
        self.handovers.append(message.handover)
        fleetchecks.check_work(self.fleet, self.host_id, message)
        fleetchecks.check_owners(self.fleet)
        return True

    def release(self, message):
        """Give a range back."""
        self.ledger.release(message)

    def holds(self, key):
        """Tell whether work on `key` may begin."""
        return self.is_up and self.ledger.holds(key, self.fleet.now)
