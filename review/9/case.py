"""A backend server and then the agent beside it crash and start again."""

import asyncio
import itertools
import pathlib
import random
import sys

from review import holders
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
DOWN_S = (1.5, 2.5)
# How long a killed agent is away: the platform restarts it.
AWAY_S = 0.5
BETWEEN_S = 6.0
PLAY_S = 85.0
POLL_S = 0.02


async def play(platform):
    """Crash a server, and the agent beside it, on one machine after another."""
    watch = holders.Watch(platform)
    platform.on_grant = watch.note
    await platform.start(ROUTES)
    await asyncio.sleep(2)
    watching = asyncio.ensure_future(watch.run())
    rng = random.Random(SEED)
    machines = [
        machine
        for machine in platform.machines.values()
        if machine.service == 'bokun'
    ]
    for machine in itertools.cycle(machines):
        if platform.record.age_s > PLAY_S or watch.breaches:
            break
        if loopback.is_in_trouble():
            await crash_both(platform, machine, rng.uniform(*DOWN_S))
        await asyncio.sleep(BETWEEN_S)
    watching.cancel()
    return watch.texts()


async def crash_both(platform, machine, down_s):
    """Crash and start a backend server, and then the agent beside it.

    The agent is killed within a heartbeat after the server's new start, before
    the first check-in of that lifetime.
    """
    await platform.kill_backend(machine)
    await asyncio.sleep(down_s)
    platform.start_backend(machine)
    while not machine.backend.sequence and not holders.live_grants(machine):
        await asyncio.sleep(POLL_S)
    platform.record.add(
        machine.name, 'check-ins of the new lifetime:', machine.backend.sequence
    )
    platform.kill_agent(machine)
    await asyncio.sleep(AWAY_S)
    platform.start_agent(machine)


if __name__ == '__main__':
    sys.exit(loopback.run(pathlib.Path(__file__).parent, MACHINES, play))
