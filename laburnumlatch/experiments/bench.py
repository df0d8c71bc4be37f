"""Measures processor time, memory and bytes as functions of size."""

import sys
import time
import tracemalloc

import logbook

from laburnumlatch.core import bodymemory
from laburnumlatch.core import wire
from laburnumlatch.experiments import bodybench
from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.experiments import frontbench
from laburnumlatch.experiments import planbench
from laburnumlatch.experiments import timing
from laburnumlatch.mesh import frames
from laburnumlatch.mesh import leasemsg
from laburnumlatch.mesh import leaserows
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import peermsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes
from laburnumlatch.mesh import rows
from laburnumlatch.mesh import ticks

SIZES = (100, 1000, 10_000)
PLAN_SIZES = (30, 100, 300)
REPEAT_COUNTS = (200,)
# IPv4 and UDP headers.
UDP_IP_BYTES = 28
TICK_REPEATS = 200
REPORT_AFTER_S = 2
KEY = 30_000
# Sequence numbers and times as they are after a day of operation.
SEQUENCE = 90_000
BORN_MS = 1_764_000_000_000
ANSWER_BYTES = 256
WAIT_MS = 10
WORK_MS = 90
HOST = 'm0'


def run():
    """Return all figures in a dict by case and size; takes a minute."""
    with logbook.NullHandler().applicationbound():
        figures = {}
        for name, sizes, measure in CASES:
            for size in sizes:
                started = time.monotonic()
                figures[f'{name} {size}'] = round(measure(size), 1)
                seconds = time.monotonic() - started
                if seconds > REPORT_AFTER_S:
                    sys.stderr.write(f'{name} {size}: {seconds:.0f} s\n')
        return figures


def _idle_tick_us(size):
    """Return us of a tick without messages, with `size` more known hosts."""
    fleet, agent = _fleet_with_hosts(size)
    return timing.time_us(lambda: ticks.tick(agent, fleet.now), TICK_REPEATS)


def _request_us(size):
    """Return us of one request served locally, with `size` more known hosts."""
    fleet, agent = _fleet_with_hosts(size)
    return timing.time_us(lambda: _run_request(fleet, agent), TICK_REPEATS)


def _run_request(fleet, agent):
    number = next(fleet.request_numbers)
    agent.inbox.post(_request_arrived(number))
    ticks.tick(agent, fleet.now)
    send = agent.outbox.take(messages.Send)[0]
    answer = messages.Answer(fleetbackend.STATUS_OK, (), b'')
    agent.inbox.post(messages.ExchangeEnded(send.number, send.exchange, answer))
    ticks.tick(agent, fleet.now)
    agent.outbox.clear()


def _forward_us(size):
    """Return us at the ingress of one request that another host serves."""
    fleet, agent = _fleet_with_hosts(size)
    return timing.time_us(lambda: _run_forward(fleet, agent), TICK_REPEATS)


def _run_forward(fleet, agent):
    number = next(fleet.request_numbers)
    agent.inbox.post(
        _request_arrived(number, fleetconfig.SERVICE, '/look/', KEY)
    )
    ticks.tick(agent, fleet.now)
    forwarded = agent.outbox.take(messages.SendForward)[0]
    answer = messages.Answer(fleetbackend.STATUS_OK, (), b'')
    agent.inbox.post(
        messages.ExchangeEnded(
            forwarded.forward.number, forwarded.forward.exchange, answer, 0, 1
        )
    )
    ticks.tick(agent, fleet.now)
    agent.outbox.clear()


def _frame_bytes(count):
    """Return bytes of a forward and its response, averaged over `count`."""
    sender, receiver = _CountingProtocol(), _CountingProtocol()
    for number in range(count):
        head = _head(fleetconfig.SERVICE, '/look/', KEY)
        request = peermsg.Ask(_forward(number, head), number)
        answer = messages.Answer(
            fleetbackend.STATUS_OK, (), bytes(ANSWER_BYTES)
        )
        sender.send(request)
        receiver.send(
            peermsg.Answered(number, 1, answer, WAIT_MS, WORK_MS, WORK_MS)
        )
    return (sender.written + receiver.written) / count


class _CountingProtocol(frames.FrameProtocol):
    """Frame protocol that counts the bytes it writes."""

    def __init__(self):
        super().__init__(bodymemory.BodyMemory(0))
        self.transport = self
        self.written = 0

    def message_received(self, message):
        """Ignore received messages."""

    def is_closing(self):
        """Return False: the simulated connection stays open."""
        return False

    def write(self, packed):
        """Count the bytes instead of sending them."""
        self.written += len(packed)


def _datagram_us(count):
    """Return us to encode and decode one `Renew` and its `Lease`."""
    codec = wire.Codec(leasemsg.KINDS)
    return timing.time_us(lambda: _encode_and_decode(codec), count)


