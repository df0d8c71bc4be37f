"""System: versioned documents from the store and from other agents.

A document only ever moves to a higher version. Its version is the one that
the store gave to the row.
"""

import types

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import hashing
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import tables
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.slots import digests
from laburnumlatch.slots import docmsg
from laburnumlatch.slots import planrows
from laburnumlatch.slots import rows

CONFIG = configuration.DOCUMENT_KIND
PLAN = 'plan'
MEMBER = 'member'
POLL_MS = 500
MAX_POLL_MS = 5000
MS_PER_S = 1000
# The store serves about 2000 reads a second to all regions together.
READS_PER_S = 50
# Above this many hosts in the region, each reads only by chance when due.
MAX_READERS = READS_PER_S * MAX_POLL_MS // MS_PER_S
# The front end gives up on the store after 2 s; this covers lost answers.
ANSWER_MS = 10_000
MAX_DOUBLINGS = 8
JITTER_LOW = 0.8
JITTER_HIGH = 1.2
# A faulty neighbour can make up any number of names.
MAX_REFUSED = 1000
POLL_TICKET = 'documents/poll'

_log = logs.logger('documents')


def run(world, now):
    """Read the store when due and take in newer documents."""
    for scanned in world.inbox.take_answers(storemsg.StoreScanned, POLL_TICKET):
        _take_in(world, scanned, now)
    for failed in world.inbox.take_answers(storemsg.StoreFailed, POLL_TICKET):
        _back_off(world, failed, now)
    for offer in world.inbox.take(docmsg.DocumentsOffered):
        for document in offer.documents:
            if document.kind in _APPLY:
                accept(world, document, offer.source)
            else:
                _refuse(world, document, offer.source, 'unknown kind')
    reader = world.store_reader
    if reader.next_read is None or now >= reader.next_read:
        _read(world, now)
    world.wake_at(reader.next_read)


def accept(world, document, source):
    """Take in one document if it is newer; return whether it was.

    Kinds that only other systems know are kept but not spread.
    """
    known = world.documents.get(document.key)
    if known is not None and known.version >= document.version:
        return False
    apply = _APPLY.get(document.kind)
    if apply is None:
        world.documents.put(document.key, document)
        return True
    try:
        apply(world, document)
    except errors.WireError as error:
        _refuse(world, document, source, error)
        return False
    world.documents.put(document.key, document)
    digests.replace(world.spreading, known, document)
    world.spreading.changed.append(document)
    _log.info(
        'document-accepted',
        kind=document.kind,
        name=document.name,
        version=document.version,
        source=source,
    )
    return True


def read_interval_ms(hosts):
    """Return the interval of reads in a region with so many hosts."""
    interval = hosts * MS_PER_S // READS_PER_S
    return min(MAX_POLL_MS, max(POLL_MS, interval))


def _take_in(world, scanned, now):
    reader = world.store_reader
    reader.failures = 0
    for row in scanned.rows:
        kind, _, name = row.key.partition('/')
        document = rows.Document(kind, name, row.version, row.body)
        accept(world, document, 'store')
        reader.cursor = max(reader.cursor, row.version)
    _plan_next_read(world, now)


def _back_off(world, failed, now):
    reader = world.store_reader
    reader.failures = min(reader.failures + 1, MAX_DOUBLINGS)
    _plan_next_read(world, now)


def _plan_next_read(world, now):
    reader = world.store_reader
    interval = read_interval_ms(_hosts_of_region(world))
    delay = interval * 2**reader.failures
    jittered = delay * world.rng.uniform(JITTER_LOW, JITTER_HIGH)
    reader.next_read = now + int(min(MAX_POLL_MS, max(POLL_MS, jittered)))


def _read(world, now):
    readers = MAX_READERS / max(MAX_READERS, _hosts_of_region(world))
    if len(world.documents) and world.rng.random() >= readers:
        _plan_next_read(world, now)
        return
    world.store_reader.next_read = now + ANSWER_MS
    cursor = world.store_reader.cursor
    world.outbox.post(storemsg.StoreScan(POLL_TICKET, '', cursor))


def _hosts_of_region(world):
    own = world.settings.region
    return sum(host.region == own for host in world.hosts)


def _refuse(world, document, source, problem):
    """Log a document that cannot be used, once for the same content."""
    content = (document.version, hashing.digest(document.body))
    if world.spreading.refused.get(document.key) == content:
        return
    if len(world.spreading.refused) >= MAX_REFUSED:
        world.spreading.refused = tables.Table()
    world.spreading.refused.put(document.key, content)
    _log.error(
        'document-refused',
        kind=document.kind,
        name=document.name,
        version=document.version,
        source=source,
        problem=problem,
    )


def _apply_configuration(world, document):
    """Take in the head or the row of one service; rows come in any order."""
    configured = world.configured
    if document.name == configuration.HEAD_NAME:
        configured.head = wire.unpack(document.body, configuration.Head)
    else:
        _apply_stated(world, document)
    head = configured.head
    own = (configured.marks, len(configured.counts))
    if own == (head.marks, head.services):
        configured.in_force = head.count


def _apply_stated(world, document):
    stated = wire.unpack(document.body, configuration.Stated)
    name = stated.name
    _check_name(document, name)
    if any(entry.name != name for entry in stated.entries):
        raise errors.WireError(f'not all entries are about {name!r}')
    services = merge.services(stated.entries)
    for service in services:
        _check_service(service)
        world.services.put(name, service)
    if not services and world.services.pop(name) is not None:
        _log.info('service-withdrawn', service=name)
    configured = world.configured
    known = configured.counts.get(name) or 0
    configured.marks ^= configuration.mark(stated)
    configured.marks ^= configuration.mark(attrs.evolve(stated, count=known))
    configured.counts.put(name, stated.count)


def _apply_plan(world, document):
    plan = wire.unpack(document.body, planrows.Plan)
    _check_name(document, plan.service)
    world.plans.put(plan.service, plan)


def _apply_member(world, document):
    host = wire.unpack(document.body, rows.Host)
    _check_name(document, host.host_id)
    known = world.hosts.get(host.host_id)
    if known is not None:
        # These are this agent's own observations, not the host's.
        host = attrs.evolve(
            host,
            in_flight=known.in_flight,
            latency_ms=known.latency_ms,
            slowness=known.slowness,
            reported_load=known.reported_load,
            backoff_until=known.backoff_until,
        )
    world.hosts.put(host.host_id, host)


def _check_name(document, expected):
    if document.name != expected:
        raise errors.WireError(f'it is about {expected!r}')


def _check_service(service):
    if service.slot_count < 1:
        raise errors.WireError(f'service {service.name} has no slots')
    for operation in service.operations.values():
        if operation.class_name not in service.classes:
            raise errors.WireError(
                f'service {service.name}, operation {operation.name}: '
                f'no class {operation.class_name!r}',
            )


_APPLY = types.MappingProxyType({
    CONFIG: _apply_configuration,
    PLAN: _apply_plan,
    MEMBER: _apply_member,
})
