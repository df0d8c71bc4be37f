"""A small deployment of real agents on a stand-in of the platform.

The store and the backend servers run in the test's loop; each agent is a
process with its own loopback address.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import sys
import time
import types

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

STORE_PORT = 18142
SERVICE = 'bokun'
OTHER_SERVICE = 'moti'
HOST = 'callers.example'
BEAT_S = 0.3
WORK_S = 0.03
FEED_POLL_S = 0.01
READY_S = 15
MS_PER_S = 1000
OK = 200
# No answer: the connection was refused.
REFUSED = 599

CONFIGURATION = types.MappingProxyType({
    'version': 3,
    'routes': {
        'columns': ['name', 'host', 'path_prefix', 'kind', 'service'],
        'rows': [
            ['look', HOST, '/look/', 'safe', SERVICE],
            ['book', HOST, '/book/', 'non_idempotent', SERVICE],
            ['status', HOST, '/status/', 'safe', OTHER_SERVICE],
        ],
    },
    'services': {
        'columns': ['name', 'health_path', 'max_connections', 'sharded'],
        'rows': [
            [SERVICE, '/health', 100, True],
            [OTHER_SERVICE, '/health', 100, None],
        ],
    },
    'limits': {'max_body_bytes': 300000, 'idle_timeout': '15s'},
})

SETTINGS = """
[self]
node_name = "{name}"
ip = "{ip_text}"
zone = "{domain}"
region = "north"
app_address = "{backend.address}"
service = "{backend.service}"
[network]
internal_ports = [7380,7395]
[network.listen]
outbound = "{ip_text}:8147"
ready = "{ip_text}:8141"
control = "{ip_text}:8144"
[platform.platform]
address = "127.0.0.1:{store_port}"
[terms.bounds]
grace = "6s"
drain = "2000ms"
"""


class Store:
    """The rows of the platform, with outages and lost answers."""

    def __init__(self):
        """Start with the operator's configuration."""
        self.version = 0
        self.rows = {}
        self.refuses = False
        self.loses = 0
        self.calls = collections.Counter()
        self.put('op', 'config', json.dumps(dict(CONFIGURATION)).encode())

    def put(self, table, key, body):
        """Write a row as the next version."""
        self.version += 1
        self.rows[table, key] = (self.version, body)

    def found(self, table, after=0):
        """Return the rows of a table above a version, as the wire has them."""
        return [
            {
                'table': table,
                'part': '',
                'key': key,
                'ver': version,
                'value': base64.b64encode(body).decode(),
            }
            for (name, key), (version, body) in sorted(self.rows.items())
            if name == table and version > after
        ]

    def holds(self, conditions):
        """Tell whether all rows have the versions that a call names."""
        return all(self._version_of(row) == row['ver'] for row in conditions)

    def _version_of(self, row):
        return self.rows.get((row['table'], row['key']), (0, b''))[0]


class StoreHandler(web.RequestHandler):
    """Calls to the store."""

    def initialize(self, store):
        """Use `store`."""
        self._store = store

    def prepare(self):
        """Refuse while the store is away."""
        self._store.calls[self.request.path] += 1
        if self._store.refuses:
            self.set_status(503)
            self.finish()

    async def get(self):
        """Read a table, or wait for a change."""
        table = self.get_query_argument('table')
        after = int(self.get_query_argument('after', '0'))
        wait_s = int(self.get_query_argument('wait_ms', '0')) / MS_PER_S
        end = time.monotonic() + wait_s
        found = self._store.found(table, after)
        while not found and time.monotonic() < end:
            await asyncio.sleep(FEED_POLL_S)
            found = self._store.found(table, after)
        self._answer({'rows': found, 'has_more': False})

    def post(self):
        """Write rows under conditions."""
        call = json.loads(self.request.body)
        if not self._store.holds(call['precondition']):
            self.set_status(412)
            self._answer({'rows': []})
            return
        for row in call['writes']:
            body = base64.b64decode(row['value'])
            self._store.put(row['table'], row['key'], body)
        if self._store.loses:
            self._store.loses -= 1
            self.request.connection.stream.close()
            return
        self._answer({})

    def _answer(self, document):
        self.finish({**document, 'ver': self._store.version, 'now': '1ms'})


