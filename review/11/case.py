"""Quick lookups at slow servers: the planner's process must not end.

Ten hosts serve quick lookups of a service divided by key, three serve longer
bookings. Four times, four servers of the lookups turn slow for nine seconds:
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

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lab3

LOOKUP, BOOKING = 'lookup', 'booking'
SERVICES = [LOOKUP] * 10 + [BOOKING] * 3
HOSTS = {LOOKUP: 'lookup.example', BOOKING: 'booking.example'}
# Work at the usual speed, and how many percent it takes at a slow server.
LOOKUP_MS, BOOKING_MS, SLOW_PERCENT = 0.05, 1200, 1200
LOOKUP_PAUSE_S, BOOKING_PAUSE_S, BOOKING_CLIENTS = 0.4, 0.3, 6
# Of ten servers four are slow, at most 0.4 of them, for nine seconds.
SLOW_SERVERS, SLOW_S = 4, 9
USUAL_S, TIMES, STOP_AFTER_S, PAUSE_S = 5, 4, 2, 6
# `grace`, a restart, and `contact`.
EXCUSED_MS = 10_000
MAX_LOST = 3


async def look_up(lab, number, is_over):
    """Send quick lookups, one after the other, from a client on a host."""
    client = lab3.Client(lab, number)
    while not is_over():
        await client.ask(
            HOSTS[LOOKUP], '/items/x', key=random.randrange(lab3.KEYS)
        )
        await asyncio.sleep(LOOKUP_PAUSE_S)
    client.close()


async def book(lab, number, lost, is_over):
    """Send bookings, one after the other, and collect those that are lost."""
    client = lab3.Client(lab, number)
    while not is_over():
        status, request_id, _body = await client.ask(
            HOSTS[BOOKING],
            '/book/x',
            method='POST',
            left_ms=2500,
            body=b'rack',
        )
        has_run = request_id in lab.runs
        if not status and client.was_kept and client.was_closed and has_run:
            lab.record.line(f'lost {request_id}: it ran, agent {number} closed')
            lost.append((number, lab3.now_ms()))
        await asyncio.sleep(BOOKING_PAUSE_S if status else 0.5)
    client.close()


def route(service, prefix, kind):
    """Return a route to a service."""
    return {
        'name': service,
        'host': HOSTS[service],
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout': '2500ms',
        'target_latency': '2000ms',
        'priority': 1,
        'max_attempts': 2,
    }


def set_speed(lab, servers, percent):
    """Let work at some servers take so many percent of its usual time."""
    names = ', '.join(str(server.number) for server in servers)
    lab.record.line(f'work at servers {names} takes {percent} percent')
    for server in servers:
        server.load_percent = percent


async def main():
    """Play the case; return its exit status."""
    lab = lab3.Lab(FOLDER, SERVICES, sharded=[LOOKUP])
    try:
        return await play(lab)
    finally:
        await lab.stop()


async def play(lab):
    """Send requests, make machines slow, stop the planner, count the lost."""
    lab.configure([
        route(LOOKUP, '/items/', 'safe'),
        route(BOOKING, '/book/', 'non_idempotent'),
    ])
    for server in lab.servers.values():
        server.load_percent = 100
        server.slots = 40
        server.work_ms = BOOKING_MS
        if server.service == LOOKUP:
            server.work_ms = LOOKUP_MS
    await lab.start()
    await lab.wait_ready()
    await lab.wait_served(
        1, HOSTS[LOOKUP], '/items/x', range(0, lab3.KEYS, 8192)
    )
    if any(agent.ends for agent in lab.agents.values()):
        raise lab3.UnableError('an agent ended before the case began')
    ends_at = lab3.now_ms() + 1000 * (USUAL_S + TIMES * (SLOW_S + PAUSE_S))
    lost = []
    clients = [
        asyncio.ensure_future(work)
        for number in lab.agents
        for work in (
            look_up(lab, number, lambda: lab3.now_ms() >= ends_at),
            *(
                book(lab, number, lost, lambda: lab3.now_ms() >= ends_at)
                for _ in range(BOOKING_CLIENTS)
            ),
        )
    ]
    await asyncio.sleep(USUAL_S)
    stops = {}
    lookups = [one for one in lab.servers.values() if one.service == LOOKUP]
    for _ in range(TIMES):
        slow = random.sample(lookups, SLOW_SERVERS)
        set_speed(lab, slow, SLOW_PERCENT if lab3.is_troubled() else 100)
        await asyncio.sleep(STOP_AFTER_S)
        stopped = lab.planner()
        lab.record.line(f'planned stop of agent {stopped}, the planner')
        stops.setdefault(stopped, []).append(lab3.now_ms())
        lab.agents[stopped].stop_as_planned()
        await asyncio.sleep(SLOW_S - STOP_AFTER_S)
        set_speed(lab, slow, 100)
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)
    lost = [
        (number, at)
        for number, at in lost
        if not any(
            at - EXCUSED_MS <= stop <= at for stop in stops.get(number, ())
        )
    ]
    ends = {
        number: own_ends
        for number, agent in lab.agents.items()
        if (own_ends := sum(not asked for _at, _status, asked in agent.ends))
    }
    summary = f'lost: {len(lost)} requests; ended by themselves: {ends}'
    lab.record.line(summary)
    sys.stdout.write(f'{summary}\n')
    for number in ends:
        for line in lab.agents[number].log_lines('tick-failed'):
            lab.record.line(f'log of agent {number}: {line}')
            sys.stdout.write(f'agent {number}: {line}\n')
    return lab3.BROKEN if len(lost) > MAX_LOST else lab3.PASSED


if __name__ == '__main__':
    lab3.run_case(main)
