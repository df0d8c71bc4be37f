"""System: exchange of documents between the agents of a region.

Changed documents are pushed to a few random neighbours. Each second one
random neighbour gets a short hash of all documents; only if it differs are
hashes of buckets, then versions, then documents sent. Any message may be
lost: the next exchange repeats what is still missing.
"""

from laburnumlatch.core import addresses
from laburnumlatch.core import logs
from laburnumlatch.slots import digests
from laburnumlatch.slots import docmsg
from laburnumlatch.slots import docrows
from laburnumlatch.slots import documents
from laburnumlatch.slots import rows

FANOUT = 3
EXCHANGE_MS = 1000
VIEW = 8
VIEW_MS = 5000
PROBES = 64
# A neighbour that was asked for a document has this long to send it.
WANT_MS = 500
# Larger changes are announced by version, so that a body is received once.
MAX_PUSH_BYTES = 2048
# More changes at once are a start or the end of an outage; the exchange
# with neighbours finds out which of them are news.
MAX_NOTICES = 64
MAX_VERSIONS = 512
MESSAGE_BYTES = 65536
# What one digest may cause to be sent; the next exchange goes on from there.
MAX_OFFER_BYTES = 524288
HEAD_BYTES = 32

_SPREAD_KINDS = (documents.CONFIG, documents.PLAN, documents.MEMBER)

_log = logs.logger('spread')


def run(world, now):
    """Answer neighbours, push what changed and exchange when due."""
    for summary in _valid(world, docmsg.Summary):
        if summary.top != digests.top(world.spreading.buckets):
            packed = digests.pack(world.spreading.buckets)
            own = world.settings.peer_address
            _tell(world, summary.sender, docmsg.BucketHashes(own, packed))
    for hashes in _valid(world, docmsg.BucketHashes):
        _compare(world, hashes)
    for digest in _valid(world, docmsg.Digest):
        _send_newer(world, digest)
        _ask_for_newer(world, digest, now)
    _push(world, now)
    if world.due('spread/exchange', EXCHANGE_MS, now):
        top = digests.top(world.spreading.buckets)
        for address in _some_neighbours(world, 1, now):
            own = world.settings.peer_address
            _tell(world, address, docmsg.Summary(own, top))


def _valid(world, kind):
    """Return messages of a kind; others are refused with a log line."""
    valid = []
    for message in world.inbox.take(kind):
        problem = _problem(message)
        if problem:
            _log.warning('message-refused', kind=kind.__name__, problem=problem)
        else:
            valid.append(message)
    return valid


def _problem(message):
    if not addresses.is_address(message.sender):
        return f'sender {message.sender!r} is not an address'
    if isinstance(message, docmsg.BucketHashes):
        size = len(message.packed)
        if size != digests.PACKED_BYTES:
            return f'{size} bytes of hashes from {message.sender}'
    if isinstance(message, docmsg.Digest):
        numbers = range(docrows.BUCKETS)
        if not all(number in numbers for number in message.buckets):
            return f'unknown bucket from {message.sender}'
    return ''


def _compare(world, hashes):
    """Send the versions in buckets that differ, as many as fit."""
    different = digests.differing(world.spreading.buckets, hashes.packed)
    if not different:
        return
    world.rng.shuffle(different)
    chosen = []
    versions = []
    for number, inside in _by_bucket(world, different).items():
        versions.extend((*doc.key, doc.version) for doc in inside)
        chosen.append(number)
        if len(versions) >= MAX_VERSIONS:
            break
    digest = docmsg.Digest(
        world.settings.peer_address,
        tuple(versions),
        tuple(chosen),
    )
    _tell(world, hashes.sender, digest)


def _by_bucket(world, numbers):
    """Return the documents of each bucket, in the order of `numbers`."""
    return {
        number: list(map(world.documents.get, world.spreading.keys[number]))
        for number in numbers
    }


def _send_newer(world, digest):
    """Send the sender of a digest what it lacks."""
    listed = {(kind, name): own for kind, name, own in digest.versions}
    candidates = []
    if digest.buckets:
        for inside in _by_bucket(world, digest.buckets).values():
            candidates.extend(inside)
    else:
        known = map(world.documents.get, listed)
        candidates.extend(
            document
            for document in known
            if document is not None and document.kind in _SPREAD_KINDS
        )
    newer = [
        document
        for document in candidates
        if document.version > listed.get(document.key, 0)
    ]
    _offer(world, digest.sender, newer)


def _ask_for_newer(world, digest, now):
    """Ask the sender of a digest for what this agent lacks."""
    asked = []
    for kind, name, version in digest.versions[:MAX_VERSIONS]:
        known = world.documents.get((kind, name))
        own = 0 if known is None else known.version
        if kind not in _SPREAD_KINDS or version <= own:
            continue
        if not _is_asked_for(world, (kind, name), version, now):
            world.spreading.wanted.put((kind, name), (version, now + WANT_MS))
            asked.append((kind, name, own))
    if asked:
        request = docmsg.Digest(world.settings.peer_address, tuple(asked))
        _tell(world, digest.sender, request)


def _is_asked_for(world, key, version, now):
    asked_version, due = world.spreading.wanted.get(key) or (0, 0)
    return asked_version >= version and now < due


def _push(world, now):
    changed = world.spreading.changed
    world.spreading.changed = []
    for document in changed:
        world.spreading.wanted.pop(document.key)
    if not 0 < len(changed) <= MAX_NOTICES:
        return
    for address in _some_neighbours(world, FANOUT, now):
        if sum(map(_size, changed)) <= MAX_PUSH_BYTES:
            _offer(world, address, changed)
        else:
            own = world.settings.peer_address
            versions = tuple((*doc.key, doc.version) for doc in changed)
            _tell(world, address, docmsg.Digest(own, versions))


def _offer(world, address, offered):
    """Send documents in messages of bounded size."""
    own = world.settings.peer_address
    batch = []
    size = 0
    total = 0
    for document in offered:
        size += _size(document)
        if batch and size > MESSAGE_BYTES:
            _tell(world, address, docmsg.DocumentsOffered(tuple(batch), own))
            batch = []
            total += size
            size = _size(document)
        if total > MAX_OFFER_BYTES:
            return
        batch.append(document)
    if batch:
        _tell(world, address, docmsg.DocumentsOffered(tuple(batch), own))


def _size(document):
    return len(document.body) + len(document.name) + HEAD_BYTES


def _some_neighbours(world, count, now):
    """Return peer addresses of random other hosts of the region.

    They come from a small random view in which one host is replaced at a
    time: a message over a new connection costs several times as much.
    """
    spreading = world.spreading
    is_due = world.due('spread/view', VIEW_MS, now)
    if is_due or len(spreading.neighbours) < count:
        # Probing a few hosts keeps the cost from growing with their number.
        names = world.hosts.keys()
        probed = world.rng.sample(names, min(PROBES, len(names)))
        kept = list(spreading.neighbours)
        world.rng.shuffle(kept)
        candidates = dict.fromkeys((*kept[: VIEW - 1], *probed))
        spreading.neighbours = tuple(
            name for name in candidates if _is_neighbour(world, name)
        )[:VIEW]
    view = spreading.neighbours
    chosen = world.rng.sample(view, min(count, len(view)))
    return [world.hosts.get(name).peer_address for name in chosen]


def _is_neighbour(world, name):
    host = world.hosts.get(name)
    own = world.settings
    return (
        host is not None
        and host.region == own.region
        and name != own.host_id
        and host.state != rows.HostState.LEFT
    )


def _tell(world, address, message):
    world.outbox.post(docmsg.TellPeer(address, message))