class Backend:
    """A backend server that checks grants and counts runs."""

    def __init__(self, address, service):
        """Serve at `address`, an `ip:port`."""
        self.address = address
        self.service = service
        self.server_id = f'i-{address}'
        self.born = int(time.time() * MS_PER_S)
        self.sequence = 0
        self.state = 'ready'
        self.grants = []
        self.runs = collections.Counter()
        self.work_s = WORK_S

    def holds(self, key):
        """Tell whether `key` has been granted and the grant lasts."""
        now = time.monotonic()
        return any(
            start <= key <= end and now < until
            for start, end, _fence, until in self.grants
        )

    def give_back(self, start, end):
        """Forget what is held of a range."""
        kept = []
        for held in self.grants:
            if held[1] < start or end < held[0]:
                kept.append(held)
                continue
            if held[0] < start:
                kept.append((held[0], start - 1, *held[2:]))
            if end < held[1]:
                kept.append((end + 1, held[1], *held[2:]))
        self.grants = kept


class BackendHandler(web.RequestHandler):
    """Requests, grants and releases at a backend server."""

    def initialize(self, backend):
        """Use `backend`."""
        self._backend = backend

    async def get(self):
        """Run a request, unless its key is not held."""
        asked = self.request.headers
        key = asked.get('X-Shard-Key')
        is_misplaced = (
            self._backend.service == SERVICE
            and key is not None
            and not self._backend.holds(int(key))
        )
        if is_misplaced or (
            asked.get('X-Expect-Instance') != self._backend.server_id
        ):
            self.set_status(421)
            self.set_header('X-Not-Executed', '1')
            return
        self._backend.runs[asked['X-Request-Id']] += 1
        await asyncio.sleep(self._backend.work_s)
        self.set_header('X-Request-Id', asked['X-Request-Id'])
        self.set_header('X-Response-Seal', self._backend.server_id)
        self.write(asked['X-Caller-Service'])
        self.finish(self.request.body)

    async def post(self):
        """Take a grant or a release, or run a request."""
        if self.request.path == '/grant':
            self._grant(json.loads(self.request.body))
        elif self.request.path == '/release':
            call = json.loads(self.request.body)
            self._backend.give_back(call['from'], call['to'])
            self.set_header('X-Handover', 'token')
        else:
            await self.get()

    def _grant(self, call):
        hold_s = float(call['hold_time'].removesuffix('ms')) / MS_PER_S
        until = time.monotonic() + hold_s
        self._backend.give_back(call['from'], call['to'])
        self._backend.grants.append(
            (call['from'], call['to'], call['fence'], until),
        )


