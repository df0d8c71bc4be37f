"""The administration API and the reports it shows."""

import json

import attrs
import pytest
from tornado import testing
from tornado import web

from laburnumlatch.core import errors
from laburnumlatch.operators import report
from laburnumlatch.slots import adminapi
from laburnumlatch.slots import planrows
from tests import stores
from tests import test_configuration
from tests import test_documents
from tests import worlds

TOKEN = 's3cret'


def bad_file():
    """Return a file with findings, as a publication holds it."""
    return {'name': 'bad.yaml', 'text': test_configuration.BAD}


class TestAccess:
    """An open publishing step lets anyone change what every caller meets."""

    @pytest.mark.parametrize(
        ('token', 'method', 'remote_ip', 'authorization', 'is_refused'),
        [
            (TOKEN, 'POST', '10.1.1.1', f'Bearer {TOKEN}', False),
            (TOKEN, 'GET', '127.0.0.1', '', True),
            (TOKEN, 'GET', '127.0.0.1', 'Bearer s3cre', True),
            (TOKEN, 'GET', '127.0.0.1', 'Bearer \xe9', True),
            ('', 'GET', '127.0.0.1', '', False),
            ('', 'GET', '10.1.1.1', 'Bearer ', True),
            ('', 'POST', '127.0.0.1', 'Bearer ', True),
        ],
    )
    def test_who_may_ask(
        self, token, method, remote_ip, authorization, is_refused
    ):
        refusal = adminapi.refusal_of(token, method, remote_ip, authorization)
        assert bool(refusal) == is_refused


class TestReport:
    """An operator who sees no reason or no place can't act on it."""

    def test_explain_names_slot_owner_and_holder_that_still_releases(self):
        world = worlds.with_plan(['bokun-2'])
        plan = world.plans.get('bokun')
        moving = tuple(
            attrs.evolve(slot, previous=planrows.Incarnation('bokun-1', 1))
            for slot in plan.slots
        )
        world.plans.put('bokun', attrs.evolve(plan, slots=moving))
        shown = report.explain(world, 'bokun', 'some-key')
        assert (shown['owner'], shown['epoch']) == ('bokun-2', 7)
        assert 'once bokun-1 has released it' in report.explain_text(shown)

    def test_unknown_service_is_refused_with_what_is_known(self):
        with pytest.raises(errors.InvalidInputError, match='of: bokun'):
            report.explain(worlds.with_plan(['bokun-1']), 'nope', 'k')

    def test_status_shows_conflict_with_both_places(self):
        world = test_documents.create('h1')
        both = [
            test_configuration.entry(team, file=f'{team}.yaml')
            for team in ('a', 'b')
        ]
        moti = [test_configuration.entry(name='moti')]
        newest = test_documents.published([moti, both])[-1]
        test_documents.run(world, worlds.START, test_documents.scanned(*newest))
        text = report.status_text(report.status(world))
        assert 'configuration version 2, in force up to 2' in text
        assert 'bokun of team a version 2' in text
        assert 'moti of team bookings version 1' in text
        assert 'a.yaml and b.yaml' in text


class TestHandlers(testing.AsyncHTTPTestCase):
    """Unknown input must get a clear refusal and change nothing."""

    def get_app(self):
        self.store = stores.MemoryStore()
        world = worlds.with_plan(['bokun-1'])
        world.settings = attrs.evolve(world.settings, admin_token=TOKEN)
        admin = adminapi.Admin(world, self.store)
        return web.Application(adminapi.handlers(admin))

    def get_httpserver_options(self):
        return {'max_body_size': 2 * adminapi.MAX_BODY_BYTES}

    def ask(self, path, body=None, token=TOKEN):
        """Return (status, fields) of the answer to GET, or to POST."""
        response = self.fetch(
            f'/admin/{path}',
            method='GET' if body is None else 'POST',
            body=body,
            headers={'Authorization': f'Bearer {token}'},
        )
        return response.code, json.loads(response.body)

    def test_state_is_shown(self):
        shown = self.ask('metrics')[1]
        assert shown == {'counters': {}, 'latency_ms': {}, 'requests': 0}
        for path in ('status', 'members', 'plan/bokun'):
            assert self.ask(path)[0] == 200
        status, shown = self.ask('explain/bokun/some%20key')
        assert (status, shown['key']) == (200, 'some key')
        assert shown['serving'] == {'host_id': 'bokun-1', 'epoch': 7}

    def test_unknown_is_refused(self):
        for path in ('nope', 'plan/nope', 'explain/nope/k', 'plan/a/b'):
            status, shown = self.ask(path)
            assert (status, list(shown)) == (404, ['error'])
        assert self.ask('publish')[0] == 405
        assert self.ask('status', token='wrong')[0] == 401

    def test_files_are_checked_and_published(self):
        with open('deploy/reykjavik/bokun.yaml', encoding='utf-8') as opened:
            good = {'name': 'bokun.yaml', 'text': opened.read()}
        assert self.ask('publish', json.dumps({'files': [good]})) == (
            200,
            {'version': 1, 'conflicts': [], 'superseded': []},
        )
        status, shown = self.ask('publish', json.dumps({'files': [bad_file()]}))
        assert (status, len(shown['findings'])) == (400, 15)
        self.store.down = True
        status, shown = self.ask('publish', json.dumps({'files': [good]}))
        assert status == 503
        assert 'nothing was published' in shown['error']

    def test_wrong_bodies_are_refused(self):
        for body in (
            '',
            '[]',
            '{}',
            '{"files": []}',
            '{"files": [1]}',
            '{"files": [{"name": "a"}]}',
            json.dumps({'files': [bad_file()], 'more': 1}),
            json.dumps({'files': [bad_file(), bad_file()]}),
        ):
            status, shown = self.ask('publish', body)
            assert (status, list(shown)) == (400, ['error'])

    def test_huge_body_is_not_kept(self):
        huge = 'x' * (adminapi.MAX_BODY_BYTES + 1)
        response = self.fetch(
            '/admin/publish',
            method='POST',
            body=huge,
            headers={'Authorization': f'Bearer {TOKEN}'},
        )
        assert response.code != 200
        assert not self.store.rows
