"""Operators' files, their merge, and racing publishers."""

import asyncio
import functools
import itertools
import json
import pathlib
import random

import attrs
import hypothesis as hyp
import pytest
from hypothesis import strategies

from laburnumlatch import cmdline
from laburnumlatch.core import errors
from laburnumlatch.core import hashing
from laburnumlatch.core import store
from laburnumlatch.core import wire
from laburnumlatch.mesh import routes
from laburnumlatch.operators import assembly
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.operators import operatorfile
from laburnumlatch.operators import publish
from laburnumlatch.platform import configform
from tests import stores

STEADY = hyp.settings(derandomize=True, deadline=None, max_examples=60)
FORM = configform.PlatformForm()
NOBODY = '127.0.0.1:9'
BAD = """\
team: a/b
service: ..
service: x
revision: 0
connections: no
routes:
  look: {host: "a b", prefix: look, kind: maybe, timeout_ms: true}
  same: {host: a, prefix: /b/, split: {"c d": 1, e: 0}}
  twin: {host: a, prefix: /b/, split: []}
foo: !!int abc
limits: []
"""


def route(name='look', prefix='/look/', **changes):
    """Return a route of `bokun.example`."""
    fields = {
        'host': 'bokun.example',
        'kind': routes.Kind.SAFE,
        'shares': (routes.Share('bokun', 1),),
    }
    return routes.Route(name, prefix=prefix, **{**fields, **changes})


def intent(name, connections=9, stated=None, **changes):
    """Return what a file states."""
    service = routes.Service(name, '/health', connections, **changes)
    own = route(host=f'{name}.example', shares=(routes.Share(name, 1),))
    return configuration.Intent(service, routes.Limits(), stated or (own,))


def entry(team='bookings', revision=1, name='bokun', file='a', **changes):
    """Return an entry as `operatorfile.parse` does."""
    stated = intent(name, **changes)
    digest = hashing.digest(wire.pack(stated))
    return configuration.Entry(team, name, revision, digest, file, stated)


def withdrawal(team='bookings', revision=2, name='bokun'):
    """Return the entry of a team that gives up a service."""
    return configuration.Entry(team, name, revision, '', 'w')


def accepted(memory):
    """Return all entries in a store."""
    return merge.merge(
        *(
            wire.unpack(row.body, configuration.ServiceEntries).entries
            for key, row in memory.rows.items()
            if key not in {configuration.HEAD_KEY, FORM.key}
        )
    )


def in_force(memory):
    """Return the configuration that agents read."""
    return FORM.decode(memory.rows[FORM.key].body)


async def no_pause(_seconds):
    """Wait one turn of the loop instead of the backoff."""
    await asyncio.sleep(0)


def run_publish(memory, entries):
    """Publish and return the result."""
    return asyncio.run(patient_publish(memory, entries))


class TestFindings:
    """An operator who sees one finding at a time needs many attempts."""

    def test_all_findings_with_place(self, snapshot):
        with pytest.raises(errors.FindingsError) as caught:
            operatorfile.parse(BAD, 'bad.yaml')
        assert str(caught.value) == snapshot

    @pytest.mark.parametrize(
        'text',
        ['', 'a: [', 'a: &x [*x]', '[' * 5000, 'a: \0', '? [a]\n: 1', '- 1'],
    )
    def test_any_text_gives_findings(self, text):
        with pytest.raises(errors.FindingsError):
            operatorfile.parse(text, 'bad.yaml')

    def test_check_reports_all_files_and_exits_non_zero(self, tmp_path, capsys):
        (tmp_path / 'a.yaml').write_text(BAD)
        (tmp_path / 'b.yaml').write_bytes(b'\xff')
        with pytest.raises(SystemExit) as caught:
            cmdline.main(['check', '--json', str(tmp_path)])
        assert caught.value.code == cmdline.EXIT_BAD_INPUT
        found = json.loads(capsys.readouterr().out)['findings']
        files = {pathlib.Path(finding['file']).name for finding in found}
        assert files == {'a.yaml', 'b.yaml'}

    def test_name_of_the_head_row_is_no_service(self):
        text = pathlib.Path('deploy/reykjavik/moti.yaml').read_text()
        wrong = text.replace('service: moti', 'service: head')
        with pytest.raises(errors.FindingsError, match='reserved'):
            operatorfile.parse(wrong, 'head.yaml')

    def test_kind_left_out_is_not_repeated(self):
        """Guards against work that repeats because nobody said it must not."""
        text = pathlib.Path('deploy/reykjavik/moti.yaml').read_text()
        parsed = operatorfile.parse(text.replace('kind: safe', ''), 'm.yaml')
        kinds = {one.name: one.kind for one in parsed.intent.routes}
        assert kinds['status-read'] == routes.Kind.ONCE

    def test_split_names_its_services(self):
        text = pathlib.Path('deploy/reykjavik/moti.yaml').read_text()
        split = 'kind: safe\n    split: {moti: 9, moti-next: 1}'
        parsed = operatorfile.parse(
            text.replace('kind: safe', split, 1), 'm.yaml'
        )
        shares = parsed.intent.routes[-1].shares
        assert [(one.service, one.weight) for one in shares] == [
            ('moti', 9),
            ('moti-next', 1),
        ]

    def test_deployed_files_are_valid(self):
        assert len(publish.load_entries(['deploy'])) == 4