def _encode_and_decode(codec):
    for message in _lease_messages():
        codec.decode(codec.encode(message))


def _datagram_bytes(buckets):
    """Return bytes of a `Renew` with `buckets` and its `Lease`, and headers."""
    codec = wire.Codec(leasemsg.KINDS)
    encoded = map(codec.encode, _lease_messages(buckets))
    return sum(len(body) + UDP_IP_BYTES for body in encoded)


def _lease_messages(buckets=10):
    life = ranges.Life('i-7f3a91c2', BORN_MS)
    versions = (('bokun', 40_000),)
    renew = leasemsg.Renew(
        'reykjavik-bokun-1900',
        '10.1.0.38:7380',
        7,
        SEQUENCE,
        'bokun',
        life,
        6,
        False,
        True,
        versions,
        buckets=tuple((number, 2) for number in range(buckets)),
        held_fences=(SEQUENCE,),
    )
    lease = leasemsg.Lease(
        'reykjavik-bokun-1901',
        '10.1.0.39:7380',
        7,
        SEQUENCE,
        leaserows.LEASE_MS,
        True,
        versions,
    )
    return renew, lease


def _host_bytes(size):
    return _average_bytes(size, lambda number: rows.Host(_record(number), 1))


def _request_bytes(size):
    fleet, agent = _fleet_with_hosts(1)
    return _average_bytes(size, lambda _number: _open_request(fleet, agent))


def _open_request(fleet, agent):
    agent.inbox.post(_request_arrived(next(fleet.request_numbers)))
    ticks.tick(agent, fleet.now)


def _average_bytes(size, create):
    tracemalloc.start()
    instances = [create(number) for number in range(size)]
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / len(instances)


def _fleet_with_hosts(size):
    """Return a deployment, and an agent of it with `size` more known hosts."""
    fleet = fleetsim.deployment(divided=2, others=1)
    agent = fleet.agents[HOST]
    for number in range(size):
        record = _record(number)
        agent.hosts.put(record.host_id, rows.Host(record, 1))
    ticks.tick(agent, fleet.now)
    agent.outbox.clear()
    return fleet, agent


def _record(number):
    return rows.HostRecord(
        f'host-{number}',
        fleetconfig.SERVICE,
        f'd{number % 3}',
        f'10.0.0.1:{number}',
        rows.HostState.READY,
        6,
        ranges.Life(f's-{number}', 1),
    )


def _request_arrived(
    number, service=fleetconfig.OTHER_SERVICE, path='/', key=None
):
    return messages.RequestArrived(
        number, _head(service, path, key), b'', fleetconfig.LOOK_TIMEOUT_MS
    )


def _head(service, path, key):
    return messages.Head(
        method='GET',
        target=f'{path}x',
        host=f'{service}.example',
        fields=(),
        request_id='9c41d07be2a35f68',
        key=key,
        caller_service=service,
    )


def _forward(number, head):
    return messages.Forward(
        number=number,
        exchange=1,
        head=head,
        body=b'',
        service=fleetconfig.SERVICE,
        kind=routes.Kind.SAFE,
        priority=1,
        time_left_ms=fleetconfig.LOOK_TIMEOUT_MS,
        target_ms=fleetconfig.LOOK_TARGET_MS,
        route='lookup',
        plan_version=1,
    )


CASES = (
    ('idle tick us, hosts', SIZES, _idle_tick_us),
    ('request us at its own server, hosts', SIZES, _request_us),
    ('request us at the ingress, hosts', SIZES, _forward_us),
    ('search for moves us, hosts', PLAN_SIZES, planbench.moves_us),
    ('forward and answer bytes, requests before', REPEAT_COUNTS, _frame_bytes),
    ('renewal and lease coded us, repeats', REPEAT_COUNTS, _datagram_us),
    ('renewal and lease bytes, busy cells', (0, 10, 120), _datagram_bytes),
    ('encode plan us, pieces', SIZES, planbench.encode_us),
    ('decode plan us, pieces', SIZES, planbench.decode_us),
    ('plan bytes a piece, pieces', SIZES, planbench.plan_bytes),
    ('take in a change of one piece us, pieces', SIZES, planbench.change_us),
    ('bytes of a change of one piece, pieces', SIZES, planbench.change_bytes),
    ('host bytes', SIZES, _host_bytes),
    ('request bytes', (100, 300), _request_bytes),
    (
        'request us at the front end, pipelined',
        frontbench.DEPTHS,
        frontbench.request_us,
    ),
    ('copies of an upload in two agents, MB', (8, 40), bodybench.upload_copies),
    (
        'copies of a response in two agents, MB',
        (8, 40),
        bodybench.download_copies,
    ),
    ('lookup ms, 99 %, beside uploads', (0, 1, 2), bodybench.lookup_ms),
)
