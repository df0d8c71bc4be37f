"""Real agents on loopback between stand-ins, for the cases of this review.

Agents run as separate processes with the command of the deploy file. The store,
the backend servers and the callers run in the process of the case.
"""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import attrs
from tornado import httpserver
from tornado import netutil
from tornado import web

from standins import backend as backends
from standins import networks
from standins.platform import announcer
from standins.platform import backendapi
from standins.platform import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ('python3', '-m', 'laburnumlatch.platform')
MS_PER_S = 1000
CALLER_PORT = 8147
READY_PORT = 8141
CONTROL_PORT = 8144
BACKEND_PORT = 8080
STORE_PORT = 18_142
READY_LIMIT_S = 25
POLL_S = 0.05
HEARTBEAT_S = 0.87
KEY_COUNT = 65_536
KEY_STEP = 64
WORK_MS = 30
STATUS_OK = 200
HELD = 0
BROKEN = 1
NOT_RUN = 2
LEFT_MS = 2000
# Host name of all routes of the cases.
HOST = 'ficu95.example'
SETTINGS = """\
grants = "call"
[self]
node_name = "{name}"
role = "agent"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{ip_text}"
zone = "{zone}"
region = "hofudborg"
bootstrap = true
app_address = "{ip_text}:8080"
service = "{service}"
[self.limits]
cpu_share = 0.86
cpu_cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [7380, 7395]
seeds = []
[network.listen]
inbound = "{ip_text}:8146"
outbound = "{ip_text}:8147"
ready = "{ip_text}:8141"
control = "{ip_text}:8144"
[network.zones]
grandi = "hofudborg"
breidholt = "hofudborg"
hafnarfj = "hofudborg"
[platform]
heartbeat = "870ms"
[platform.platform]
address = "{store_address}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
[terms]
contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "own", "platform",
]
[terms.bounds]
contact = "3000ms"
ack_timeout = "4000ms"
drain = "2000ms"
grace = "6s"
config_apply = "2000ms"
max_stretch = "5000ms"
retry_budget_ratio = 0.2
retry_window = "10s"
retry_budget_extra = 62
recovery = "15s"
max_hold = "10000ms"
thaw_slack = "300ms"
"""
ROUTE_COLUMNS = (
    'name',
    'host',
    'path_prefix',
    'kind',
    'service',
    'timeout',
    'target_latency',
    'priority',
    'max_attempts',
)
# The target latency, the priority and the most attempts.
ROUTE_END = ('600ms', 1, 2)
SERVICE_COLUMNS = (
    'name',
    'health_path',
    'max_connections',
    'sharded',
    'warmup',
)
SERVICES = (
    ('bokun', '/health', 130, True, '5s'),
    ('moti', '/health', 130, False, None),
)
LIMITS = (
    ('max_header_bytes', 16_384),
    ('max_body_bytes', 1_048_576),
    ('header_timeout', '3s'),
    ('idle_timeout', '15s'),
)


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        """Begin the file in `folder` anew."""
        self._path = pathlib.Path(folder) / 'record.txt'
        self._started_at = time.monotonic()
        self._path.write_text('', encoding='utf-8')

    @property
    def age_s(self):
        """Seconds since the record began."""
        return time.monotonic() - self._started_at

    def add(self, *words):
        """Append a line with the time since the start, and print it."""
        text = ' '.join(str(word) for word in words)
        line = f'{self.age_s:8.3f} {text}'
        sys.stdout.write(f'{line}\n')
        with self._path.open('a', encoding='utf-8') as record_file:
            record_file.write(f'{line}\n')


class NotRunError(Exception):
    """The case could not be set up."""


@attrs.define
class Machine:
    """A machine: its agent, and its backend server with its announcements."""

    name: str
    service: str
    zone: str
    ip_text: str
    store_address: str
    backend: backends.Backend | None = None
    server: backendapi.Server | None = None
    agent: subprocess.Popen | None = None

    @property
    def caller_address(self):
        """Where callers on this machine send requests, as (ip, port)."""
        return self.ip_text, CALLER_PORT


@attrs.define(frozen=True)
class Answer:
    """Answer to a request; status 0 stands for none."""

    status: int
    fields: dict
    body: bytes

    @property
    def server_id(self):
        """The backend server that ran the request, '' if none has."""
        return self.fields.get('x-response-seal', '')


