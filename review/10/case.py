"""The store gives one machine no response for a moment as a route moves."""

import asyncio
import pathlib
import sys
import types

from review import loopback
from standins.platform import store as stores

MACHINES = (
    ('sidecar-grandi-1', 'bokun', 'grandi'),
    ('sidecar-breidholt-1', 'bokun', 'breidholt'),
    ('sidecar-hafnarfj-1', 'bokun', 'hafnarfj'),
    ('sidecar-grandi-2', 'moti', 'grandi'),
    ('sidecar-breidholt-2', 'moti', 'breidholt'),
)
STAY = (
    ('booking', '/pufi791/', 'non_idempotent', 'bokun'),
    ('photo', '/pule252/', 'upload', 'moti'),
)
MOVED_FROM = ('lookup', '/lohu930/', 'safe', 'bokun')
MOVED_TO = ('lookup', '/lohu930/', 'safe', 'moti')
DROPPED = ('old', '/olda118/', 'non_idempotent', 'bokun')
ADDED = ('new', '/newa119/', 'non_idempotent', 'bokun')
SILENT_S = 1.2
# From the confirmation on: `contact`, `config_apply` and `max_stretch`.
BOUND_S = 10.0
ASKED_S = 12.0
KEY = 4096
STATUS_NOT_FOUND = 404


class Silence:
    """Calls of one machine get no response while this is on."""

    def __init__(self):
        """Begin with responses for all."""
        self.port = None
        self.last_writer = None
        self.lost = []

    def loses(self, handler):
        """Return whether the response to a call is lost."""
        port = handler.request.connection.stream.socket.getsockname()[1]
        if handler.request.path == '/rows-tx':
            self.last_writer = port
        if port != self.port:
            return False
        self.lost.append(handler.request.uri)
        return True


SILENCE = Silence()


class SilentMixin:
    """Leaves a call without a response, and its connection open."""

    def respond(self, **fields):
        """Respond, unless the response is lost."""
        if SILENCE.loses(self):
            self._auto_finish = False
        else:
            super().respond(**fields)


class ReadHandler(SilentMixin, stores.ReadHandler):
    """`GET /rows-get`."""


class FeedHandler(SilentMixin, stores.FeedHandler):
    """`GET /rows-feed`."""


class TransactionHandler(SilentMixin, stores.TransactionHandler):
    """`POST /rows-tx`."""


HANDLERS = types.MappingProxyType({
    '/rows-get': ReadHandler,
    '/rows-feed': FeedHandler,
    '/rows-tx': TransactionHandler,
})


async def play(platform):
    """Move a route while one machine gets no responses of the store."""
    record = platform.record
    await platform.start([*STAY, MOVED_FROM, DROPPED])
    await asyncio.sleep(3)
    platform.configure(4, [*STAY, MOVED_FROM, DROPPED])
    await asyncio.sleep(2)
    if loopback.is_in_trouble():
        SILENCE.port = SILENCE.last_writer
        record.add('store: no response to port', SILENCE.port)
    await asyncio.sleep(SILENT_S / 2)
    platform.configure(6, [*STAY, MOVED_TO, ADDED])
    confirmed_at = record.age_s
    await asyncio.sleep(SILENT_S / 2)
    SILENCE.port = None
    record.add('store: responds to all; lost:', *SILENCE.lost)
    await asyncio.sleep(confirmed_at + BOUND_S - record.age_s)
    return await ask_all(platform, confirmed_at)


async def ask_all(platform, confirmed_at):
    """Send requests at all machines; return those handled by old versions."""
    record = platform.record
    breaches = []
    number = 0
    while record.age_s < confirmed_at + BOUND_S + ASKED_S:
        for machine in platform.machines.values():
            number += 1
            for what, breach in (
                ('moved', await ask_moved(machine, f'a{number:015x}')),
                ('added', await ask_added(machine, f'b{number:015x}')),
                ('dropped', await ask_dropped(machine, f'c{number:015x}')),
            ):
                late_s = record.age_s - confirmed_at
                record.add(machine.name, what, breach or 'as configured')
                if breach:
                    breaches.append(
                        f'{late_s:.1f} s after the confirmation, at '
                        f'{machine.name}: {breach}'
                    )
        await asyncio.sleep(1)
    return breaches


async def ask_moved(machine, request_id):
    """Ask on the route that has moved to another service."""
    answer = await loopback.request(machine, '/lohu930/2f', request_id, KEY)
    is_old = answer.status == loopback.STATUS_OK and answer.body.startswith(
        OLD_OWNERS
    )
    return f'{request_id} was run by the old service' if is_old else ''


async def ask_added(machine, request_id):
    """Ask on the route that was added."""
    answer = await loopback.request(
        machine, '/newa119/2f', request_id, KEY, is_post=True
    )
    is_old = answer.status == STATUS_NOT_FOUND
    return f'{request_id} was refused with 404, the route is there' * is_old


async def ask_dropped(machine, request_id):
    """Ask on the route that was dropped."""
    answer = await loopback.request(
        machine, '/olda118/2f', request_id, KEY, is_post=True
    )
    is_old = answer.status == loopback.STATUS_OK
    return f'{request_id} was run on a dropped route' * is_old


# The stand-in's body begins with the name of the machine that ran the request.
OLD_OWNERS = tuple(
    name.encode() for name, service, _zone in MACHINES if service == 'bokun'
)


if __name__ == '__main__':
    sys.exit(
        loopback.run(pathlib.Path(__file__).parent, MACHINES, play, HANDLERS)
    )