ENTRIES = strategies.lists(
    strategies.one_of(
        strategies.builds(
            entry,
            strategies.sampled_from(['a', 'b']),
            strategies.integers(1, 3),
            strategies.sampled_from(['bokun', 'moti']),
            strategies.sampled_from(['f', 'g']),
            connections=strategies.integers(1, 3),
            is_divided=strategies.booleans(),
        ),
        strategies.builds(
            withdrawal,
            strategies.sampled_from(['a', 'b']),
            strategies.integers(1, 3),
        ),
    ),
    max_size=6,
)


class TestMerge:
    """A merge that depends on order gives two configurations in a race."""

    @STEADY
    @hyp.given(ENTRIES, ENTRIES, ENTRIES)
    def test_order_and_repetition_do_not_matter(self, one, two, three):
        together = merge.merge(one, two, three)
        assert merge.merge(merge.merge(three, two), one) == together
        assert merge.merge(one, merge.merge(two, three)) == together
        assert merge.merge(together, together, one) == together
        mixed = (*three, *one, *two)
        assert assembly.assemble(mixed) == assembly.assemble(together)

    @STEADY
    @hyp.given(ENTRIES)
    def test_older_revision_changes_nothing(self, entries):
        newest = entry('a', 9)
        merged = merge.merge([newest], entries)
        assert [kept for kept in merged if kept.team == 'a'][0] == newest

    def test_stricter_value_wins_and_conflict_names_both_places(self):
        lenient = entry('a', file='a.yaml', connections=9, is_divided=False)
        strict = entry('b', file='b.yaml', connections=2, is_divided=True)
        ((made, place),) = merge.intents([strict, lenient])
        assert (made.service.connections, place) == (2, 'a.yaml')
        assert made.service.is_divided
        (conflict,) = merge.conflicts([strict, lenient])
        assert conflict.first_place == 'a.yaml'
        assert conflict.second_place == 'b.yaml'

    def test_route_that_one_team_must_not_repeat_is_not_repeated(self):
        safe = route(timeout_ms=900, target_ms=None, attempts=3)
        once = route(kind=routes.Kind.ONCE, target_ms=300, attempts=1)
        stated = [entry('a', stated=(safe,)), entry('b', stated=(once,))]
        (made,) = assembly.assemble(stated).configuration.routes
        assert (made.kind, made.attempts) == (routes.Kind.ONCE, 1)
        assert (made.timeout_ms, made.target_ms) == (900, 300)

    def test_withdrawn_service_goes_until_stated_again(self):
        stated = [entry(revision=1), withdrawal(revision=2)]
        assert merge.intents(stated) == ()
        assert merge.intents([*stated, entry(revision=3)])


class TestAssembly:
    """Services that get in each other's way must give one configuration."""

    def test_one_service_keeps_a_contested_prefix(self):
        """Guards against a route that depends on who published last."""
        contested = (route(),)
        stated = [
            entry(name='moti', file='m', stated=contested),
            entry(file='b', stated=contested),
        ]
        for order in (stated, list(reversed(stated))):
            assembled = assembly.assemble(order)
            (kept,) = assembled.configuration.routes
            assert kept.name == 'bokun.look'
            (conflict,) = assembled.conflicts
            assert 'moti.look' in conflict.problem

    def test_share_of_an_unknown_service_is_left_out(self):
        """Guards against requests sent to a service that nobody states."""
        shares = (routes.Share('bokun', 9), routes.Share('gone', 1))
        assembled = assembly.assemble([entry(stated=(route(shares=shares),))])
        (made,) = assembled.configuration.routes
        assert made.shares == (routes.Share('bokun', 9),)
        assert 'gone' in assembled.conflicts[0].problem


