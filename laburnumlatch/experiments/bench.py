"""Slopes of cost: processor time and memory by size."""

import itertools
import sys
import time
import tracemalloc

import logbook

from laburnumlatch.core import wire
from laburnumlatch.slots import digests
from laburnumlatch.slots import documents
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import planning
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans
from laburnumlatch.slots import requestmsg
from laburnumlatch.slots import rows
from laburnumlatch.slots import settings
from laburnumlatch.slots import ticks
from laburnumlatch.slots import world as world_module

SIZES = (100, 1000, 10_000)
# Choosing witnesses compares each host with every other: 1,000 hosts took 16 s.
PLAN_SIZES = (30, 100, 300)
REGION_SIZES = (30, 100, 300)
FULL_SIZES = (0, 1000, 10_000, 50_000)
NUMBERS = (100, 60_000, 2_000_000_000)
# IPv4 and UDP headers.
UDP_IP_BYTES = 28
TICKS = 200
US_PER_S = 1_000_000
OWN = 'host-0'
SLOTS = 64
CONNECTIONS = 130


def run():
    """Return measured figures, a dict by name and size; takes a minute."""
    with logbook.NullHandler().applicationbound():
        found = {}
        for name, sizes, measure in _CASES:
            for size in sizes:
                started = time.monotonic()
                found[f'{name} {size}'] = round(measure(size), 1)
                seconds = time.monotonic() - started
                if seconds > 2:
                    sys.stderr.write(f'{name} {size}: {seconds:.0f} s\n')
        return found


def _tick_us(size):
    """Return us of an idle tick with `size` rows of hosts and requests."""
    world = _world(size, SLOTS)
    for number in range(size):
        _post(world, number + 1)
    ticks.tick(world, 0)
    return _time_us(lambda: ticks.tick(world, 1), TICKS)


def _request_us(size):
    """Return us of one whole request at its owner, `size` hosts known."""
    world = _world(size, SLOTS)
    numbers = itertools.count(1)
    return _time_us(lambda: _whole_request(world, next(numbers)), TICKS)


def _whole_request(world, number):
    _post(world, number)
    ticks.tick(world, 1)
    answered = requestmsg.Outcome.ANSWERED
    world.inbox.post(requestmsg.AnswerBegan(number, 1, answered))
    world.inbox.post(requestmsg.AnswerEnded(number, 1))
    ticks.tick(world, 2)
    world.outbox.clear()


def _plan_us(size):
    """Return us of the first plan for `size` hosts and 64 slots."""
    made = [_host(number) for number in range(size)]
    return _time_us(lambda: plans.initial(_service(SLOTS), made), 1)


def _region_plan_us(size):
    """Return us of the first plan of `size` slots for as many hosts."""
    made = [_host(number) for number in range(size)]
    return _time_us(lambda: plans.initial(_service(size), made), 1)


def _improve_us(size):
    """Return us in which the planner reviews such a plan."""
    made = [_host(number) for number in range(size)]
    plan = plans.initial(_service(size), made)
    service = _service(size)
    return _time_us(lambda: planning.improved(plan, service, made, made), 1)


def _full_tick_us(size):
    """Return us of an idle tick with `size` documents, hosts and records."""
    world = _world(size, SLOTS)
    for number in range(size):
        document = _member(number)
        world.documents.put(document.key, document)
        digests.replace(world.spreading, None, document)
    ticks.tick(world, 0)
    return _time_us(lambda: ticks.tick(world, 1), TICKS)


def _accept_us(size):
    """Return us to take in one of `size` member documents."""
    world = _world(1, SLOTS)
    taken = [_member(number) for number in range(size)]
    return _time_us(lambda: _accept_all(world, taken), 1) / size


def _accept_all(world, taken):
    for document in taken:
        documents.accept(world, document, 'bench')


def _exchange_us(size):
    """Return us to compare `size` documents with a neighbour's, all equal."""
    world = _world(1, SLOTS)
    _accept_all(world, [_member(number) for number in range(size)])
    buckets = world.spreading.buckets
    return _time_us(lambda: digests.top(buckets), TICKS)


def _datagram_us(size):
    """Return us to encode and decode one `Renew` and its `Promise`."""
    codec = wire.Codec(leasemsg.KINDS)
    return _time_us(lambda: _code(codec, _lease_messages()), size)


def _code(codec, messages):
    for message in messages:
        codec.decode(codec.encode(message))