NO_ANSWER = Answer(0, {}, b'')


class Platform:
    """Machines and a store on loopback addresses.

    `plan` has a (name, service, zone) for each machine. `handlers` replaces
    handlers of the store by path.
    """

    def __init__(self, folder, plan, record, handlers=None):
        """Prepare the machines; `start` starts them."""
        self.record = record
        self.store = stores.Store()
        self.machines = {}
        self._folder = pathlib.Path(folder)
        self._handlers = handlers or {}
        reserved = networks.reserve(random.Random())
        self._network = reserved[0]
        self._reservation = reserved[1]
        self._tasks = []
        self._servers = []
        for number, (name, service, zone) in enumerate(plan, start=1):
            ip_text = f'{self._network}.{number}'
            machine = Machine(
                name,
                service,
                zone,
                ip_text,
                self._store_address(STORE_PORT + number),
            )
            machine.backend = backends.Backend(
                name,
                backends.BackendProfile(
                    service, zone, service == 'bokun', work_ms=WORK_MS
                ),
                f'{ip_text}:{BACKEND_PORT}',
                functools.partial(self._note_grant, machine),
            )
            self.machines[name] = machine
        # Called with (machine, grant) for each grant that is accepted.
        self.on_grant = None

    async def start(self, routes, version=1):
        """Start the store, all backend servers and all agents."""
        self.configure(version, routes)
        application = stores.application(self.store)
        application.add_handlers(
            '.*',
            [
                (path, handler, {'store': self.store})
                for path, handler in self._handlers.items()
            ],
        )
        for machine in self.machines.values():
            server = httpserver.HTTPServer(application)
            _listen(server, machine.store_address)
            self._servers.append(server)
            self.start_backend(machine)
            self.start_agent(machine)
            self._tasks.append(asyncio.ensure_future(_announce(machine)))
        await self._wait_until_ready()

    def configure(self, version, routes):
        """Let the operator write a configuration; it is confirmed at once.

        `routes` are (name, prefix, kind, service) or, with a timeout, five.
        """
        document = {
            'version': version,
            'routes': {
                'columns': ROUTE_COLUMNS,
                'rows': [_route(*route) for route in routes],
            },
            'services': {'columns': SERVICE_COLUMNS, 'rows': SERVICES},
            'limits': dict(LIMITS),
        }
        self.store.put([('op', 'config', json.dumps(document).encode())])
        self.record.add('operator: version', version, 'confirmed', *routes)

    def start_backend(self, machine, server_id=''):
        """Begin a new lifetime of a backend server, which listens at once."""
        backend = machine.backend
        backend.begin_life()
        backend.is_up = True
        if server_id:
            backend.server_id = server_id
        machine.server = backendapi.Server(backend)
        _listen(machine.server, backend.address)
        self.record.add(
            'backend', machine.name, 'starts:', backend.server_id, backend.born
        )

    async def kill_backend(self, machine):
        """End a backend server without notice, and close its connections."""
        machine.backend.is_up = False
        machine.server.stop()
        await machine.server.close_all_connections()
        self.record.add('backend', machine.name, 'crashes')

    def start_agent(self, machine):
        """Start the agent of a machine with the command of the deploy file."""
        path = self._folder / f'{machine.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=machine.name,
                service=machine.service,
                zone=machine.zone,
                ip_text=machine.ip_text,
                store_address=machine.store_address,
            ),
            encoding='utf-8',
        )
        log_path = self._folder / f'{machine.name}.log'
        with log_path.open('ab') as log:
            machine.agent = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=_environment(path),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add('agent', machine.name, 'starts')

    def kill_agent(self, machine):
        """Kill the agent of a machine; its backend server lives on."""
        machine.agent.kill()
        machine.agent.wait()
        self.record.add('agent', machine.name, 'is killed')

    def log_lines(self, machine, word):
        """Return the lines of an agent's log that contain a word."""
        path = self._folder / f'{machine.name}.log'
        text = path.read_text(encoding='utf-8', errors='replace')
        return [line for line in text.splitlines() if word in line]

    async def stop(self):
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.agent is not None:
                machine.agent.send_signal(signal.SIGCONT)
                machine.agent.kill()
                machine.agent.wait()
            if machine.server is not None:
                machine.server.stop()
        for server in self._servers:
            server.stop()
        self._reservation.close()

    async def _wait_until_ready(self):
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            answers = [
                await _fetch_ready(machine)
                for machine in self.machines.values()
            ]
            if set(answers) == {STATUS_OK} and self._are_keys_held():
                self.record.add('all machines are ready, all keys are held')
                return
            await asyncio.sleep(POLL_S)
        raise NotRunError('the agents are not ready')

    def _are_keys_held(self):
        """Return whether each key of the divided service has a holder."""
        return all(
            any(
                machine.backend.ledger.holds(key, machine.backend.now())
                for machine in self.machines.values()
                if machine.service == 'bokun'
            )
            for key in range(0, KEY_COUNT, KEY_STEP)
        )

    def _note_grant(self, machine, _backend, grant):
        if self.on_grant is not None:
            self.on_grant(machine, grant)

    def _store_address(self, port):
        return f'{self._network}.{networks.STORE_OCTET}:{port}'


