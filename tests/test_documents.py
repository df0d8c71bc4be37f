"""Documents: from the store and between neighbours, under faults."""

import asyncio
import random

import attrs
import hypothesis as hyp
import logbook
import pytest
from hypothesis import stateful
from hypothesis import strategies

from laburnumlatch.core import store
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.slots import digests
from laburnumlatch.slots import docmsg
from laburnumlatch.slots import documents
from laburnumlatch.slots import peers
from laburnumlatch.slots import rows
from laburnumlatch.slots import spread
from laburnumlatch.slots import world as world_module
from tests import stores
from tests import test_configuration
from tests import worlds

NAMES = ('h1', 'h2', 'h3', 'h4')


def address(name):
    """Return the peer address of a host of NAMES."""
    return f'127.0.0.1:{NAMES.index(name) + 100}'


def create(name, incarnation=1):
    """Return the empty world of one of NAMES, without other systems' work."""
    settings = attrs.evolve(
        worlds.agent_settings(name), peer_address=address(name)
    )
    return world_module.create(
        settings, incarnation, NAMES.index(name), worlds.START
    )


def member(name, version, incarnation=1):
    """Return the member document of one of NAMES."""
    host = worlds.host(name, incarnation)
    host.peer_address = address(name)
    return rows.Document(documents.MEMBER, name, version, wire.pack(host))


def config(version, *entries, name='bokun'):
    """Return the configuration document of one service."""
    body = wire.pack(configuration.Stated(name, entries, version))
    return rows.Document(documents.CONFIG, name, version, body)


def published(groups):
    """Return the configuration documents after each of the publications."""
    memory = stores.MemoryStore()
    written = []
    for group in groups:
        test_configuration.run_publish(memory, group)
        written.append([
            rows.Document(*row.key.split('/'), row.version, row.body)
            for row in memory.rows.values()
        ])
    return written


def run(world, now, *messages):
    """Run the two systems of documents once."""
    for message in messages:
        world.inbox.post(message)
    world.begin_tick(now)
    documents.run(world, now)
    spread.run(world, now)


def scanned(*offered):
    """Return the store's answer that holds these documents."""
    return storemsg.StoreScanned(
        documents.POLL_TICKET,
        tuple(
            storemsg.StoreRow(f'{doc.kind}/{doc.name}', doc.version, doc.body)
            for doc in offered
        ),
    )


class TestDocuments:
    """A document that goes back or is half applied misroutes requests."""

    def test_dropped_service_disappears(self):
        world = create('h1')
        bokun = test_configuration.entry(name='bokun')
        moti = test_configuration.entry(name='moti')
        gone = test_configuration.withdrawal()
        first, second = published([[bokun, moti], [gone]])
        run(world, worlds.START, scanned(*first))
        assert set(world.services.keys()) == {'bokun', 'moti'}
        run(world, worlds.START, scanned(*second))
        assert world.services.keys() == ('moti',)
        run(world, worlds.START, scanned(*first))
        assert world.services.keys() == ('moti',)

    @pytest.mark.parametrize(
        'bad',
        [
            rows.Document('config', 'bokun', 2, b'junk'),
            rows.Document('config', 'head', 2, b'junk'),
            config(2, test_configuration.entry(name='moti')),
            rows.Document('config', 'other', 2, config(2).body),
            rows.Document('member', 'h2', 2, member('h3', 2).body),
            rows.Document('plan', 'bokun', 2, b'\x80'),
            rows.Document('riddle', 'x', 2, b''),
            config(2, test_configuration.entry(slot_count=0)),
            config(2, test_configuration.entry(classes={})),
        ],
    )
    def test_bad_document_is_refused_and_logged_once(self, bad):
        world = create('h1')
        offer = docmsg.DocumentsOffered((bad,), address('h2'))
        with logbook.TestHandler() as log:
            run(world, worlds.START, offer)
            run(world, worlds.START, offer)
            lines = log.formatted_records
        (line,) = [text for text in lines if 'refused' in text]
        assert bad.name in line
        assert address('h2') in line
        assert not len(world.documents)
        run(world, worlds.START, scanned(config(3)))
        assert world.documents.get(('config', 'bokun')).version == 3

    def test_member_row_keeps_own_observations(self):
        world = create('h1')
        run(world, worlds.START, scanned(member('h2', 1)))
        world.hosts.get('h2').in_flight = 3
        run(world, worlds.START, scanned(member('h2', 2, 2)))
        host = world.hosts.get('h2')
        assert (host.in_flight, host.incarnation) == (3, 2)

    def test_neighbours_news_does_not_hide_rows_of_the_store(self):
        world = create('h1')
        run(world, worlds.START)
        world.outbox.clear()
        offer = docmsg.DocumentsOffered((member('h2', 9),), address('h2'))
        run(world, worlds.START, offer)
        run(world, worlds.START, scanned(member('h3', 4)))
        run(world, worlds.START + documents.MAX_POLL_MS)
        (scan,) = world.outbox.take(storemsg.StoreScan)
        assert scan.after == 4

    def test_answers_of_other_systems_stay(self):
        world = create('h1')
        run(world, worlds.START, storemsg.StoreFailed('members/write', ''))
        assert world.inbox.take(storemsg.StoreFailed)


