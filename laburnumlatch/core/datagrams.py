"""Front end that sends and receives lease messages over one UDP socket."""

import asyncio
import ipaddress
import socket

from laburnumlatch.core import addresses
from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import wire

# Fits into one Ethernet frame, so that a datagram is never fragmented.
MAX_DATAGRAM_BYTES = 1400
# Datagrams read in one callback, so that a flood does not starve other work
# of the loop.
MAX_BATCH_DATAGRAMS = 64

_log = logs.logger('datagrams')


class Datagrams(frontends.FrontEnd):
    """Sends and receives messages of a fixed set of kinds on one address."""

    def __init__(self, post, address, messages):
        """Prepare a socket for the local address `address`, an `ip:port`.

        `messages` is a module with the message classes `KINDS` and with
        `SendDatagram`, the outgoing message that this front end handles.
        """
        super().__init__(post)
        self._address = address
        self._codec = wire.Codec(messages.KINDS)
        self.kinds = (messages.SendDatagram,)
        self._socket = None

    async def start(self):
        """Open the socket; raise OSError if it cannot be bound."""
        ip_text, port = addresses.split_address(self._address)
        family = socket.AF_INET
        if ipaddress.ip_address(ip_text).version == 6:
            family = socket.AF_INET6
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip_text, port))
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    async def stop(self):
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def carry_out(self, message):
        """Send one datagram; if that fails, drop it, as senders retry."""
        if self._socket is None:
            return
        body = self._codec.encode(message.message)
        if len(body) > MAX_DATAGRAM_BYTES:
            _log.error('datagram-too-long', size=len(body))
            return
        try:
            self._socket.sendto(body, addresses.split_address(message.address))
        except (OSError, errors.InvalidInputError) as error:
            _log.debug('send-failed', address=message.address, detail=error)

    def give_up(self, message):
        """Do nothing: a datagram may always be lost."""
        return ''

    def _receive(self):
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                body, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports here that an earlier datagram was
                # undeliverable, as nothing listened at its destination.
                _log.debug('receive-failed', detail=error)
                return
            self._decode_and_post(body, sender[0])

    def _decode_and_post(self, body, sender_ip):
        try:
            message = self._codec.decode(body)
        except errors.WireError as error:
            _log.error('datagram-refused', sender=sender_ip, detail=error)
        else:
            self._post(message)
