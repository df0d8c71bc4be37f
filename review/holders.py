"""Finds keys that two backend servers hold for longer than the rule allows."""

import asyncio
import itertools

import attrs

POLL_S = 0.02
# The rule's bound: two servers may not hold the same keys for longer.
BOUND_MS = 500


@attrs.define(frozen=True)
class Shared:
    """Keys that two lifetimes of backend servers hold at one time."""

    first: tuple
    second: tuple
    start: int
    end: int


class Watch:
    """Looks for keys that two backend servers hold for over half a second."""

    def __init__(self, platform):
        """Watch the servers of the divided service."""
        self.breaches = {}
        self._record = platform.record
        self._machines = [
            machine
            for machine in platform.machines.values()
            if machine.service == 'bokun'
        ]
        self._since = {}
        self._known = set()

    def note(self, machine, grant):
        """Record a grant that a backend server has accepted."""
        life = (machine.backend.server_id, machine.backend.born)
        taken = (grant.start, grant.end, grant.fence, life)
        if taken not in self._known:
            self._known.add(taken)
            left_ms = round(grant.until - machine.backend.now())
            self._record.add(
                machine.name, 'accepts', taken, f'for {left_ms} ms'
            )

    async def run(self):
        """Compare what the servers hold until canceled."""
        while True:
            now = self._machines[0].backend.now()
            found = set(self._shared())
            for shared in tuple(self._since):
                if shared not in found:
                    self._since.pop(shared)
            for shared in found:
                lasted_ms = now - self._since.setdefault(shared, now)
                if lasted_ms > BOUND_MS:
                    self.breaches[shared] = lasted_ms
            await asyncio.sleep(POLL_S)

    def texts(self):
        """Return the breaches."""
        return [
            f'{shared.first} and {shared.second} both hold keys '
            f'{shared.start} to {shared.end} for {lasted_ms} ms'
            for shared, lasted_ms in self.breaches.items()
        ]

    def _shared(self):
        """Yield the keys that two servers hold now."""
        up = [machine for machine in self._machines if machine.backend.is_up]
        for first, second in itertools.combinations(up, 2):
            pairs = itertools.product(live_grants(first), live_grants(second))
            for grant, other in pairs:
                if grant.overlaps(other):
                    yield Shared(
                        _life_of(first),
                        _life_of(second),
                        max(grant.start, other.start),
                        min(grant.end, other.end),
                    )


def live_grants(machine):
    """Return the grants that a backend server holds now."""
    return machine.backend.ledger.live_grants(machine.backend.now())


def _life_of(machine):
    return machine.backend.server_id, machine.backend.born
