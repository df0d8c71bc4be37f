"""Bursts of bookings over real agents, and faults that hit them.

Each fault hits a burst at one owner of which some bookings have ended, some
run and some have not begun. The oracle compares the runs of each request,
counted by all backend servers, with what its caller was told.
"""

import asyncio
import signal

from standins import deployment
from standins import proxy
from tests import lab as labs

INGRESS = 'm1'
BURST = 30
# A booking takes 300 ms: two and a half bursts of six slots fit its deadline.
SLOW = 10
# Longer than a lease.
PAUSE_S = 6
FREEZE_S = 3
AWAY_S = 1
BEGIN_S = 5
HEAL_S = 20


class Burst:
    """Bookings of the keys of all hosts, sent at once through INGRESS.

    The planner may move keys meanwhile, so the fault hits whichever server is
    found in the middle of its work: `owner` is None until then.
    """

    def __init__(self, lab):
        self.lab = lab
        self.owner = None
        self.keys = []
        self._sent = None
        self._servers = {
            host_id: host.backend
            for host_id, host in lab.hosts.items()
            if host.backend.kind.is_divided
        }
        self._first = {
            host_id: len(server.events)
            for host_id, server in self._servers.items()
        }

    @property
    def backend(self):
        """The backend server that the fault hits."""
        return self._servers[self.owner]

    async def begin(self):
        """Return once a server has ended some, runs some, and others wait."""
        servers = self._servers.values()
        for server in servers:
            server.faults.slow = SLOW
        self.keys = [key for each in servers for key in keys_of(each)]
        self._sent = asyncio.ensure_future(
            self.lab.calls(labs.BOOK, self.keys, INGRESS)
        )
        self.owner = await deployment.until('runs', self._halfway, BEGIN_S)

    async def end(self):
        """Compare runs and outcomes; return the records."""
        records = await self._sent
        for server in self._servers.values():
            server.faults.slow = 1
        for record in records:
            check(self.lab.runs(record.request_id), record)
        return records

    async def _halfway(self):
        """Return a host whose server is in the middle of its work, or None."""
        for host_id, server in self._servers.items():
            names = [
                event.name for event in server.events[self._first[host_id] :]
            ]
            is_open = names.count('start') < BURST
            if 'end' in names and server.running and is_open:
                return host_id
        return None


def keys_of(backend):
    """Return keys that a backend server holds, as many as a burst has."""
    held = backend.ledger.live_grants(backend.now())
    step = max(1, sum(one.end - one.start for one in held) // BURST)
    keys = [key for one in held for key in range(one.start, one.end + 1, step)]
    return keys[:BURST]


def check(runs, record):
    """Raise AssertionError where `runs` belies what a caller was told."""
    allowed = {labs.ANSWERED: {1}, labs.NOT_RUN: {0}}
    assert runs in allowed.get(record.outcome, {0, 1}), (runs, record)


async def kill_owner(burst):
    await burst.lab.running.kill(burst.owner)


async def kill_ingress(burst):
    await burst.lab.running.kill(INGRESS)
    await burst.lab.running.start_agent(INGRESS)


async def pause_owner(burst):
    """Pause the owner's agent until its lease has lapsed."""
    burst.lab.running.send_signal(burst.owner, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    burst.lab.running.send_signal(burst.owner, signal.SIGCONT)


async def freeze_server(burst):
    """Freeze the server and let it return as if nothing had happened."""
    burst.backend.faults.is_frozen = True
    await asyncio.sleep(FREEZE_S)
    burst.backend.faults.is_frozen = False


async def kill_server(burst):
    """Kill the server, and start it again without its keys."""
    await burst.lab.running.kill_backend(burst.owner)
    await asyncio.sleep(AWAY_S)
    burst.lab.running.start_backend(burst.owner)


async def cut(burst):
    proxy.set_faults(burst.lab.hosts[burst.owner].proxy, cut=True)


async def silence(burst):
    """Lose all answers on open connections; requests go on to arrive."""
    proxy.set_faults(burst.lab.hosts[burst.owner].proxy, silence='down')


async def truncate(burst):
    burst.backend.faults.truncate = BURST


async def repeat_answers(burst):
    burst.backend.faults.twice = BURST


async def play(lab, fault):
    """Let `fault` hit a burst; return the records of its bookings."""
    burst = Burst(lab)
    await burst.begin()
    await fault(burst)
    records = await burst.end()
    burst.backend.faults.truncate = 0
    burst.backend.faults.twice = 0
    await lab.until_served(burst.keys[::BURST], HEAL_S, 'm1')
    assert not lab.running.violations
    return records
