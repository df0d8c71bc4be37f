"""A small deployment on loopback: real agents, stand-ins around them.

The store and the backend servers run in this process, so that tests see
every grant and every run; each agent is a process with an address of its own.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys

import attrs
from tornado import httpserver
from tornado import netutil

from laburnumlatch.experiments import grantledger
from laburnumlatch.operators import publish
from laburnumlatch.platform import bootfile
from laburnumlatch.platform import configrowcodec
from laburnumlatch.platform import tablestore
from standins import backend as backends
from standins import proxy as proxies
from standins.platform import announcer
from standins.platform import backendapi
from standins.platform import settings
from standins.platform import store as stores

# The last part of the store's address; those of hosts count from 1.
STORE_HOST = 250
STORE_PORT = 18_142
CALLER_PORT = 8147
READY_PORT = 8141
CONTROL_PORT = 8144
BACKEND_PORT = 8080
PROXY_PORT = 8081
METRICS_PORT = 9464
POLL_S = 0.05
STOP_LIMIT_S = 10
# The second and third part of loopback addresses, so that deployments at the
# same time have addresses of their own.
NETWORKS = range(10, 100)


class NotReadyError(Exception):
    """Something did not happen within its time limit."""


@attrs.define(frozen=True)
class HostSpec:
    """One host of a deployment: a backend server and an agent."""

    host_id: str
    kind: backends.Kind


@attrs.define
class Host:
    """A host that was started; `agent` is the process of its agent."""

    host_id: str
    backend: backends.Backend
    ip_text: str
    store_port: int
    proxy: proxies.Proxy | None = None
    agent: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self):
        """Where callers on this host send requests."""
        return f'{self.ip_text}:{CALLER_PORT}'

    @property
    def ready_address(self):
        """Where the platform asks whether callers may send."""
        return f'{self.ip_text}:{READY_PORT}'

    @property
    def control_address(self):
        """Where the backend server announces itself."""
        return f'{self.ip_text}:{CONTROL_PORT}'

    @property
    def server_address(self):
        """Where the backend server listens."""
        return f'{self.ip_text}:{BACKEND_PORT}'

    @property
    def proxy_address(self):
        """Where the proxy before the backend server would listen."""
        return f'{self.ip_text}:{PROXY_PORT}'

    @property
    def metrics_address(self):
        """Where the agent shows metrics and its state."""
        return f'{self.ip_text}:{METRICS_PORT}'


class Deployment:
    """Hosts and a store; `violations` are keys that two servers held.

    Agents run from the sources, or as the one-file program `binary`.
    """

    def __init__(self, folder, specs, proxied=()):
        """Keep settings and logs in `folder`; `specs` are `HostSpec`s."""
        self._folder = pathlib.Path(folder)
        self.binary = ''
        self._stores = []
        self._backend_servers = {}
        self._tasks = []
        self._passing = []
        self._rng = random.Random()
        parts = [self._rng.choice(NETWORKS) for _ in range(2)]
        self._network = '.'.join(('127', *map(str, parts)))
        self.store = stores.Store()
        self.violations = []
        self.hosts = {}
        for number, spec in enumerate(specs, start=1):
            host = self._host(spec, number)
            if spec.host_id in proxied:
                host.proxy = proxies.Proxy(host.server_address)
                host.backend.address = host.proxy_address
            self.hosts[spec.host_id] = host

    @property
    def store_address(self):
        """Where publishers reach the store."""
        return self._store_address(STORE_PORT)

    async def start(self, *paths):
        """Publish operators' files, then start all hosts."""
        application = stores.application(self.store)
        ports = [STORE_PORT, *(host.store_port for host in self.hosts.values())]
        for port in ports:
            server = httpserver.HTTPServer(application)
            _listen(server, self._store_address(port))
            self._stores.append(server)
        await self.publish(*paths)
        for host in self.hosts.values():
            self.start_backend(host.host_id)
            if host.proxy is not None:
                passing = await proxies.listen(host.proxy, host.proxy_address)
                self._passing.append(passing)
            await self.start_agent(host.host_id)
            beats = announcer.Announcer(host.backend, host.control_address)
            self._tasks.append(asyncio.ensure_future(beats.run()))

    async def publish(self, *paths):
        """Run the publishing step over operators' files."""
        client = tablestore.TableStore(self.store_address)
        try:
            return await publish.publish(
                client,
                configrowcodec.PlatformCodec(),
                publish.load_entries(paths),
            )
        finally:
            client.close()

    async def start_agent(self, host_id, log_descriptor=None):
        """Start the agent of a host; its log goes to a file if not told."""
        host = self.hosts[host_id]
        path = self.settings_path(host_id)
        text = settings.render(host, self._store_address(host.store_port))
        path.write_text(text, encoding='utf-8')
        with self.log_path(host_id).open('ab') as log:
            host.agent = await asyncio.create_subprocess_exec(
                *self._command(path),
                env={**os.environ, bootfile.PATH_VARIABLE: str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log if log_descriptor is None else log_descriptor,
                stderr=log,
            )

    def settings_path(self, host_id):
        """Return the settings file of an agent."""
        return self._folder / f'{host_id}.toml'

    def log_path(self, host_id):
        """Return where the agent of a host writes its log."""
        return self._folder / f'{host_id}.log'

    def send_signal(self, host_id, number):
        """Signal the agent of a host if it still runs."""
        agent = self.hosts[host_id].agent
        if agent is not None and agent.returncode is None:
            agent.send_signal(number)

    async def wait(self, host_id, limit_s=STOP_LIMIT_S):
        """Wait until an agent has ended; return its exit code."""
        agent = self.hosts[host_id].agent
        try:
            return await asyncio.wait_for(agent.wait(), limit_s)
        except TimeoutError as error:
            raise NotReadyError(f'{host_id} runs on') from error

    async def kill(self, host_id):
        """Kill the agent of a host."""
        self.send_signal(host_id, signal.SIGKILL)
        await self.wait(host_id)

    async def stop(self):
        """End all agents and servers of this deployment."""
        for task in self._tasks:
            task.cancel()
        for host_id, host in self.hosts.items():
            if host.agent is not None:
                self.send_signal(host_id, signal.SIGCONT)
                self.send_signal(host_id, signal.SIGKILL)
                await host.agent.wait()
        for passing in self._passing:
            passing.close()
        for server in (*self._stores, *self._backend_servers.values()):
            server.stop()
            await server.close_all_connections()

    async def kill_backend(self, host_id):
        """End a backend server at once: its work and connections are gone."""
        host = self.hosts[host_id]
        host.backend.is_up = False
        server = self._backend_servers.pop(host_id)
        server.stop()
        await server.close_all_connections()

    def start_backend(self, host_id):
        """Start a backend server anew: its new life holds nothing."""
        host = self.hosts[host_id]
        host.backend.begin_life()
        host.backend.is_up = True
        server = backendapi.Server(host.backend)
        self._backend_servers[host_id] = server
        _listen(server, host.server_address)

    def holders(self, key):
        """Return the hosts whose backend servers hold a key now."""
        return [
            host_id
            for host_id, host in self.hosts.items()
            if host.backend.is_up
            and host.backend.ledger.holds(key, host.backend.now())
        ]

    def cut_from_store(self, host_id, *, is_cut=True):
        """Cut the agent of a host off from the store, or join it again."""
        change = set.add if is_cut else set.discard
        change(self.store.faults.cut_ports, self.hosts[host_id].store_port)

    def _store_address(self, port):
        return f'{self._network}.{STORE_HOST}:{port}'

    def _host(self, spec, number):
        ip_text = f'{self._network}.{number}'
        address = f'{ip_text}:{BACKEND_PORT}'
        backend = backends.Backend(
            spec.host_id, spec.kind, address, self._check_grant
        )
        return Host(spec.host_id, backend, ip_text, STORE_PORT + number)

    def _command(self, path):
        if self.binary:
            return (self.binary, 'agent', str(path))
        return (sys.executable, '-m', 'laburnumlatch.platform')

    def _check_grant(self, backend, grant):
        """Note keys that another backend server holds at this moment."""
        ledgers = {
            host_id: host.backend.ledger
            for host_id, host in self.hosts.items()
            if host.backend.is_up
            and host.backend.kind.service == backend.kind.service
        }
        self.violations.extend(grantledger.shared(ledgers, backend.now()))


def _listen(server, address):
    ip_text, port = address.split(':')
    server.add_sockets(netutil.bind_sockets(int(port), ip_text))


@contextlib.asynccontextmanager
async def running(folder, specs, *paths, proxied=()):
    """Yield a started `Deployment`; end it afterwards.

    A proxy stands between agent and backend server of the `proxied` hosts.
    """
    deployment = Deployment(folder, specs, proxied)
    try:
        await deployment.start(*paths)
        yield deployment
    finally:
        await deployment.stop()


async def until(what, holds, limit_s):
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
