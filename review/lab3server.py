"""A backend server beside an agent, as `PROTOCOL.md` tells it."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

import lab3io

PORT = 8145
HEARTBEAT_S = 0.87
ANSWER_S = 1
CONTROL_PORT = 8144
STALE_FENCE = 409
MISDIRECTED = 421
ID_BITS = 40
TOKEN_BITS = 64
PERCENT = 100
POLL_S = 0.01
# Shorter work blocks the process, so that it takes as long as it should.
LONG_WORK_MS = 5


@dataclasses.dataclass
class Grant:
    """Keys `start` to `end` with a fencing token, held until a time in ms.

    Keys that were released keep their token with a time that is over.
    """

    start: int
    end: int
    fence: int
    until: float = 0

    def overlaps(self, other):
        """Return whether the two have a key in common."""
        return self.start <= other.end and other.start <= self.end

    def without(self, other):
        """Return the parts of this grant that are not of the other one."""
        before = dataclasses.replace(self, end=min(self.end, other.start - 1))
        behind = dataclasses.replace(self, start=max(self.start, other.end + 1))
        return [part for part in (before, behind) if part.start <= part.end]


class Keys:
    """The keys that one lifetime of a server holds or held."""

    def __init__(self):
        """Start without any."""
        self._grants = []

    def fence_of(self, asked):
        """Return the highest token seen on any of these keys, 0 for none."""
        fences = [one.fence for one in self._grants if one.overlaps(asked)]
        return max(fences, default=0)

    def put(self, grant):
        """Take a grant, or a release, in place of what was there."""
        parts = [
            one.without(grant) if one.overlaps(grant) else [one]
            for one in self._grants
        ]
        kept = itertools.chain.from_iterable(parts)
        self._grants = [*kept, grant]

    def holds(self, key):
        """Return whether a key is granted now."""
        now = lab3io.now_ms()
        return any(
            one.start <= key <= one.end and now < one.until
            for one in self._grants
        )


class Server:
    """The server of host `number`, in one of its lifetimes.

    `load_percent` is how long work takes on its machine, in percent of the
    usual time. Check-ins arrive `beats_late_s` after they were sent.
    """

    def __init__(self, lab, number, service, work_ms):
        """Prepare the server; `start` begins its first lifetime."""
        self.number = number
        self.service = service
        self.work_ms = work_ms
        self.slots = 6
        self.load_percent = PERCENT
        self.beats_late_s = 0
        self.born = 0
        self.server_id = ''
        self._lab = lab
        self._sequence = 0
        self._endpoint = None
        self._keys = Keys()
        self._running = []
        self._beats = None

    async def start(self):
        """Begin a lifetime, with its first check-in at once.

        It has the id of the one before, and holds and knows nothing.
        """
        self.born = time.time_ns() // lab3io.NS_PER_MS
        if not self.server_id:
            self.server_id = f'i-{random.getrandbits(ID_BITS):010x}'
        self._sequence = 0
        self._keys = Keys()
        self._running = []
        self._endpoint = lab3io.Endpoint(self._respond)
        await self._endpoint.start(self._lab.ip(self.number), PORT)
        self._note(f'starts, born {self.born}')
        self._beats = asyncio.ensure_future(self._check_in())

    def stop(self):
        """Send no more check-ins: the script ends."""
        if self._beats is not None:
            self._beats.cancel()

    def crash(self):
        """End the lifetime without a word."""
        self._note('crashes')
        self.stop()
        self._endpoint.abort()

    def _note(self, text):
        name = f'server {self.number}, {self.server_id},'
        self._lab.record.line(f'{name} {text}')

    async def _check_in(self):
        while True:
            self._sequence += 1
            document = {
                'service': self.service,
                'address': f'{self._lab.ip(self.number)}:{PORT}',
                'zone': self._lab.zone(self.number),
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_remaining': '0ms',
                'sequence': self._sequence,
                'born': self.born,
            }
            asyncio.ensure_future(self._send_beat(document, self.beats_late_s))
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_beat(self, document, late_s):
        """Send a check-in; it is on its way for `late_s`."""
        await asyncio.sleep(late_s)
        if late_s:
            sequence = document['sequence']
            born = document['born']
            self._note(f'check-in {sequence}, born {born}, arrives late')
        message = lab3io.encode_request(
            'POST',
            f'/rpc?call=instances.heartbeat&of={self.server_id}',
            {'Host': 'agent', 'Content-Type': 'application/json'},
            json.dumps(document).encode(),
        )
        address = (self._lab.ip(self.number), CONTROL_PORT)
        await lab3io.call(address, message, ANSWER_S)

    async def _respond(self, request):
        """Respond to a grant, a release, a status check or a request."""
        if request.path == '/grant':
            return self._grant(json.loads(request.body))
        if request.path == '/release':
            return await self._release(json.loads(request.body))
        if request.path == '/health':
            return lab3io.OK, {'X-Instance-Id': self.server_id}, b''
        return await self._answer(request)

    def _grant(self, document):
        hold_ms = float(document['hold_time'].removesuffix('ms'))
        grant = Grant(
            document['from'],
            document['to'],
            document['fence'],
            lab3io.now_ms() + hold_ms,
        )
        is_stale = grant.fence < self._keys.fence_of(grant)
        status = STALE_FENCE if is_stale else lab3io.OK
        keys = f'{grant.start}-{grant.end} with fence {grant.fence}'
        self._note(f'is granted {keys} for {hold_ms:.0f} ms: {status}')
        if not is_stale:
            self._keys.put(grant)
            self._lab.note_grant(self, grant)
        return status, {}, b''

    async def _release(self, document):
        """Stop new work on keys; answer when the work on them has ended."""
        released = Grant(document['from'], document['to'], 0)
        released.fence = self._keys.fence_of(released)
        self._note(f'releases {released.start}-{released.end}')
        self._keys.put(released)
        keys = range(released.start, released.end + 1)
        open_here = [run for run in self._running if run[0] in keys]
        while any(run in self._running for run in open_here):
            await asyncio.sleep(POLL_S)
        token = random.getrandbits(TOKEN_BITS)
        return lab3io.OK, {'X-Handover': f'{token:016x}'}, b''

    async def _answer(self, request):
        """Run a request, unless it is for another server or for other keys."""
        fields = request.headers
        request_id = fields.get('x-request-id', '')
        key = int(fields.get('x-shard-key', '-1'))
        load = f'{len(self._running)},0,{self.slots},{self.load_percent}'
        answer = {'X-Request-Id': request_id, 'X-Backend-Load': load}
        is_held = self._lab.is_undivided(self.service) or self._keys.holds(key)
        if not is_held or fields.get('x-expect-instance') != self.server_id:
            self._note(f'rejects {request_id} with 421')
            return MISDIRECTED, {**answer, 'X-Not-Executed': '1'}, b''
        self._note(f'runs {request_id}, key {key}, born {self.born}')
        self._lab.runs.setdefault(request_id, []).append(self.number)
        await self._work((key, request_id))
        answer['X-Response-Seal'] = f'{self.server_id}.{request_id}'
        return lab3io.OK, answer, f'{request_id}\n'.encode()

    async def _work(self, run):
        running = self._running
        running.append(run)
        work_ms = self.work_ms * self.load_percent / PERCENT
        try:
            if work_ms < LONG_WORK_MS:
                # Timers of the loop are late by more than this.
                time.sleep(work_ms / lab3io.MS_PER_S)
            else:
                await asyncio.sleep(work_ms / lab3io.MS_PER_S)
        finally:
            running.remove(run)