class TestInForce:
    """An agent that lacks a row must not show its version as in force."""

    @hyp.settings(derandomize=True, deadline=None, max_examples=60)
    @hyp.given(
        strategies.lists(
            test_configuration.ENTRIES.filter(bool), min_size=1, max_size=4
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_rows_in_any_order(self, groups, rng):
        snapshots = published(groups)
        newest = {doc.key: doc for doc in snapshots[-1]}
        arriving = [doc for snapshot in snapshots for doc in snapshot]
        rng.shuffle(arriving)
        world = create('h1')
        seen = 0
        for document in arriving:
            run(world, worlds.START, scanned(document))
            assert world.configured.in_force >= seen
            seen = world.configured.in_force
            self._check_rows(world, snapshots, seen)
        assert {doc.key: doc for doc in world.documents} == newest
        assert seen == world.configured.head.count
        merged = test_configuration.merge.merge(*groups)
        services = test_configuration.merge.services(merged)
        assert {row.name: row for row in world.services} == {
            row.name: row for row in services
        }

    def test_head_alone_is_not_in_force(self):
        world = create('h1')
        (documents_of_one,) = published([[test_configuration.entry()]])
        head = [doc for doc in documents_of_one if doc.name == 'head']
        run(world, worlds.START, scanned(*head))
        assert world.configured.head.count == 1
        assert not world.configured.in_force

    def _check_rows(self, world, snapshots, in_force):
        """Check that the agent has each row up to the version in force."""
        for snapshot in snapshots:
            head = next(doc for doc in snapshot if doc.name == 'head')
            if wire.unpack(head.body, configuration.Head).count > in_force:
                continue
            for document in snapshot:
                known = world.documents.get(document.key)
                assert known.version >= document.version


class TestReads:
    """Too many reads exhaust the store; too few delay what is accepted."""

    @pytest.mark.parametrize(
        ('hosts', 'interval'), [(1, 500), (100, 2000), (1900, 5000)]
    )
    def test_interval_follows_the_number_of_hosts(self, hosts, interval):
        assert documents.read_interval_ms(hosts) == interval

    def test_outage_slows_reads_down_and_the_end_speeds_them_up(self):
        world = create('h1')
        now = worlds.START
        run(world, now, storemsg.StoreFailed(documents.POLL_TICKET, 'down'))
        for _ in range(9):
            now = world.store_reader.next_read
            failed = storemsg.StoreFailed(documents.POLL_TICKET, 'down')
            run(world, now, failed)
        wait = world.store_reader.next_read - now
        assert wait == documents.MAX_POLL_MS
        run(world, now, scanned())
        assert world.store_reader.next_read - now <= 600

    def test_region_of_many_hosts_reads_about_fifty_times_a_second(self):
        world = create('h1')
        for number in range(1900):
            name = f'n{number}'
            world.hosts.put(name, worlds.host(name))
        run(world, worlds.START, scanned(member('h1', 1)))
        now = worlds.START
        reads = 0
        while now < worlds.START + 1_000_000:
            now = world.store_reader.next_read
            run(world, now)
            for _ in world.outbox.take(storemsg.StoreScan):
                reads += 1
                run(world, now, scanned())
        assert 40 < reads / 1000 * 1900 < 65


class TestSpread:
    """A neighbour's answer must stay small and can be wrong."""

    def test_equal_documents_cost_one_message(self):
        world = create('h1')
        run(world, worlds.START, scanned(member('h2', 1)))
        top = digests.top(world.spreading.buckets)
        world.outbox.clear()
        run(world, worlds.START, docmsg.Summary(address('h2'), top))
        assert not world.outbox.take(docmsg.TellPeer)

    def test_document_is_asked_for_once_until_its_answer_is_late(self):
        world = create('h1')
        notice = docmsg.Digest(address('h2'), (('plan', 'p', 3),))
        now = worlds.START
        run(world, now, notice, notice)
        assert len(world.outbox.take(docmsg.TellPeer)) == 1
        run(world, now + spread.WANT_MS, notice)
        assert len(world.outbox.take(docmsg.TellPeer)) == 1

    def test_large_answer_is_split(self):
        world = create('h1')
        many = tuple(
            rows.Document('plan', f'p{number}', 1, b'x' * 30000)
            for number in range(5)
        )
        spread._offer(world, address('h2'), many)
        told = world.outbox.take(docmsg.TellPeer)
        sizes = [len(peers.MESSAGES.encode(tell.message)) for tell in told]
        assert len(sizes) == 3
        assert max(sizes) <= spread.MESSAGE_BYTES

    @pytest.mark.parametrize(
        'wrong',
        [
            docmsg.Summary('nowhere', ''),
            docmsg.BucketHashes(address('h2'), b'short'),
            docmsg.Digest(address('h2'), (), (-1,)),
        ],
    )
    def test_wrong_message_is_refused_with_a_line(self, wrong):
        world = create('h1')
        with logbook.TestHandler() as log:
            run(world, worlds.START, wrong)
        assert any('refused' in text for text in log.formatted_records)
        assert not world.outbox.take(docmsg.TellPeer)


@hyp.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=40
)
class Faults(stateful.RuleBasedStateMachine):
    """Four agents, a store, and messages that get lost or come late.

    The oracle: an agent's version of a document never goes down while the
    agent runs, and once the faults end all agents have the newest.
    """

    def __init__(self):
        super().__init__()
        self.now = worlds.START
        self.store = stores.MemoryStore()
        self.worlds = {name: create(name) for name in NAMES}
        self.seen = {name: {} for name in NAMES}
        self.flying = []
        self.cut_off = set()
        for name in NAMES:
            self.write(member(name, 0))
        self.settle()

    def write(self, document):
        """Write a document to the store over whatever is there."""
        key = f'{document.kind}/{document.name}'
        known = self.store.rows.get(key)
        version = 0 if known is None else known.version
        self.store.write([store.Write(key, document.body, version)])

    @stateful.rule(revision=strategies.integers(1, 9))
    def publish(self, revision):
        entry = test_configuration.entry(revision=revision)
        asyncio.run(test_configuration.patient_publish(self.store, [entry]))

    @stateful.rule(
        name=strategies.sampled_from(NAMES), number=strategies.integers(2, 9)
    )
    def restart(self, name, number):
        self.worlds[name] = create(name, number)
        self.seen[name] = {}

    @stateful.rule(names=strategies.sets(strategies.sampled_from(NAMES)))
    def store_is_away_for(self, names):
        self.cut_off = names

    @stateful.rule(duration=strategies.integers(1, 3000))
    def run_all(self, duration):
        self.now += duration
        for name in NAMES:
            self.step(name)

    @stateful.rule(seed=strategies.integers(0, 999))
    def shuffle_lose_and_repeat(self, seed):
        rng = random.Random(seed)
        again = [rng.choice(self.flying) for _ in self.flying[:3]]
        rng.shuffle(self.flying)
        self.flying = self.flying[: rng.randrange(len(self.flying) + 1)]
        self.flying.extend(again)

    @stateful.rule(number=strategies.integers(0, 10))
    def deliver(self, number):
        for _ in self.flying[:number]:
            to_name, message = self.flying.pop(0)
            self.step(to_name, message)

    @stateful.invariant()
    def no_version_goes_down(self):
        for name, world in self.worlds.items():
            versions = {doc.key: doc.version for doc in world.documents}
            for key, version in self.seen[name].items():
                assert versions[key] >= version
            self.seen[name] = versions

    def teardown(self):
        # The last two learn everything from neighbours, one from nothing.
        self.settle()
        self.cut_off = {'h3', 'h4'}
        self.restart('h4', 10)
        self.settle()
        newest = {row.key: row.version for row in self.store.rows.values()}
        for world in self.worlds.values():
            versions = {
                '/'.join(doc.key): doc.version for doc in world.documents
            }
            assert versions == newest
            assert digests.top(world.spreading.buckets) == self.top()

    def top(self):
        """Return the hash of the first agent's documents."""
        return digests.top(self.worlds[NAMES[0]].spreading.buckets)

    def settle(self):
        """Let 40 s pass in which no message is lost."""
        for _ in range(40):
            self.now += 1000
            for name in NAMES:
                self.step(name)
            while self.flying:
                to_name, message = self.flying.pop(0)
                self.step(to_name, message)

    def step(self, name, *messages):
        """Run one agent and carry out what it asks for."""
        world = self.worlds[name]
        run(world, self.now, *messages)
        for tell in world.outbox.take(docmsg.TellPeer):
            body = peers.MESSAGES.encode(tell.message)
            to_name = NAMES[int(tell.address.split(':')[1]) - 100]
            self.flying.append((to_name, peers.MESSAGES.decode(body)))
        for scan in world.outbox.take(storemsg.StoreScan):
            answer = storemsg.StoreFailed(scan.ticket, 'away')
            if name not in self.cut_off:
                found = tuple(self.store.newer_than(scan.after))
                answer = storemsg.StoreScanned(scan.ticket, found)
            run(world, self.now, answer)


class TestFaults(Faults.TestCase):
    """Lost, repeated, reordered messages, restarts and outages."""


class TestPeers:
    """A bad message must not end the front end, nor lose a good one."""

    def test_messages_over_loopback(self):
        asyncio.run(self._exchange(worlds.free_port()))

    async def _exchange(self, port):
        arrived = asyncio.Queue()
        receiver = peers.Peers(arrived.put_nowait, f'127.0.0.1:{port}')
        sender = peers.Peers(arrived.put_nowait, '')
        good = docmsg.DocumentsOffered(
            (rows.Document('plan', 'p', 1, b'x' * 60000),), address('h1')
        )
        to_port = f'127.0.0.1:{port}'
        with logbook.TestHandler() as log:
            await receiver.start()
            sender.carry_out(docmsg.TellPeer('nowhere', good))
            sender.carry_out(docmsg.TellPeer(to_port, good))
            for junk in (b'', b'junk', b'\x93\x01\x09\x90'):
                sender._sender(to_port).send(junk)
            for _ in range(5):
                sender.carry_out(docmsg.TellPeer(to_port, good))
            async with asyncio.timeout(5):
                received = [await arrived.get() for _ in range(6)]
            lines = ''.join(log.formatted_records)
        assert set(received) == {good}
        assert lines.count('refused') == 3
        await receiver.stop()
        await sender.stop()
