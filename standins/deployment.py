"""A small deployment on loopback: real agents with stand-ins around them.

The store and the backend servers run in this process, so that tests can check
every grant and every execution of a request. Each agent is a process with an
IP address of its own.
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
from standins import networks
from standins import proxy as proxies
from standins.platform import announcer
from standins.platform import backendapi
from standins.platform import settings
from standins.platform import store as stores

STORE_PORT = 18_142
CALLER_PORT = 8147
READY_PORT = 8141
CONTROL_PORT = 8144
BACKEND_PORT = 8080
PROXY_PORT = 8081
METRICS_PORT = 9464
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10


class NotReadyError(Exception):
    """A condition was not met within its timeout."""


@attrs.define(frozen=True)
class HostSpec:
    """A host to start: an agent with its backend server of that profile."""

    host_id: str
    profile: backends.BackendProfile


@attrs.define
class Host:
    """A host of a deployment.

    `agent` is the process of its agent, None before the first start.
    `store_port` is the port at which this host alone reaches the store.
    `proxy`, if any, stands between the agent and the backend server.
    """

    host_id: str
    backend: backends.Backend
    ip_text: str
    store_port: int
    proxy: proxies.Proxy | None = None
    agent: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self):
        """Address where callers on this host send requests."""
        return f'{self.ip_text}:{CALLER_PORT}'

    @property
    def ready_address(self):
        """Address of the readiness check of the agent."""
        return f'{self.ip_text}:{READY_PORT}'

    @property
    def control_address(self):
        """Address where the backend server announces itself to the agent."""
        return f'{self.ip_text}:{CONTROL_PORT}'

    @property
    def server_address(self):
        """Address where the backend server listens."""
        return f'{self.ip_text}:{BACKEND_PORT}'

    @property
    def proxy_address(self):
        """Address for the proxy in front of the backend server, if any."""
        return f'{self.ip_text}:{PROXY_PORT}'

    @property
    def metrics_address(self):
        """Address where the agent serves its metrics and its state."""
        return f'{self.ip_text}:{METRICS_PORT}'


class Deployment:
    """Hosts and a store.

    `violations` lists every case of two backend servers with the same key
    granted at one time, as `grantledger.find_overlaps` returns them. Agents
    run from the sources, or from the one-file program at the path `binary`.
    `limits` are the numbers of `self.limits` in their settings, by name.
    """

    def __init__(self, folder, specs, proxied=(), rng=None):
        """Prepare a deployment of the hosts in `specs`, which are `HostSpec`s.

        Settings files and logs are written to `folder`. A proxy stands in
        front of the backend servers of the host IDs in `proxied`. `rng` is a
        `random.Random` that chooses the network.
        """
        self._folder = pathlib.Path(folder)
        self.binary = ''
        self.limits = {}
        self._store_servers = []
        self._backend_servers = {}
        self._tasks = []
        self._proxy_servers = []
        network, reservation = networks.reserve(rng or random.Random())
        self._network = network
        self._reservation = reservation
        self.store = stores.Store()
        self.violations = []
        self.hosts = {}
        for number, spec in enumerate(specs, start=1):
            host = self._build_host(spec, number)
            if spec.host_id in proxied:
                host.proxy = proxies.Proxy(host.server_address)
                host.backend.address = host.proxy_address
            self.hosts[spec.host_id] = host

    @property
    def store_address(self):
        """Address of the store for publishers of configuration."""
        return self._store_address_at(STORE_PORT)

    async def start(self, *paths):
        """Start the store, publish operators' files and start all hosts."""
        application = stores.application(self.store)
        ports = [STORE_PORT, *(host.store_port for host in self.hosts.values())]
        for port in ports:
            server = httpserver.HTTPServer(application)
            _listen(server, self._store_address_at(port))
            self._store_servers.append(server)
        await self.publish(*paths)
        for host in self.hosts.values():
            self.start_backend(host.host_id)
            if host.proxy is not None:
                proxy_server = await proxies.listen(
                    host.proxy, host.proxy_address
                )
                self._proxy_servers.append(proxy_server)
            await self.start_agent(host.host_id)
            announcements = announcer.Announcer(
                host.backend, host.control_address
            )
            self._tasks.append(asyncio.ensure_future(announcements.run()))

    async def publish(self, *paths):
        """Publish the operators' files in `paths`; return the result."""
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
        """Start the agent of a host.

        Its log goes to the file at `log_path`, or to `log_descriptor`.
        """
        host = self.hosts[host_id]
        path = self.settings_path(host_id)
        text = settings.render(
            host, self._store_address_at(host.store_port), self.limits
        )
        path.write_text(text, encoding='utf-8')
        with self.log_path(host_id).open('ab') as log:
            host.agent = await asyncio.create_subprocess_exec(
                *self._agent_command(path),
                env={**os.environ, bootfile.PATH_VARIABLE: str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log if log_descriptor is None else log_descriptor,
                stderr=log,
            )

    def settings_path(self, host_id):
        """Return the path of the settings file of an agent."""
        return self._folder / f'{host_id}.toml'

    def log_path(self, host_id):
        """Return the path of the log file of an agent."""
        return self._folder / f'{host_id}.log'

    def send_signal(self, host_id, signal_number):
        """Send a signal to the agent of a host if it still runs."""
        agent = self.hosts[host_id].agent
        if agent is not None and agent.returncode is None:
            agent.send_signal(signal_number)

    async def wait_for_exit(self, host_id, limit_s=STOP_TIMEOUT_S):
        """Wait until an agent has ended; return its exit code.

        Raises `NotReadyError` after `limit_s`.
        """
        agent = self.hosts[host_id].agent
        try:
            return await asyncio.wait_for(agent.wait(), limit_s)
        except TimeoutError as error:
            raise NotReadyError(
                f'agent of {host_id} still runs after {limit_s} s'
            ) from error

    async def kill_agent(self, host_id):
        """Kill the agent of a host and wait until it has ended."""
        self.send_signal(host_id, signal.SIGKILL)
        await self.wait_for_exit(host_id)

    async def stop(self):
        """Kill all agents and stop all servers of this deployment."""
        for task in self._tasks:
            task.cancel()
        for host_id, host in self.hosts.items():
            if host.agent is not None:
                self.send_signal(host_id, signal.SIGCONT)
                self.send_signal(host_id, signal.SIGKILL)
                await host.agent.wait()
        for proxy_server in self._proxy_servers:
            proxy_server.close()
        for server in (*self._store_servers, *self._backend_servers.values()):
            server.stop()
            await server.close_all_connections()
        self._reservation.close()

    async def kill_backend(self, host_id):
        """Stop a backend server at once and close all its connections."""
        host = self.hosts[host_id]
        host.backend.is_up = False
        server = self._backend_servers.pop(host_id)
        server.stop()
        await server.close_all_connections()

    def start_backend(self, host_id):
        """Restart a backend server; it begins without grants."""
        host = self.hosts[host_id]
        host.backend.begin_life()
        host.backend.is_up = True
        server = backendapi.Server(host.backend)
        self._backend_servers[host_id] = server
        _listen(server, host.server_address)

    def holders(self, key):
        """Return the IDs of hosts whose backend server now holds a key."""
        return [
            host_id
            for host_id, host in self.hosts.items()
            if host.backend.is_up
            and host.backend.ledger.holds(key, host.backend.now())
        ]

    def cut_from_store(self, host_id, *, is_cut=True):
        """Cut the agent of a host off from the store, or reconnect it."""
        add_or_discard = set.add if is_cut else set.discard
        add_or_discard(
            self.store.faults.cut_ports, self.hosts[host_id].store_port
        )

    def _store_address_at(self, port):
        return f'{self._network}.{networks.STORE_OCTET}:{port}'

    def _build_host(self, spec, number):
        ip_text = f'{self._network}.{number}'
        address = f'{ip_text}:{BACKEND_PORT}'
        backend = backends.Backend(
            spec.host_id, spec.profile, address, self._record_violations
        )
        return Host(spec.host_id, backend, ip_text, STORE_PORT + number)

    def _agent_command(self, path):
        if self.binary:
            return (self.binary, 'agent', str(path))
        return (sys.executable, '-m', 'laburnumlatch.platform')

    def _record_violations(self, backend, grant):
        """Record granted keys that are also granted to another server.

        Only servers that run and serve the same service are compared.
        """
        ledgers = {
            host_id: host.backend.ledger
            for host_id, host in self.hosts.items()
            if host.backend.is_up
            and host.backend.profile.service == backend.profile.service
        }
        self.violations.extend(
            grantledger.find_overlaps(ledgers, backend.now())
        )


def _listen(server, address):
    ip_text, port = address.split(':')
    server.add_sockets(netutil.bind_sockets(int(port), ip_text))


@contextlib.asynccontextmanager
async def running(folder, specs, *paths, proxied=(), limits=None):
    """Yield a `Deployment` that was started with `paths`; stop it afterwards.

    The arguments are those of `Deployment` and of `Deployment.start`, and the
    `limits` of its agents.
    """
    deployment = Deployment(folder, specs, proxied)
    deployment.limits = limits or {}
    try:
        await deployment.start(*paths)
        yield deployment
    finally:
        await deployment.stop()


async def wait_until(description, condition, limit_s):
    """Wait until the coroutine function `condition` returns a true value.

    Returns that value; raises `NotReadyError` with the `description` of the
    condition after `limit_s`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    while loop.time() < deadline:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(POLL_INTERVAL_S)
    raise NotReadyError(f'timed out after {limit_s} s: {description}')
