"""Quick lookups at slow servers: the planner's process must not end.

Five hosts serve quick lookups of a service divided by key, two serve longer
bookings. Six times, two servers of the lookups turn slow for nine seconds:
work takes twelve times as long, and the fourth figure of `X-Backend-Load` says
so. Each time the agent that is the planner is stopped and started again, as
planned work does. With TROUBLE=0 no server turns slow, and the rest is the
same.

The rule is LOST: a machine passes requests from kept connections on to sound
backends and closes these connections without an answer, more than three times.
What an agent loses from its planned stop on, until it has been back for
`contact`, is left out.
"""

import asyncio
import pathlib
import random
import sys

import lab3
import lab3io

FOLDER = pathlib.Path(__file__).resolve().parent
LOOKUP = 'lookup'
BOOKING = 'booking'
LOOKUP_HOSTS = 5
BOOKING_HOSTS = 2
# Work at the usual speed, and how many percent it takes at a slow server.
LOOKUP_MS = 0.05
BOOKING_MS = 1200
USUAL_PERCENT = 100
SLOW_PERCENT = 1200
# Of five servers two are slow, at most 0.4 of them, for nine seconds.
SLOW_SERVERS = 2
SLOW_S = 9
TIMES = 6
USUAL_S = 5
STOP_AFTER_S = 2
PAUSE_S = 3
LOOKUP_PAUSE_S = 0.3
BOOKING_PAUSE_S = 0.3
BOOKING_CLIENTS = 6
BOOKING_SLOTS = 40
KEY_STEP = 8192
# `grace`, a restart, and `contact`.
EXCUSED_MS = 10_000
MAX_LOST = 3


class Case:
    """One play of the case.

    `lost` has the (host, time in ms) of requests that were lost there, `stops`
    those of planned stops.
    """

    def __init__(self, lab):
        """Play in a `lab3.Lab`."""
        self.lost = []
        self.stops = []
        self.is_over = False
        self._lab = lab

    async def look_up(self, number):
        """Send quick lookups from a client on a host."""
        client = lab3.Client(self._lab, number, 'GET', route(LOOKUP, 'safe'))
        while not self.is_over:
            await client.ask(random.randrange(lab3.KEYS))
            await asyncio.sleep(LOOKUP_PAUSE_S)

    async def book(self, number):
        """Send bookings from a client on a host; note those that are lost."""
        client = lab3.Client(
            self._lab, number, 'POST', route(BOOKING, 'non_idempotent')
        )
        while not self.is_over:
            await client.ask()
            has_run = client.request_id in self._lab.runs
            connection = client.connection
            if connection.was_kept and connection.was_closed and has_run:
                self.lost.append((number, lab3io.now_ms()))
                self._lab.record.line(
                    f'request {client.request_id}: has run, and was lost'
                )
            await asyncio.sleep(BOOKING_PAUSE_S)

    async def disturb(self):
        """Make servers slow, and stop the planner as planned."""
        lookups = [
            server
            for server in self._lab.servers.values()
            if server.service == LOOKUP
        ]
        for server in random.sample(lookups, SLOW_SERVERS):
            if lab3.is_troubled():
                server.load_percent = SLOW_PERCENT
                self._lab.record.line(f'server {server.number} turns slow')
        await asyncio.sleep(STOP_AFTER_S)
        planner = self._lab.planner()
        self._lab.record.line(f'planned stop of agent {planner}, the planner')
        self.stops.append((planner, lab3io.now_ms()))
        self._lab.agents[planner].stop_as_planned()
        await asyncio.sleep(SLOW_S - STOP_AFTER_S)
        for one in lookups:
            one.load_percent = USUAL_PERCENT
        self._lab.record.line('all servers have their usual speed')
        await asyncio.sleep(PAUSE_S)

    def count_lost(self):
        """Return how many requests were lost that no planned stop excuses."""
        excused = [
            (number, at)
            for number, at in self.lost
            if any(
                number == stopped and at - EXCUSED_MS <= stopped_at <= at
                for stopped, stopped_at in self.stops
            )
        ]
        return len(self.lost) - len(excused)


def route(service, kind):
    """Return the route to a service."""
    return {
        'name': service,
        'host': f'{service}.example',
        'path_prefix': f'/{service}/',
        'kind': kind,
        'service': service,
        'timeout': '2500ms',
        'target_latency': '2000ms',
        'priority': 1,
        'max_attempts': 2,
    }


def prepare():
    """Return the `lab3.Lab` of the case."""
    services = [LOOKUP for _ in range(LOOKUP_HOSTS)]
    services += [BOOKING for _ in range(BOOKING_HOSTS)]
    lab = lab3.Lab(FOLDER, services, {LOOKUP}, LOOKUP_MS)
    for server in lab.servers.values():
        if server.service == BOOKING:
            server.work_ms = BOOKING_MS
            server.slots = BOOKING_SLOTS
    lab.configure([route(LOOKUP, 'safe'), route(BOOKING, 'non_idempotent')])
    return lab


async def play(lab):
    """Play the case; return its exit status."""
    await lab.start()
    first = lab3.Client(lab, 1, 'GET', route(LOOKUP, 'safe'))
    await lab.wait_served(first.ask, range(0, lab3.KEYS, KEY_STEP))
    case = Case(lab)
    clients = [asyncio.ensure_future(case.look_up(one)) for one in lab.agents]
    clients += [
        asyncio.ensure_future(case.book(number))
        for number in lab.agents
        for _ in range(BOOKING_CLIENTS)
    ]
    await asyncio.sleep(USUAL_S)
    for _ in range(TIMES):
        await case.disturb()
    case.is_over = True
    await asyncio.gather(*clients)
    return judge(lab, case.count_lost())


def judge(lab, lost):
    """Report what was seen; return the exit status."""
    ends = {number: lab.agents[number].ends for number in lab.agents}
    summary = f'lost: {lost} requests; ends of processes by themselves: {ends}'
    failures = [
        f'agent {number}: {line}'
        for number in lab.agents
        for line in lab.agents[number].log_lines('tick-failed')
    ]
    for line in (summary, *failures):
        lab.record.line(line)
        sys.stdout.write(f'{line}\n')
    return lab3.BROKEN if lost > MAX_LOST else lab3.PASSED


if __name__ == '__main__':
    lab3.run_case(prepare(), play)