DURATIONS = strategies.none() | strategies.integers(1, 10**6)
ROUTES = strategies.builds(
    routes.Route,
    name=strategies.sampled_from(['a', 'b.c']),
    host=strategies.sampled_from(['bokun.example', 'moti.example']),
    prefix=strategies.sampled_from(['/', '/a/', '/a/b/']),
    kind=strategies.sampled_from(list(routes.Kind)),
    shares=strategies.lists(
        strategies.builds(
            routes.Share,
            strategies.sampled_from(['bokun', 'moti']),
            strategies.integers(1, 9),
        ),
        min_size=1,
        max_size=2,
    ).map(tuple),
    timeout_ms=DURATIONS,
    target_ms=DURATIONS,
    priority=strategies.integers(0, 9),
    attempts=strategies.integers(1, 9),
)


class TestForm:
    """What is published must be what agents read."""

    @STEADY
    @hyp.given(
        strategies.lists(ROUTES, max_size=3).map(tuple),
        strategies.booleans(),
        strategies.integers(0, 9000),
        strategies.integers(1, 10**6),
    )
    def test_agents_read_what_was_written(
        self, stated, is_divided, warmup_ms, limit
    ):
        """Guards against a field that is written one way and read another."""
        service = routes.Service('bokun', '/up', 7, is_divided, warmup_ms)
        made = routes.Configuration(
            3, stated, {'bokun': service}, routes.Limits(limit, limit)
        )
        assert FORM.decode(FORM.encode(made)) == made


async def naive_publish(memory, entries):
    """Publish as the first version did: the last writer wins."""
    body = wire.pack(configuration.ServiceEntries('bokun', tuple(entries)))
    key = configuration.store_key('bokun')
    try:
        version = (await memory.get(key)).version
    except errors.NotFoundError:
        version = 0
    return await memory.put(key, body, version)


async def at_once(steps):
    """Run coroutines interleaved; their exceptions do not matter."""
    await asyncio.gather(*steps, return_exceptions=True)


def raced(publisher, groups, seed):
    """Publish all groups at once; return the store."""
    rng = random.Random(seed)
    memory = stores.MemoryStore(iter(lambda: rng.randrange(4), None))
    memory.lose_answers = rng.randrange(3)

    asyncio.run(at_once([publisher(memory, group) for group in groups]))
    return memory


def patient_publish(memory, entries):
    """Publish without real waiting."""
    return publish.publish(memory, FORM, entries, no_pause)


async def _publish_instead(memory, _seconds):
    """Publish a later revision while another publisher waits."""
    await patient_publish(memory, [entry(revision=2)])