class Lab:
    """The deployment; `hosts` are services by the last part of the address."""

    def __init__(self, folder, services):
        """Keep settings files in `folder`."""
        self._folder = folder
        self._servers = []
        self._tasks = []
        self.store = Store()
        self.addresses = {}
        self.backends = {}
        self.agents = {}
        for number, service in enumerate(services, start=1):
            name = f'h{number}'
            ip_text = f'127.0.71.{number}'
            self.addresses[name] = ip_text
            self.backends[name] = Backend(f'{ip_text}:8080', service)
        self.client = httpclient.AsyncHTTPClient(force_instance=True)

    async def __aenter__(self):
        """Start all, and wait until each agent serves."""
        self._listen(
            f'127.0.0.1:{STORE_PORT}', StoreHandler, {'store': self.store}
        )
        for backend in self.backends.values():
            self._listen(backend.address, BackendHandler, {'backend': backend})
        for name in self.backends:
            await self.start_agent(name)
            self._tasks.append(asyncio.ensure_future(self._beat(name)))
        await self.wait_for(self._is_served)
        return self

    async def start_agent(self, name, log_descriptor=None):
        """Start the agent of a host; its log goes to a file if not told."""
        path = self._folder / f'{name}.toml'
        path.write_text(self._settings(name), encoding='utf-8')
        output = (self._folder / f'{name}.log').open('ab')
        self.agents[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'laburnumlatch.platform',
            env={**os.environ, 'LABURNUMLATCH_BOOT': str(path)},
            stdout=log_descriptor or output,
            stderr=output,
        )
        output.close()

    async def __aexit__(self, *_error):
        """End all processes and servers of this lab."""
        for task in self._tasks:
            task.cancel()
        for agent in self.agents.values():
            if agent.returncode is None:
                agent.kill()
            await agent.wait()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    async def call(self, name, path, key=None, **options):
        """Send a request to the agent of a host; return the response."""
        number = len(self.store.calls) + time.monotonic_ns()
        fields = {
            'Host': HOST,
            'X-Request-Id': f'{number:x}',
            'X-Deadline-Ms': '2000',
        }
        if key is not None:
            fields['X-Shard-Key'] = str(key)
        request = httpclient.HTTPRequest(
            f'http://{self.addresses[name]}:8147{path}',
            headers=fields,
            request_timeout=3,
            **options,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except OSError as error:
            return httpclient.HTTPResponse(request, REFUSED, error=error)

    def shared_grants(self):
        """Return pairs of neighbouring grants that have keys in common."""
        grants = sorted(
            (*held[:2], name)
            for name, backend in self.backends.items()
            for held in backend.grants
        )
        return [
            (one, other)
            for one, other in itertools.pairwise(grants)
            if other[0] <= one[1]
        ]

    async def is_served(self, name, key):
        """Tell whether the agent of a host gets an answer for a key."""
        response = await self.call(name, '/look/x', key)
        return response.code == OK

    async def wait_for(self, condition, timeout_s=READY_S):
        """Wait until an awaited condition holds."""
        end = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end:
                raise AssertionError(f'{condition} does not hold')
            await asyncio.sleep(0.1)

    async def _is_served(self):
        for name in self.backends:
            for key in (0, 30000, 65535):
                if not await self.is_served(name, key):
                    return False
            response = await self.call(name, '/status/x')
            if response.code != OK:
                return False
        return True

    def _listen(self, address, handler, arguments):
        ip_text, port = address.split(':')
        server = httpserver.HTTPServer(
            web.Application([('/.*', handler, arguments)], log_function=id),
        )
        server.add_sockets(netutil.bind_sockets(int(port), ip_text))
        self._servers.append(server)

    async def _beat(self, name):
        backend = self.backends[name]
        while True:
            backend.sequence += 1
            body = {
                'service': backend.service,
                'address': backend.address,
                'zone': f'd{name[-1]}',
                'version': 'v1',
                'slots': 6,
                'state': backend.state,
                'cold_remaining': '0ms',
                'sequence': backend.sequence,
                'born': backend.born,
            }
            request = httpclient.HTTPRequest(
                f'http://{self.addresses[name]}:8144/rpc'
                f'?call=instances.heartbeat&of={backend.server_id}',
                method='POST',
                body=json.dumps(body),
                request_timeout=1,
            )
            try:
                await self.client.fetch(request, raise_error=False)
            except OSError:
                # The agent is not up; the next announcement finds it.
                await asyncio.sleep(0)
            await asyncio.sleep(BEAT_S)

    def _settings(self, name):
        ip_text = self.addresses[name]
        backend = self.backends[name]
        return SETTINGS.format(
            name=name,
            ip_text=ip_text,
            domain=f'd{name[-1]}',
            backend=backend,
            store_port=STORE_PORT,
        )
