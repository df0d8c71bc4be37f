"""Two answers of a backend server are lost; then its agent freezes."""

import asyncio
import itertools
import pathlib
import signal
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
# One of eight machines is frozen at a time, for so long.
FROZEN_S = 3.5
# Between the second lost answer and the freeze.
PAUSE_S = 0.2
BETWEEN_S = 6.0
ROUNDS = 4
LOST_ANSWERS = 2


async def play(platform):
    """Lose two answers, then freeze the agent, on one machine after another."""
    watch = holders.Watch(platform)
    platform.on_grant = watch.note
    await platform.start(ROUTES)
    await asyncio.sleep(3)
    watching = asyncio.ensure_future(watch.run())
    machines = [
        machine
        for machine in platform.machines.values()
        if machine.service == 'bokun'
    ]
    for number, machine in enumerate(itertools.islice(machines, ROUNDS)):
        if watch.breaches:
            break
        await lose_and_freeze(platform, machine, number)
        await asyncio.sleep(BETWEEN_S)
    watching.cancel()
    return watch.texts()


async def lose_and_freeze(platform, machine, number):
    """Send two bookings whose answers are lost, and freeze the agent."""
    record = platform.record
    if loopback.is_in_trouble():
        machine.backend.faults.close = LOST_ANSWERS
    for attempt in range(LOST_ANSWERS):
        request_id = f'{number:08x}{attempt:08x}'
        key = holders.live_grants(machine)[0].start
        answer = await loopback.request(
            machine, '/pufi791/2f', request_id, key, is_post=True
        )
        record.add(
            f'booking {request_id} at {machine.name} is answered',
            f'{answer.status}; runs: {machine.backend.run_counts[request_id]}',
        )
    if loopback.is_in_trouble():
        await asyncio.sleep(PAUSE_S)
        machine.agent.send_signal(signal.SIGSTOP)
        record.add('agent', machine.name, 'freezes')
        await asyncio.sleep(FROZEN_S)
        machine.agent.send_signal(signal.SIGCONT)
        record.add('agent', machine.name, 'wakes again')


if __name__ == '__main__':
    sys.exit(loopback.run(pathlib.Path(__file__).parent, MACHINES, play))
