"""Tests of the UDP front end over loopback."""

import asyncio
import socket

from laburnumlatch.core import datagrams
from laburnumlatch.mesh import leasemsg
from tests import addresses

MESSAGE = leasemsg.PlannerIs('b1', '127.0.0.1:7380', 3)


class TestDatagrams:
    """A bad datagram or destination must not affect other messages."""

    async def test_message_after_malformed_datagram_is_received(self):
        """Guards against a decoding error that stops the receiver.

        Anybody who reaches the port can send bytes that are no message; the
        receiver must drop them and read on.
        """
        received = asyncio.Queue()
        address = addresses.free()
        receiver = datagrams.Datagrams(received.put_nowait, address, leasemsg)
        sender = datagrams.Datagrams(
            received.put_nowait,
            addresses.free(),
            leasemsg,
        )
        await receiver.start()
        await sender.start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw_socket:
            ip_text, port = address.split(':')
            raw_socket.sendto(b'\xc1 not a message', (ip_text, int(port)))
        sender.carry_out(leasemsg.SendDatagram(address, MESSAGE))
        assert await asyncio.wait_for(received.get(), 5) == MESSAGE
        assert received.empty()
        await sender.stop()
        await receiver.stop()

    async def test_sending_to_closed_port_raises_nothing(self):
        """Guards against an agent that fails when a peer is down.

        The kernel reports an undeliverable datagram as an error of a later
        call on the same socket, be it a send or a receive.
        """
        sender = datagrams.Datagrams(
            lambda _message: None,
            addresses.free(),
            leasemsg,
        )
        await sender.start()
        closed_address = addresses.free()
        for _ in range(3):
            sender.carry_out(leasemsg.SendDatagram(closed_address, MESSAGE))
            await asyncio.sleep(0.01)
        await sender.stop()
