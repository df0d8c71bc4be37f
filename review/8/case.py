"""A backend server crashes and starts again; then a booking runs there."""

import asyncio
import itertools
import pathlib
import random
import sys

from review import loopback

ZONES = ('grandi', 'breidholt', 'hafnarfj')
MACHINES = (
    *(
        (f'sidecar-{ZONES[number % 3]}-{number}', 'bokun', ZONES[number % 3])
        for number in range(7)
    ),
    ('sidecar-grandi-8', 'moti', 'grandi'),
)
ROUTES = (
    ('lookup', '/lohu930/', 'safe', 'bokun'),
    ('booking', '/pufi791/', 'non_idempotent', 'bokun'),
    ('status', '/seso117/', 'safe', 'moti'),
)
SEED = 6
# One of seven servers is down at a time, for so long.
DOWN_S = (0.5, 1.5)
BETWEEN_S = 5.0
PLAY_S = 85.0
POLL_S = 0.02
# How long a booking takes at a server: at most 1,700 ms on the sheet.
WORK_MS = 1600


class Watch:
    """Looks for grants of keys on which another server is at work."""

    def __init__(self, platform):
        """Watch the servers of the divided service."""
        self.breaches = []
        self._record = platform.record
        self._machines = [
            machine
            for machine in platform.machines.values()
            if machine.service == 'bokun'
        ]
        # When the hold would have run out under which a run began, by run.
        self.hold_ends = {}
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
        for other in self._machines:
            if other is not machine and other.backend.is_up:
                self._compare(machine, grant, other)

    def _compare(self, machine, grant, other):
        now = machine.backend.now()
        for run in other.backend.running:
            left_ms = self.hold_ends.get(run.request_id, 0) - now
            if grant.covers(run.key) and left_ms > 0:
                self.breaches.append(
                    f'{machine.name} is given key {run.key} with fence '
                    f'{grant.fence}; {other.name} is at work on it for '
                    f'{run.request_id}, its hold has {left_ms:.0f} ms left'
                )


async def play(platform):
    """Crash and start one server after another; book with a key it takes."""
    watch = Watch(platform)
    platform.on_grant = watch.note
    await platform.start(ROUTES)
    await asyncio.sleep(2)
    rng = random.Random(SEED)
    machines = [
        machine
        for machine in platform.machines.values()
        if machine.service == 'bokun'
    ]
    for number, machine in enumerate(itertools.cycle(machines)):
        if platform.record.age_s > PLAY_S or watch.breaches:
            break
        if loopback.is_in_trouble():
            await crash_and_start(platform, machine, rng.uniform(*DOWN_S))
        await book(platform, machine, watch, f'{number:016x}')
        await asyncio.sleep(BETWEEN_S)
    return watch.breaches


async def crash_and_start(platform, machine, down_s):
    """Crash a backend server, and start it again under the ID that it had.

    Returns once the new lifetime holds keys or has checked in.
    """
    server_id = machine.backend.server_id
    await platform.kill_backend(machine)
    await asyncio.sleep(down_s)
    platform.start_backend(machine, server_id)
    while not machine.backend.sequence and not live_grants(machine):
        await asyncio.sleep(POLL_S)


async def book(platform, machine, watch, request_id):
    """Send a booking for a key that the server beside the agent holds."""
    grants = live_grants(machine)
    if not grants:
        return
    key = grants[0].start
    watch.hold_ends[request_id] = grants[0].until
    platform.record.add(
        f'booking {request_id} for key {key} at {machine.name};',
        f'check-ins of this lifetime: {machine.backend.sequence}',
    )
    machine.backend.faults.slow = WORK_MS / machine.backend.profile.work_ms
    answer = await loopback.request(
        machine, '/pufi791/2f', request_id, key, is_post=True
    )
    machine.backend.faults.slow = 1
    runs = {
        other.name: other.backend.run_counts[request_id]
        for other in platform.machines.values()
        if other.backend.run_counts[request_id]
    }
    platform.record.add('booking', request_id, 'answered', answer.status, runs)


def live_grants(machine):
    """Return the grants that a backend server holds now."""
    return machine.backend.ledger.live_grants(machine.backend.now())


if __name__ == '__main__':
    sys.exit(loopback.run(pathlib.Path(__file__).parent, MACHINES, play))