def encode(path, request_id, key=None, *, is_post=False, is_last=False):
    """Return the bytes of a request; the last one closes its connection."""
    method = 'POST' if is_post else 'GET'
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {LEFT_MS}',
    ]
    if key is not None:
        lines.append(f'X-Shard-Key: {key}')
    if is_post:
        lines.append('Content-Length: 0')
    if is_last:
        lines.append('Connection: close')
    return '\r\n'.join((*lines, '\r\n')).encode()


async def request(machine, path, request_id, key=None, *, is_post=False):
    """Send one request of a caller on a machine; return its `Answer`.

    The caller waits for `LEFT_MS`, and closes its connection then.
    """
    sent = encode(path, request_id, key, is_post=is_post)
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        return await asyncio.wait_for(
            _exchange(machine.caller_address, sent), LEFT_MS / MS_PER_S
        )
    return NO_ANSWER


async def _exchange(address, sent):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(sent)
        return await read(reader)
    finally:
        writer.close()


async def read(reader):
    """Read one `Answer`."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').strip().split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _colon, text = line.partition(':')
        fields[name.lower()] = text.strip()
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return Answer(int(lines[0].split()[1]), fields, body)


async def _fetch_ready(machine):
    """Ask an agent whether it is ready; return the status, 0 without one."""
    sent = f'GET /ready HTTP/1.1\r\nHost: {machine.ip_text}\r\n\r\n'.encode()
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        answer = await asyncio.wait_for(
            _exchange((machine.ip_text, READY_PORT), sent), 1
        )
        return answer.status
    return 0


async def _announce(machine):
    """Check in about every heartbeat while the backend server is up.

    A lifetime begins at any time between two ticks of this timer.
    """
    announcing = announcer.Announcer(
        machine.backend, f'{machine.ip_text}:{CONTROL_PORT}'
    )
    while True:
        if machine.backend.is_up:
            await announcing.announce()
        await asyncio.sleep(HEARTBEAT_S)


def _route(name, prefix, kind, service, timeout=None):
    """Return a row of routes; its columns are `ROUTE_COLUMNS`."""
    place = (name, HOST, prefix)
    return (*place, kind, service, timeout, *ROUTE_END)


def _environment(path):
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    return {
        **kept,
        'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        'LABURNUMLATCH_BOOT': str(path),
    }


def _listen(server, address):
    ip_text, port = address.split(':')
    server.add_sockets(netutil.bind_sockets(int(port), ip_text))


def is_in_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(folder, plan, play, handlers=None):
    """Run a case; return the exit status of its script.

    `play(platform)` is a coroutine that returns the breaches of the rule as
    texts. The record goes to `folder`.
    """
    record = Record(folder)
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaches = asyncio.run(
                _run_in(temporary, plan, play, record, handlers)
            )
        except (NotRunError, OSError, web.HTTPError) as error:
            record.add('the case could not run:', repr(error))
        else:
            status = BROKEN if breaches else HELD
            for breach in breaches:
                record.add('BROKEN:', breach)
    record.add('exit', status)
    return status


async def _run_in(temporary, plan, play, record, handlers):
    platform = Platform(temporary, plan, record, handlers)
    try:
        return await play(platform)
    finally:
        await platform.stop()
