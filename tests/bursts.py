"""Bursts of bookings over real agents, and faults during a burst.

A fault is applied to one owner when some bookings of the burst have ended,
some run, and some have not begun. Then the number of executions of each
request, counted by all backend servers, is compared with the outcome that its
caller got.
"""

import asyncio
import signal

from standins import deployment
from standins import proxy
from tests import lab as labs

INGRESS = 'm1'
BOOKINGS_PER_OWNER = 30
# With this a booking takes 300 ms. Its deadline has time for two and a half
# bursts over the six slots of a server.
SLOWDOWN_FACTOR = 10
# Longer than a lease.
AGENT_PAUSE_S = 6
SERVER_FREEZE_S = 3
SERVER_DOWNTIME_S = 1
BEGIN_TIMEOUT_S = 5
RECOVERY_TIMEOUT_S = 20


class Burst:
    """Bookings for keys of all owners, sent at once through `INGRESS`.

    The planner may move keys meanwhile, so the server for the fault is not
    chosen in advance: `owner` becomes the host of the first server that is
    found in the middle of its bookings, and is None until then.
    """

    def __init__(self, lab):
        self.lab = lab
        self.owner = None
        self.keys = []
        self._responses = None
        self._servers = {
            host_id: host.backend
            for host_id, host in lab.hosts.items()
            if host.backend.profile.is_divided
        }
        self._first_event_index = {
            host_id: len(server.events)
            for host_id, server in self._servers.items()
        }

    @property
    def backend(self):
        """The backend server that the fault is applied to."""
        return self._servers[self.owner]

    async def begin(self):
        """Send the burst; return when a server is in the middle of it."""
        servers = self._servers.values()
        for server in servers:
            server.faults.slow = SLOWDOWN_FACTOR
        self.keys = [key for backend in servers for key in keys_of(backend)]
        self._responses = asyncio.ensure_future(
            self.lab.call_all(labs.BOOKING, self.keys, INGRESS)
        )
        self.owner = await deployment.wait_until(
            'runs', self._find_server_in_progress, BEGIN_TIMEOUT_S
        )

    async def end(self):
        """Wait for all responses and check them; return the records."""
        records = await self._responses
        for server in self._servers.values():
            server.faults.slow = 1
        for record in records:
            check_run_count(self.lab.run_count(record.request_id), record)
        return records

    async def _find_server_in_progress(self):
        """Return a host whose server is in the middle of the burst, or None.

        It has ended some bookings, runs some, and has not begun all.
        """
        for host_id, server in self._servers.items():
            event_names = [
                event.name
                for event in server.events[self._first_event_index[host_id] :]
            ]
            has_unstarted = event_names.count('start') < BOOKINGS_PER_OWNER
            if 'end' in event_names and server.running and has_unstarted:
                return host_id
        return None


def keys_of(backend):
    """Return `BOOKINGS_PER_OWNER` keys, spread over those a server holds."""
    grants = backend.ledger.live_grants(backend.now())
    step = max(
        1,
        sum(grant.end - grant.start for grant in grants) // BOOKINGS_PER_OWNER,
    )
    keys = [
        key
        for grant in grants
        for key in range(grant.start, grant.end + 1, step)
    ]
    return keys[:BOOKINGS_PER_OWNER]


def check_run_count(run_count, record):
    """Assert that the number of executions agrees with a caller's outcome.

    An answered booking was executed once, one reported as not run was not,
    and any other at most once.
    """
    allowed = {labs.ANSWERED: {1}, labs.NOT_RUN: {0}}
    assert run_count in allowed.get(record.outcome, {0, 1}), (run_count, record)


async def kill_owner(burst):
    """Kill the agent of the owner."""
    await burst.lab.deployment.kill_agent(burst.owner)


async def kill_ingress(burst):
    """Kill the agent that received the bookings, and start it again."""
    await burst.lab.deployment.kill_agent(INGRESS)
    await burst.lab.deployment.start_agent(INGRESS)


async def pause_owner(burst):
    """Pause the agent of the owner until its lease has expired."""
    burst.lab.deployment.send_signal(burst.owner, signal.SIGSTOP)
    await asyncio.sleep(AGENT_PAUSE_S)
    burst.lab.deployment.send_signal(burst.owner, signal.SIGCONT)


async def freeze_server(burst):
    """Freeze the backend server for a while; it then simply continues."""
    burst.backend.faults.is_frozen = True
    await asyncio.sleep(SERVER_FREEZE_S)
    burst.backend.faults.is_frozen = False


async def kill_server(burst):
    """Kill the backend server, and start it again without its grants."""
    await burst.lab.deployment.kill_backend(burst.owner)
    await asyncio.sleep(SERVER_DOWNTIME_S)
    burst.lab.deployment.start_backend(burst.owner)


async def cut(burst):
    """Close all connections between the agent and its backend server."""
    proxy.set_faults(burst.lab.hosts[burst.owner].proxy, cut=True)


async def silence(burst):
    """Drop all responses on open connections; requests still arrive."""
    proxy.set_faults(burst.lab.hosts[burst.owner].proxy, silence='down')


async def truncate(burst):
    """Close connections in the middle of the following responses."""
    burst.backend.faults.truncate = BOOKINGS_PER_OWNER


async def repeat_answers(burst):
    """Send the following responses twice."""
    burst.backend.faults.twice = BOOKINGS_PER_OWNER


async def run_burst(lab, fault):
    """Run a burst with a fault; return the records of its bookings.

    Afterwards the keys must be served again, and no key may ever have had two
    owners.
    """
    burst = Burst(lab)
    await burst.begin()
    await fault(burst)
    records = await burst.end()
    burst.backend.faults.truncate = 0
    burst.backend.faults.twice = 0
    await lab.wait_until_served(
        burst.keys[::BOOKINGS_PER_OWNER], RECOVERY_TIMEOUT_S, 'm1'
    )
    assert not lab.deployment.violations
    return records
