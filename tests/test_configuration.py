"""Operators' files, their merge, and racing publishers."""

import asyncio
import functools
import itertools
import json
import pathlib
import random

import hypothesis as hyp
import pytest
from hypothesis import strategies

from laburnumlatch import cmdline
from laburnumlatch.core import errors
from laburnumlatch.core import hashing
from laburnumlatch.core import store
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.operators import operatorfile
from laburnumlatch.operators import publish
from laburnumlatch.slots import rows
from tests import stores
from tests import worlds

STEADY = hyp.settings(derandomize=True, deadline=None, max_examples=60)
BAD = """\
team: a/b
service: ..
service: x
revision: 0
classes: {crew: 5, "a b": {priority: 1, queue: 1, x: 2}}
operations:
  op: {class: nope, repeatable: maybe, deadline_ms: true}
prefer: speed
foo: !!int abc
limits: []
"""


def entry(team='bookings', revision=1, name='bokun', file='a', **changes):
    """Return an entry as `operatorfile.parse` does."""
    service = worlds.service(name, team=team, **changes)
    digest = hashing.digest(wire.pack(service))
    return configuration.Entry(team, name, revision, digest, file, service)


def withdrawal(team='bookings', revision=2, name='bokun'):
    """Return the entry of a team that gives up a service."""
    return configuration.Entry(team, name, revision, '', 'w')


def accepted(memory):
    """Return all entries in a store."""
    return merge.merge(
        *(
            wire.unpack(row.body, configuration.Stated).entries
            for key, row in memory.rows.items()
            if key != configuration.HEAD_KEY
        )
    )


def head_of(memory):
    """Return the head row in a store."""
    body = memory.rows[configuration.HEAD_KEY].body
    return wire.unpack(body, configuration.Head)


async def no_pause(_seconds):
    """Wait one turn of the loop instead of the backoff."""
    await asyncio.sleep(0)


def run_publish(memory, entries):
    """Publish and return the result."""
    return asyncio.run(publish.publish(memory, entries, no_pause))


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

    def test_undivided_service_cannot_check_grants(self):
        text = pathlib.Path('deploy/reykjavik/moti.yaml').read_text()
        wrong = text.replace('checks_grants: false', 'checks_grants: true')
        with pytest.raises(errors.FindingsError, match='divided_by_key: true'):
            operatorfile.parse(wrong, 'moti.yaml')

    def test_name_of_the_head_row_is_no_service(self):
        text = pathlib.Path('deploy/reykjavik/moti.yaml').read_text()
        wrong = text.replace('service: moti', 'service: head')
        with pytest.raises(errors.FindingsError, match='reserved'):
            operatorfile.parse(wrong, 'head.yaml')

    def test_deployed_files_are_valid(self):
        assert len(publish.collect(['deploy'])) == 4


ENTRIES = strategies.lists(
    strategies.one_of(
        strategies.builds(
            entry,
            strategies.sampled_from(['a', 'b']),
            strategies.integers(1, 3),
            strategies.sampled_from(['bokun', 'moti']),
            strategies.sampled_from(['f', 'g']),
            concurrent=strategies.integers(1, 3),
            prefer=strategies.sampled_from(list(rows.Prefer)),
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
        assert merge.services(mixed) == merge.services(together)
        assert merge.conflicts(mixed) == merge.conflicts(together)

    @STEADY
    @hyp.given(ENTRIES)
    def test_older_revision_changes_nothing(self, entries):
        newest = entry('a', 9)
        merged = merge.merge([newest], entries)
        assert [kept for kept in merged if kept.team == 'a'][0] == newest

    def test_stricter_value_wins_and_conflict_names_both_places(self):
        lenient = entry('a', file='a.yaml', concurrent=9)
        strict = entry('b', file='b.yaml', body_bytes=1, checks_grants=False)
        (service,) = merge.services([strict, lenient])
        assert (service.team, service.checks_grants) == ('a', False)
        assert (service.concurrent, service.body_bytes) == (2, 1)
        (conflict,) = merge.conflicts([strict, lenient])
        assert conflict.first_place == 'a.yaml'
        assert conflict.second_place == 'b.yaml'

    def test_withdrawn_service_goes_until_stated_again(self):
        stated = [entry(revision=1), withdrawal(revision=2)]
        assert merge.services(stated) == ()
        assert merge.services([*stated, entry(revision=3)])


async def naive_publish(memory, entries):
    """Publish as the first version did: the last writer wins."""
    body = wire.pack(configuration.Stated('bokun', tuple(entries), 1))
    key = configuration.store_key('bokun')
    try:
        version = (await memory.get(key)).version
    except errors.NotFoundError:
        version = 0
    return await memory.put(key, body, version)


async def at_once(steps):
    """Run coroutines interleaved; their exceptions do not matter."""
    await asyncio.gather(*steps, return_exceptions=True)


def race(publisher, groups, seed):
    """Publish all groups at once; return the accepted entries."""
    rng = random.Random(seed)
    memory = stores.MemoryStore(iter(lambda: rng.randrange(4), None))
    memory.lose_answers = rng.randrange(3)

    asyncio.run(at_once([publisher(memory, group) for group in groups]))
    return accepted(memory)


def patient_publish(memory, entries):
    """Publish without real waiting."""
    return publish.publish(memory, entries, no_pause)


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
        assert race(patient_publish, groups, seed) == merge.merge(*groups)

    def test_naive_publisher_loses_entries(self):
        groups = [[entry('a')], [entry('b')]]
        oracle = merge.merge(*groups)
        results = [race(naive_publish, groups, seed) for seed in range(20)]
        assert oracle not in results

    def test_every_order_gives_the_same_and_old_never_reverts(self):
        groups = [[entry(revision=7)], [entry(revision=8)], [entry('z')]]
        for order in itertools.permutations(groups):
            memory = stores.MemoryStore()
            for group in order:
                run_publish(memory, group)
            assert accepted(memory) == merge.merge(*groups)
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
        published = asyncio.run(publish.publish(memory, [entry()], later))
        assert (published.version, head_of(memory).count) == (1, 2)
        assert published.superseded == (entry(),)

    def test_only_the_touched_rows_are_written(self):
        memory = stores.MemoryStore()
        run_publish(memory, [entry(), entry(name='moti')])
        before = dict(memory.rows)
        run_publish(memory, [entry(revision=2), entry(name='moti')])
        changed = {key for key in before if before[key] != memory.rows[key]}
        assert changed == {'config/bokun', 'config/head'}

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
        address = f'127.0.0.1:{worlds.free_port()}'
        code = cmdline.main(['publish', '--store', address, 'deploy'])
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

    def test_publisher_that_always_loses_is_told(self):
        memory = stores.MemoryStore()
        memory.write = self._refuse
        with pytest.raises(errors.VersionConflictError, match='others?'):
            run_publish(memory, [entry()])

    def test_row_that_cannot_travel_is_refused(self):
        many = [entry(f't{number}') for number in range(3000)]
        with pytest.raises(errors.InvalidInputError, match='at most'):
            run_publish(stores.MemoryStore(), many)

    def _fail_and_stay_down(self, memory):
        memory.down = True
        raise errors.StoreUnavailableError('no answer')

    def _refuse(self, writes):
        assert isinstance(writes[0], store.Write)
        raise errors.VersionConflictError(writes[0].key)