def _datagram_bytes(size):
    """Return bytes of a `Renew` and its `Promise` with UDP/IP headers."""
    codec = wire.Codec(leasemsg.KINDS)
    encoded = map(codec.encode, _lease_messages(size))
    return sum(len(body) + UDP_IP_BYTES for body in encoded)


def _lease_messages(sequence=1):
    holder = planrows.Incarnation('reykjavik-bokun-1900', sequence)
    witness = planrows.Incarnation('reykjavik-bokun-1901', sequence)
    return (
        leasemsg.Renew('bokun', holder, sequence, sequence, sequence),
        leasemsg.Promise(sequence, witness, sequence, sequence),
    )


def _member(number):
    host = _host(number)
    return rows.Document(documents.MEMBER, host.host_id, 1, wire.pack(host))


def _encode_us(size):
    """Return us to encode a plan of `size` slots."""
    plan = _plan(size)
    return _time_us(lambda: wire.pack(plan), 3)


def _decode_us(size):
    """Return us to decode a plan of `size` slots."""
    body = wire.pack(_plan(size))
    return _time_us(lambda: wire.unpack(body, planrows.Plan), 3)


def _host_bytes(size):
    return _bytes_each(size, _host)


def _slot_bytes(size):
    return _bytes_each(size, lambda number: _plan(1).slots)


def _request_bytes(size):
    world = _world(1, SLOTS)
    return _bytes_each(size, lambda number: _accept(world, number))


def _accept(world, number):
    _post(world, number + 1)
    ticks.tick(world, 0)


def _bytes_each(size, make):
    tracemalloc.start()
    kept = [make(number) for number in range(size)]
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / len(kept)


def _time_us(action, times):
    started = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started) * US_PER_S / times


def _world(host_count, slot_count):
    nowhere = '127.0.0.1:1'
    own = settings.Settings(
        OWN, 'region', 'domain', nowhere, nowhere, nowhere, nowhere
    )
    world = world_module.create(own, 1, 1, 0)
    service = _service(slot_count)
    world.services.put(service.name, service)
    world.plans.put(service.name, _plan(slot_count))
    for number in range(host_count):
        made = _host(number)
        world.hosts.put(made.host_id, made)
    server = rows.Server(OWN, service.name, nowhere, 6, CONNECTIONS)
    server.state = rows.HostState.READY
    server.ready_since = -US_PER_S
    world.servers.put(OWN, server)
    return world


def _service(slot_count):
    return rows.Service(
        'bokun',
        'team',
        True,
        slot_count,
        True,
        rows.Prefer.AVAILABILITY,
        {'crew': rows.RequestClass('crew', 0, 10**6)},
        {'rack': rows.Operation('rack', 'crew', True, 10**6)},
        6,
        CONNECTIONS,
        0,
    )


def _host(number):
    name = f'host-{number}'
    address = f'10.0.0.1:{number}'
    return rows.Host(
        name, 1, 'bokun', 'region', 'domain', address, address, address
    )


def _plan(slot_count):
    chain = tuple(planrows.Incarnation(f'host-{turn}', 1) for turn in (0, 1, 2))
    slots = tuple(
        planrows.SlotPlan(chain[0], chain[1:], 1, 1) for _ in range(slot_count)
    )
    return planrows.Plan('bokun', 1, slots)


def _post(world, number):
    world.inbox.post(
        requestmsg.RequestArrived(
            number, f'r{number}', 'bokun', 'rack', f'key-{number}', 1
        )
    )


_CASES = (
    ('tick us, hosts and requests', SIZES, _tick_us),
    ('request us, hosts', SIZES, _request_us),
    ('first plan us, hosts', PLAN_SIZES, _plan_us),
    ('first plan us, as many slots as hosts', REGION_SIZES, _region_plan_us),
    ('review of a plan us, slots and hosts', REGION_SIZES, _improve_us),
    ('idle tick us, hosts and documents', FULL_SIZES, _full_tick_us),
    ('accept a member us, documents', SIZES, _accept_us),
    ('hash of all documents us, documents', SIZES, _exchange_us),
    ('renewal coded us, repeats', SIZES, _datagram_us),
    ('renewal and promise bytes, highest number', NUMBERS, _datagram_bytes),
    ('encode plan us, slots', SIZES, _encode_us),
    ('decode plan us, slots', SIZES, _decode_us),
    ('host bytes', SIZES, _host_bytes),
    ('slot bytes', SIZES, _slot_bytes),
    ('request bytes', (100, 300, 1000), _request_bytes),
)
