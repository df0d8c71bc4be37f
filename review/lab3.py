"""A small deployment on loopback for the scripts of the third review.

Agents are real processes, started with the command of the deploy file. The
store, the backend servers and the clients are stand-ins in the process of the
script, and do what the users' pages say of them.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile

import lab3agent
import lab3io
import lab3server
import lab3store

PASSED = 0
BROKEN = 1
UNABLE = 2
KEYS = 65_536
ID_BITS = 64
# The last part of the store's address; each host has a port of its own there.
STORE_PART = 250
STORE_PORT = 18_142
NETWORKS = range(100, STORE_PART)
NETWORK_TRIES = 50
ZONES = 'abc'
READY_S = 25
POLL_S = 0.1
ANSWER_S = 1
# A client waits for so much more than its time budget.
MARGIN_MS = 500
LEFT_MS = 1500
# A script may run for 120 s.
LIMIT_S = 115


class Lab:
    """Hosts, a store and clients.

    `runs` has the hosts whose servers ran a request, by its id. Each function
    in `on_grant` is called with the server and each grant that it has taken.
    """

    def __init__(self, folder, services, divided, work_ms):
        """Prepare a host for each of `services`, the names of theirs.

        `folder` is that of the case, for `record.txt`. Those in `divided` are
        divided by key; a request takes `work_ms`.
        """
        self.record = lab3io.Record(folder / 'record.txt')
        self.runs = {}
        self.on_grant = []
        self.store = lab3store.Store()
        self._divided = set(divided)
        self._network = _free_network()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.servers = {
            number: lab3server.Server(self, number, service, work_ms)
            for number, service in enumerate(services, 1)
        }
        self.agents = {
            number: lab3agent.Agent(number, self._folder, self.record)
            for number in self.servers
        }

    def ip(self, number):
        """Return the address of a host, or of the store."""
        return f'{self._network}.{number}'

    def zone(self, number):
        """Return the zone of a host."""
        return f'zone-{ZONES[number % len(ZONES)]}'

    def node_name(self, number):
        """Return the name of a host."""
        return f'sidecar-{self.zone(number)}-{number:02}'

    def is_undivided(self, service):
        """Return whether a service takes requests for any key."""
        return service not in self._divided

    def note_grant(self, server, grant):
        """Tell the case of a grant that a server has taken."""
        for told in self.on_grant:
            told(server, grant)

    def planner(self):
        """Return the host that holds the planner role, 0 if none does.

        The row of the role has the name of its holder as text.
        """
        body = self.store.body_of('roles', 'planner')
        holders = [
            number
            for number in self.agents
            if self.node_name(number).encode() in body
        ]
        return holders[0] if holders else 0

    def configure(self, routes):
        """Write a configuration; routes are dicts by column."""
        names = {server.service for server in self.servers.values()}
        services = [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 130,
                'sharded': name in self._divided,
                'warmup': '0ms',
            }
            for name in sorted(names)
        ]
        document = {
            'version': 1,
            'routes': _encode_table(routes),
            'services': _encode_table(services),
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 16_777_216,
                'header_timeout': '3000ms',
                'idle_timeout': '15s',
            },
        }
        self.store.put('op', 'config', json.dumps(document).encode())

    async def start(self):
        """Start all, and wait until the agents are ready."""
        for number in self.servers:
            endpoint = lab3io.Endpoint(self.store.respond)
            await endpoint.start(self.ip(STORE_PART), STORE_PORT + number)
            await self.servers[number].start()
            await self.agents[number].start(self._settings(number))
        ends_at = lab3io.now_ms() + READY_S * lab3io.MS_PER_S
        for number in self.agents:
            while not await self._is_ready(number):
                if lab3io.now_ms() > ends_at:
                    raise lab3io.UnableError(f'agent {number} is not ready')
                await asyncio.sleep(POLL_S)

    async def wait_served(self, request, keys):
        """Wait until `request(key)` is answered with 200 for all keys."""
        ends_at = lab3io.now_ms() + READY_S * lab3io.MS_PER_S
        for key in keys:
            while await request(key) != lab3io.OK:
                if lab3io.now_ms() > ends_at:
                    raise lab3io.UnableError(f'key {key} is not served')
                await asyncio.sleep(POLL_S)

    async def stop(self):
        """End all processes, and remove the temporary folder."""
        await asyncio.gather(*(agent.end() for agent in self.agents.values()))
        for server in self.servers.values():
            server.stop()
        self.record.close()
        if os.environ.get('KEEP_LOGS') == '1':
            sys.stderr.write(f'logs stay in {self._folder}\n')
        else:
            shutil.rmtree(self._folder)

    async def _is_ready(self, number):
        message = lab3io.encode_request('GET', '/ready', {'Host': 'agent'})
        address = (self.ip(number), lab3agent.READY_PORT)
        status, _fields, _body = await lab3io.call(address, message, ANSWER_S)
        return status == lab3io.OK

    def _settings(self, number):
        return lab3agent.render_settings({
            'name': self.node_name(number),
            'ip': self.ip(number),
            'zone': self.zone(number),
            'service': self.servers[number].service,
            'store': f'{self.ip(STORE_PART)}:{STORE_PORT + number}',
        })


class Client:
    """A client on a host, which sends requests of one route one by one.

    `request_id` is that of the last request.
    """

    def __init__(self, lab, number, method, route):
        """Send to the agent of host `number`; `route` as in the configuration.

        The time budget is the timeout of the route.
        """
        self.request_id = ''
        self.connection = lab3io.Connection((
            lab.ip(number),
            lab3agent.OUTBOUND_PORT,
        ))
        self._lab = lab
        self._number = number
        self._method = method
        self._route = route

    async def ask(self, key=None):
        """Send a request; return the status of the answer, 0 for none."""
        self.request_id = f'{random.getrandbits(ID_BITS):016x}'
        left_ms = int(self._route['timeout'].removesuffix('ms'))
        fields = {
            'Host': self._route['host'],
            'X-Request-Id': self.request_id,
            'X-Deadline-Ms': left_ms,
        }
        if key is not None:
            fields['X-Shard-Key'] = key
        target = f'{self._route["path_prefix"]}x'
        message = lab3io.encode_request(self._method, target, fields)
        self._note(f'key {key} to agent {self._number}')
        limit_s = (left_ms + MARGIN_MS) / lab3io.MS_PER_S
        status = await self.connection.ask(message, limit_s)
        self._note(f'answer {status or "none"}')
        return status

    def _note(self, text):
        self._lab.record.line(f'request {self.request_id}: {text}')


def is_troubled():
    """Return whether the case is played with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(lab, play):
    """Run `await play(lab)`, which returns an exit status, in its time."""
    try:
        status = asyncio.run(_run_case(lab, play))
    except (lab3io.UnableError, OSError, asyncio.CancelledError) as error:
        # A timeout is an OSError.
        sys.stdout.write(f'the case could not run: {error!r}\n')
        status = UNABLE
    sys.exit(status)


async def _run_case(lab, play):
    # Whoever ends the script ends its processes, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(lab)
    finally:
        await lab.stop()


def _encode_table(rows):
    columns = sorted({name for row in rows for name in row})
    return {
        'columns': columns,
        'rows': [[row.get(name) for name in columns] for row in rows],
    }


def _free_network():
    """Return the first three parts of loopback addresses that nobody uses."""
    for _ in range(NETWORK_TRIES):
        parts = [random.choice(NETWORKS) for _ in range(2)]
        network = '.'.join(('127', *map(str, parts)))
        with socket.socket() as probe:
            if not probe.connect_ex((f'{network}.1', lab3server.PORT)):
                continue
        return network
    raise lab3io.UnableError('no free loopback network')
