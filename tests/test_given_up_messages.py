"""What front ends report of a message that could not be carried out."""

import pytest

from laburnumlatch.core import bodymemory
from laburnumlatch.core import storelink
from laburnumlatch.core import storemsg
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import configmsg
from laburnumlatch.mesh import messages
from laburnumlatch.platform import backendclient
from laburnumlatch.platform import configlink
from tests import addresses
from tests import test_control_front
from tests import test_mesh_peerlink

ADDRESS = '127.0.0.1:9'
MEMORY_BYTES = 10**8


def _send():
    head = messages.Head('GET', '/x', 'h', (), 'r7')
    return messages.Send(
        number=7,
        exchange=2,
        address=ADDRESS,
        server_id='i',
        head=head,
        body=b'',
        time_left_ms=1000,
        fresh_connection=False,
        is_safe=False,
    )


class TestFrontEnds:
    """What systems learn of a message that could not be carried out."""

    @pytest.mark.parametrize(
        ('message', 'event'),
        [
            (
                backendmsg.GiveGrant(3, ADDRESS, 0, 15, 7, 1000),
                backendmsg.GrantAnswered(3, None),
            ),
            (
                backendmsg.TakeBack(4, ADDRESS, 0, 15, 7),
                backendmsg.TakenBack(4, is_answered=False),
            ),
        ],
    )
    def test_grant_may_be_in_force(self, message, event):
        """Guards against keys that are given away while a grant may last."""
        posted = []
        client = backendclient.BackendClient(
            posted.append, bodymemory.BodyMemory(MEMORY_BYTES)
        )
        client.give_up(message)
        assert posted == [event]

    def test_request_may_have_run(self):
        """Guards against a write that is sent once more."""
        posted = []
        client = backendclient.BackendClient(
            posted.append, bodymemory.BodyMemory(MEMORY_BYTES)
        )
        assert client.give_up(_send()) == 'r7'
        (event,) = posted
        assert (event.number, event.exchange) == (7, 2)
        assert event.phase == messages.Phase.SENT

    async def test_forward_may_have_run(self):
        """Guards against a request that waits for another agent forever."""
        agents = test_mesh_peerlink.AgentPair()
        await agents.start_at(addresses.free(), addresses.free())
        request = test_mesh_peerlink.forward(5)
        sent = messages.SendForward('b', agents.ports['b'], request)
        assert agents.links['a'].give_up(sent) == 'r5'
        event = await agents.wait_for('a', messages.ExchangeFailed)
        assert event.phase == messages.Phase.SENT
        await agents.stop()

    async def test_reply_is_broken_off(self):
        """Guards against an agent that waits for a lost reply."""
        agents = test_mesh_peerlink.AgentPair()
        await agents.start_at(addresses.free(), addresses.free())
        agents.send(test_mesh_peerlink.forward(5))
        arrived = await agents.wait_for('b', messages.ForwardArrived)
        answer = messages.Answer(200, (), b'')
        reply = messages.ReplyAnswer(arrived.number, answer, 1, 1, 1)
        agents.links['b'].give_up(reply)
        event = await agents.wait_for('a', messages.ExchangeFailed)
        assert event.phase == messages.Phase.SENT
        await agents.stop()

    @pytest.mark.parametrize(
        ('link', 'message'),
        [
            (storelink.StoreLink, storemsg.StoreRead('t', 'a/')),
            (configlink.ConfigLink, configmsg.ReadConfiguration('t')),
        ],
    )
    def test_call_to_the_store_has_failed(self, link, message):
        """Guards against a system that waits for the store forever."""
        posted = []
        link(posted.append, store=None).give_up(message)
        assert posted == [storemsg.StoreFailed('t', 'not started')]

    async def test_announcement_is_cut_off(self):
        """Guards against a server that waits for its acknowledgement."""
        async with test_control_front.running() as lab:
            caller = await test_control_front.connect(
                lab.settings.control_address
            )
            number = await lab.announce(caller)
            lab.front.give_up(
                backendmsg.AnnouncementAnswered(number, is_accepted=True)
            )
            assert not await caller.reader.read()
