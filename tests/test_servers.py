"""The front end to the local backend server, and its announcements."""

import asyncio
import json
import types

import attrs
import pytest
from tornado import httpserver
from tornado import web

from laburnumlatch.core import clock
from laburnumlatch.slots import serverapi
from laburnumlatch.slots import servermsg
from laburnumlatch.slots import servers
from standins import backend
from standins import backendapi
from standins import processes
from tests import test_standins

ANNOUNCEMENT = types.MappingProxyType({
    'server_id': 's',
    'service': 'bokun',
    'address': '127.0.0.1:7000',
    'concurrent': 6,
    'connections': 130,
})


class Bench:
    """A front end, the backend server it talks to, and its messages."""

    def __init__(self, **faults):
        self.clock = clock.ManualClock(1000)
        self.state = backend.Backend(backend.Kind('s', 'bokun'), self.clock)
        backend.set_faults(self.state, faults)
        self.posted = []

    def run(self, *batches):
        """Carry out messages, with 100 ms of the clock after each batch."""
        asyncio.run(self._run(batches))
        return self.posted

    async def _run(self, batches):
        front_end = servers.Servers(self.posted.append)
        server = backendapi.Server(self.state)
        async with test_standins.listening(server) as address:
            for message in batches:
                front_end.carry_out(attrs.evolve(message, address=address))
                self.clock.advance(100)
            await processes.until('answers', self._is_answered)
            await front_end.stop()

    async def _is_answered(self):
        return bool(self.posted)


def give(*fields):
    """Return a message with one grant: (slot, token, end in ms)."""
    return servermsg.GiveGrants('s', '', (servermsg.Grant(*fields),))


class TestGrants:
    """A grant that outlives its lease lets two hosts serve one key."""

    def test_accepted_grants_are_reported(self):
        bench = Bench()
        (answer,) = bench.run(give(3, 7, 2000), give(4, 7, 2000))
        assert answer == servermsg.GrantsAnswered('s', True, (3, 4))

    def test_outdated_grant_is_reported_apart(self):
        bench = Bench()
        backend.give_grants(
            bench.state, [{'slot': 4, 'token': 9, 'expires_ms': 2000}]
        )
        answers = bench.run(give(3, 7, 2000), give(4, 7, 2000))
        assert answers == [
            servermsg.GrantsAnswered('s', True, (3,)),
            servermsg.GrantsAnswered('s', False, (4,)),
        ]

    def test_grant_that_waited_ends_no_later(self):
        bench = Bench()
        bench.run(give(3, 7, 2000))
        (interval,) = bench.state.ledger.intervals
        assert interval.until == 2000

    def test_later_revocation_replaces_a_grant_that_waits(self):
        bench = Bench()
        bench.run(give(3, 7, 2000), give(3, 7, 0))
        assert not bench.state.ledger.intervals

    def test_frozen_server_accepts_nothing(self):
        (answer,) = Bench(freeze=True).run(give(3, 7, 2000))
        assert answer == servermsg.GrantsAnswered('s', False, (3,))


class TestProbe:
    """A server that hangs must be seen as down soon."""

    def test_load_is_read(self):
        probe = servermsg.Probe('s', '')
        (probed,) = Bench(load_fixed=0.5).run(probe)
        assert probed == servermsg.Probed('s', True, 0.5)

    def test_frozen_server_is_down(self):
        probe = servermsg.Probe('s', '')
        (probed,) = Bench(freeze=True).run(probe, probe)
        assert not probed.is_up


async def _ask(posted, method, query, body, peer):
    app = web.Application(
        serverapi.handlers(posted.append, {'s'}.__contains__, '127.0.0.1:1')
    )
    # The address of a peer elsewhere can only be had from a header here.
    server = httpserver.HTTPServer(app, xheaders=True)
    async with test_standins.listening(server) as address:
        return await processes.ask(
            f'http://{address}/server{query}',
            method,
            body=body,
            headers={'X-Real-Ip': peer},
        )


def ask(method, query='', body=None, peer='127.0.0.1'):
    """Return (status, text, messages) of one request to the agent."""
    posted = []
    response = asyncio.run(_ask(posted, method, query, body, peer))
    return response.code, response.body.decode(), posted


class TestAnnouncements:
    """Nobody but the server of this host may change where work goes."""

    def test_announcement_and_leaving_reach_the_systems(self):
        announced = servermsg.ServerAnnounced(**ANNOUNCEMENT)
        answer = ask('POST', body=json.dumps({**ANNOUNCEMENT}))
        assert answer == (204, '', [announced])
        answer = ask('DELETE', '?server_id=s')
        assert answer == (204, '', [servermsg.ServerLeaving('s')])

    def test_server_learns_whether_it_is_known(self):
        assert ask('GET', '?server_id=s')[0] == 204
        assert ask('GET', '?server_id=other')[0] == 404

    @pytest.mark.parametrize('method', ['GET', 'POST', 'DELETE'])
    def test_peer_elsewhere_is_refused(self, method):
        status, text, posted = ask(
            method, '?server_id=s', json.dumps({**ANNOUNCEMENT}), '10.1.2.3'
        )
        assert status == 403
        assert '10.1.2.3' in text
        assert not posted

    @pytest.mark.parametrize(
        ('method', 'body', 'named'),
        [
            ('POST', '{', 'announcement'),
            ('POST', '[]', 'object'),
            ('POST', json.dumps({**ANNOUNCEMENT} | {'nope': 1}), 'nope'),
            (
                'POST',
                json.dumps({**ANNOUNCEMENT} | {'address': 'x'}),
                'address',
            ),
            (
                'POST',
                json.dumps({**ANNOUNCEMENT} | {'concurrent': 0}),
                'concurre',
            ),
            ('DELETE', None, 'server_id'),
        ],
    )
    def test_bad_input_names_its_fault(self, method, body, named):
        status, text, posted = ask(method, body=body)
        assert status == 400
        assert named in text
        assert not posted


class TestWhoAnnounces:
    """An agent that listens on its host's address must know its own server."""

    @pytest.mark.parametrize(
        ('remote_ip', 'is_allowed'),
        [
            ('127.0.0.1', True),
            ('10.1.1.1', True),
            ('10.1.1.2', False),
            ('::1', True),
        ],
    )
    def test_loopback_and_own_address(self, remote_ip, is_allowed):
        found = serverapi.is_on_this_host(remote_ip, '10.1.1.1:8000')
        assert found == is_allowed
