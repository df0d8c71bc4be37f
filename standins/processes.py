"""Processes of a deployment on loopback: started, signaled and ended by ID."""

import asyncio
import contextlib
import random
import signal
import socket
import sys
import tempfile

import attrs
import yaml
from tornado import httpclient

LOOPBACK = '127.0.0.1'
FIRST_PORT = 20000
LAST_PORT = 32000
END_LIMIT_S = 5
# A change of the configuration is in force everywhere within this time.
PUBLISH_LIMIT_S = 10
POLL_S = 0.05
REQUEST_TIMEOUT_S = 5
HTTP_OK = 200


class NotReadyError(Exception):
    """A process did not do something within its time limit."""


@attrs.define
class Ports:
    """Ports that were free and are not handed out twice.

    They lie below the range from which the system takes the ports of outgoing
    connections: one of those could take a port before its process listens.
    """

    taken: set[int] = attrs.Factory(set)

    def free(self):
        """Return a port of loopback that is free for TCP and UDP."""
        while True:
            port = random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self.taken and _is_free(port):
                self.taken.add(port)
                return port

    def address(self):
        """Return an unused `ip:port`."""
        return f'{LOOPBACK}:{self.free()}'


@attrs.define
class Processes:
    """Own processes by name; only these are ever signaled.

    `folder` holds their settings and logs. `programs` are command lines by
    module that run instead of `python -m module`.
    """

    folder: str = attrs.Factory(lambda: tempfile.mkdtemp(prefix='lbl-'))
    running: dict[str, asyncio.subprocess.Process] = attrs.Factory(dict)
    programs: dict[str, tuple[str, ...]] = attrs.Factory(dict)

    def log_path(self, name):
        """Return where the process writes its log."""
        return f'{self.folder}/{name}.log'

    async def start(self, name, module, *arguments):
        """Run `python -m module arguments`."""
        # A restart under the same name continues the log.
        with open(self.log_path(name), 'ab') as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                *self.programs.get(module, (sys.executable, '-m', module)),
                *map(str, arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name, number):
        """Signal one process if it still runs."""
        process = self.running[name]
        if process.returncode is None:
            process.send_signal(number)

    async def wait(self, name, limit_s=END_LIMIT_S):
        """Wait until a process has ended; return its exit code."""
        process = self.running[name]
        try:
            return await asyncio.wait_for(process.wait(), limit_s)
        except TimeoutError as error:
            raise NotReadyError(f'{name} runs after {limit_s} s') from error

    async def end_all(self):
        """End every process that still runs."""
        for name in self.running:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)
        for process in self.running.values():
            await process.wait()


@attrs.define(frozen=True)
class HostSpec:
    """One host of a deployment: a backend server and an agent."""

    host_id: str
    service: str
    domain: str
    service_ms: int = 5
    checks_grants: bool = False
    connections: int = 130
    cold_ms: int = 0


@attrs.define
class Deployment:
    """A platform and hosts, each part its own process."""

    processes: Processes
    region: str
    ports: Ports = attrs.Factory(Ports)
    store: str = ''
    agents: dict[str, str] = attrs.Factory(dict)
    backends: dict[str, str] = attrs.Factory(dict)
    settings: dict[str, str] = attrs.Factory(dict)

    async def start_platform(self):
        """Start the table service and wait until it answers."""
        self.store = self.ports.address()
        await self.processes.start(
            'platform',
            'standins',
            'platform',
            '--port',
            _port(self.store),
        )
        await until(
            'the platform answers',
            lambda: is_up(f'http://{self.store}/faults'),
        )

    async def publish(self, *paths):
        """Run the publishing step over operators' files."""
        await self.processes.start(
            'publish',
            'laburnumlatch',
            'publish',
            '--store',
            self.store,
            *paths,
        )
        if await self.processes.wait('publish', PUBLISH_LIMIT_S):
            raise NotReadyError(
                f'publishing failed, see {self.processes.log_path("publish")}',
            )

    async def start_host(self, spec, backend_address='', store=''):
        """Start a host; the agent may see its server or store by a proxy."""
        host_id = spec.host_id
        self.agents[host_id] = self.ports.address()
        # A proxy that was started first already knows the server's address.
        self.backends.setdefault(host_id, self.ports.address())
        self._write_settings(spec, store or self.store)
        await self.start_agent(host_id)
        await self.processes.start(
            f'{host_id}-server',
            'standins',
            'backend',
            '--port',
            _port(self.backends[host_id]),
            '--agent',
            self.agents[host_id],
            '--id',
            host_id,
            '--service',
            spec.service,
            '--service-ms',
            spec.service_ms,
            '--connections',
            spec.connections,
            '--cold-ms',
            spec.cold_ms,
            *(('--checks-grants',) if spec.checks_grants else ()),
            *(('--announce', backend_address) if backend_address else ()),
        )

    async def start_agent(self, host_id):
        """Start the agent of a host, for the first time or again."""
        await self.processes.start(
            f'{host_id}-agent',
            'laburnumlatch',
            'agent',
            self.settings[host_id],
        )

    def _write_settings(self, spec, store):
        path = f'{self.processes.folder}/{spec.host_id}.yaml'
        fields = {
            'host_id': spec.host_id,
            'region': self.region,
            'domain': spec.domain,
            'address': self.agents[spec.host_id],
            'datagram_address': self.ports.address(),
            'peer_address': self.ports.address(),
            'store_address': store,
        }
        with open(path, 'w', encoding='utf-8') as stream:
            yaml.safe_dump(fields, stream)
        self.settings[spec.host_id] = path


async def until(what, holds, limit_s=10):
    """Wait until the coroutine function `holds` returns a true value.

    Returns that value; raises `NotReadyError` naming `what` after `limit_s`.
    """
    loop = asyncio.get_running_loop()
    limit = loop.time() + limit_s
    while loop.time() < limit:
        found = await holds()
        if found:
            return found
        await asyncio.sleep(POLL_S)
    raise NotReadyError(f'{what}: not within {limit_s} s')


async def ask(url, method='GET', **options):
    """Return the response of one request; raise OSError if none came."""
    options.setdefault('request_timeout', REQUEST_TIMEOUT_S)
    client = httpclient.AsyncHTTPClient()
    try:
        return await client.fetch(
            url,
            method=method,
            raise_error=False,
            allow_nonstandard_methods=True,
            **options,
        )
    except httpclient.HTTPError as error:
        raise ConnectionError(f'{url}: {error}') from error


async def is_up(url):
    """Tell whether `url` answers with 200."""
    try:
        response = await ask(url)
    except OSError:
        return False
    return response.code == HTTP_OK


def _is_free(port):
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    with contextlib.ExitStack() as stack:
        try:
            for kind in kinds:
                opened = socket.socket(socket.AF_INET, kind)
                stack.enter_context(opened).bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _port(address):
    return address.rpartition(':')[2]