class TestPublishing:
    """A publication must neither get lost nor revert another one."""

    @STEADY
    @hyp.given(
        strategies.lists(ENTRIES.filter(bool), min_size=2, max_size=4),
        strategies.integers(0, 1000),
    )
    def test_racing_publishers_all_succeed(self, groups, seed):
        memory = raced(patient_publish, groups, seed)
        oracle = merge.merge(*groups)
        assert accepted(memory) == oracle
        made = attrs.evolve(in_force(memory), version=0)
        assert made == assembly.assemble(oracle).configuration

    def test_naive_publisher_loses_entries(self):
        groups = [[entry('a')], [entry('b')]]
        oracle = merge.merge(*groups)
        results = [
            accepted(raced(naive_publish, groups, seed)) for seed in range(20)
        ]
        assert oracle not in results

    def test_every_order_gives_the_same_and_old_never_reverts(self):
        groups = [[entry(revision=7)], [entry(revision=8)], [entry('z')]]
        for order in itertools.permutations(groups):
            memory = stores.MemoryStore()
            versions = [run_publish(memory, group).version for group in order]
            assert accepted(memory) == merge.merge(*groups)
            assert versions == sorted(versions)
        assert run_publish(memory, groups[0]).superseded == tuple(groups[0])

    def test_naive_publisher_reverts(self):
        memory = stores.MemoryStore()
        for revision in (8, 7):
            asyncio.run(naive_publish(memory, [entry(revision=revision)]))
        assert accepted(memory)[0].revision == 7

    def test_lost_answer_is_found_by_reading_back(self):
        memory = stores.MemoryStore()
        memory.lose_answers = 1
        assert run_publish(memory, [entry()]).version == 1
        assert run_publish(memory, [entry()]).version == 1

    def test_lost_answer_is_found_under_later_publications(self):
        memory = stores.MemoryStore()
        memory.lose_answers = 1
        later = functools.partial(_publish_instead, memory)
        published = asyncio.run(publish.publish(memory, FORM, [entry()], later))
        assert (published.version, in_force(memory).version) == (1, 2)
        assert published.superseded == (entry(),)

    def test_only_the_touched_rows_are_written(self):
        memory = stores.MemoryStore()
        run_publish(memory, [entry(), entry(name='moti')])
        before = dict(memory.rows)
        run_publish(memory, [entry(revision=2), entry(name='moti')])
        changed = {key for key in before if before[key] != memory.rows[key]}
        assert changed == {'config/bokun', 'config/head', FORM.key}

    def test_publication_keeps_services_that_it_does_not_name(self):
        """Guards against a configuration of the last publisher alone."""
        memory = stores.MemoryStore()
        run_publish(memory, [entry()])
        run_publish(memory, [entry(name='moti')])
        assert set(in_force(memory).services) == {'bokun', 'moti'}

    def test_row_of_another_writer_is_replaced_by_a_higher_version(self):
        """Guards against agents that stay with what nobody published."""
        memory = stores.MemoryStore()
        run_publish(memory, [entry()])
        other = routes.Configuration(version=70)
        version = memory.rows[FORM.key].version
        asyncio.run(memory.put(FORM.key, FORM.encode(other), version))
        assert run_publish(memory, [entry()]).version == 71
        assert in_force(memory).version == 71
        assert set(in_force(memory).services) == {'bokun'}

    def test_publication_with_a_row_that_loses_writes_nothing(self):
        memory = stores.MemoryStore()
        run_publish(memory, [entry()])
        stale = [
            store.Write('config/bokun', b'x', 1),
            store.Write('config/head', b'x', 0),
        ]
        with pytest.raises(errors.VersionConflictError):
            asyncio.run(memory.transact(stale))
        assert accepted(memory) == (entry(),)

    def test_store_that_cannot_be_reached_gives_a_clear_error(self, capsys):
        code = cmdline.main(['publish', '--store', NOBODY, 'deploy'])
        assert code == cmdline.EXIT_UNAVAILABLE
        assert 'nothing was published' in capsys.readouterr().err

    def test_outage_says_that_nothing_was_published(self):
        memory = stores.MemoryStore()
        memory.down = True
        with pytest.raises(
            errors.StoreUnavailableError, match='nothing was published'
        ):
            run_publish(memory, [entry()])

    def test_outage_after_write_says_that_it_may_have_taken_effect(self):
        memory = stores.MemoryStore()
        memory.lose_answers = publish.MAX_ATTEMPTS
        memory.write = lambda writes: self._fail_and_stay_down(memory)
        with pytest.raises(errors.WriteInDoubtError, match='publish again'):
            run_publish(memory, [entry()])

    def test_rejected_write_is_made_again(self):
        """Guards against a write that is taken for one in doubt."""
        memory = stores.MemoryStore()
        memory.rejects = 2
        assert run_publish(memory, [entry()]).version == 1

    def test_publisher_that_always_loses_is_told(self):
        memory = stores.MemoryStore()
        memory.write = self._refuse
        with pytest.raises(errors.VersionConflictError, match='others?'):
            run_publish(memory, [entry()])

    def test_row_beyond_the_limit_of_the_store_is_refused(self):
        many = [entry(f't{number}') for number in range(3000)]
        with pytest.raises(errors.InvalidInputError, match='at most'):
            run_publish(stores.MemoryStore(), many)

    def test_more_rows_than_one_transaction_takes_are_refused(self):
        many = [entry(name=f's{number}') for number in range(99)]
        with pytest.raises(errors.InvalidInputError, match='at once'):
            run_publish(stores.MemoryStore(), many)

    def _fail_and_stay_down(self, memory):
        memory.down = True
        raise errors.StoreUnavailableError('no answer')

    def _refuse(self, writes):
        assert isinstance(writes[0], store.Write)
        raise errors.VersionConflictError(writes[0].key)
