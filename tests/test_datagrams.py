"""The UDP front end over loopback."""

import asyncio
import socket

from laburnumlatch.core import datagrams
from laburnumlatch.slots import leasemsg
from laburnumlatch.slots import planrows
from tests import worlds

VOTE_ACK = leasemsg.VoteAck(
    planrows.Incarnation('a', 1),
    planrows.Incarnation('b', 2),
    planrows.Incarnation('c', 3),
)


class TestDatagrams:
    """A wrong datagram must not stop the messages that follow it."""

    async def test_message_arrives_after_garbage(self):
        arrived = asyncio.Queue()
        address = f'127.0.0.1:{worlds.free_port()}'
        receiver = datagrams.Datagrams(arrived.put_nowait, address, leasemsg)
        sender = datagrams.Datagrams(
            arrived.put_nowait,
            f'127.0.0.1:{worlds.free_port()}',
            leasemsg,
        )
        await receiver.start()
        await sender.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            ip_text, port = address.split(':')
            noise.sendto(b'\xc1 not a message', (ip_text, int(port)))
        sender.carry_out(leasemsg.SendDatagram(address, VOTE_ACK))
        assert await asyncio.wait_for(arrived.get(), 5) == VOTE_ACK
        assert arrived.empty()
        await sender.stop()
        await receiver.stop()

    async def test_nobody_at_the_address_is_no_error(self):
        own = datagrams.Datagrams(
            lambda _message: None,
            f'127.0.0.1:{worlds.free_port()}',
            leasemsg,
        )
        await own.start()
        nobody = f'127.0.0.1:{worlds.free_port()}'
        for _ in range(3):
            own.carry_out(leasemsg.SendDatagram(nobody, VOTE_ACK))
            await asyncio.sleep(0.01)
        await own.stop()
