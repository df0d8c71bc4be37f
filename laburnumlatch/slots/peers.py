"""Front end between agents: documents over pynng, without own threads."""

import asyncio
import collections

import pynng

from laburnumlatch.core import errors
from laburnumlatch.core import frontends
from laburnumlatch.core import logs
from laburnumlatch.core import wire
from laburnumlatch.slots import docmsg

MAX_MESSAGE_BYTES = 1048576
# Messages taken per turn of the loop, so that requests get theirs.
BATCH = 16
QUEUED_MESSAGES = 16
# Room for an agent's view and for those who have this agent in theirs.
MAX_CONNECTIONS = 32
RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000

MESSAGES = wire.Codec((
    docmsg.Summary,
    docmsg.BucketHashes,
    docmsg.Digest,
    docmsg.DocumentsOffered,
))

_log = logs.logger('peers')


class Peers(frontends.FrontEnd):
    """Receives on one socket; sends through one socket per neighbour."""

    kinds = (docmsg.TellPeer,)

    def __init__(self, post, address):
        """Listen on `address`, an `ip:port`."""
        super().__init__(post)
        self._address = address
        self._receiver = None
        self._senders = collections.OrderedDict()

    async def start(self):
        """Listen; raise OSError if the address cannot be had."""
        self._receiver = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self._receiver.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            self._receiver.close()
            raise OSError(f'{self._address}: {error}') from error
        asyncio.get_running_loop().add_reader(
            self._receiver.recv_fd,
            self._receive,
        )

    async def stop(self):
        """Close all sockets; what is not sent by then is lost."""
        if self._receiver is not None:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._receiver.recv_fd)
            self._receiver.close()
        while self._senders:
            self._senders.popitem()[1].close()

    def carry_out(self, message):
        """Queue one message for a neighbour, or drop it if it can't go."""
        body = MESSAGES.encode(message.message)
        if len(body) > MAX_MESSAGE_BYTES:
            _log.error('message-too-large', size=len(body))
            return
        try:
            self._sender(message.address).send(body, block=False)
        except pynng.TryAgain:
            _log.debug('peer-busy', address=message.address)
        except pynng.NNGException as error:
            _log.warning('send-failed', address=message.address, detail=error)

    def _sender(self, address):
        """Return the socket to an address, connected in the background."""
        sender = self._senders.get(address)
        if sender is None:
            sender = pynng.Push0(
                send_buffer_size=QUEUED_MESSAGES,
                reconnect_time_min=RECONNECT_MS,
                reconnect_time_max=MAX_RECONNECT_MS,
            )
            self._senders[address] = sender
            sender.dial(f'tcp://{address}', block=False)
        self._senders.move_to_end(address)
        if len(self._senders) > MAX_CONNECTIONS:
            self._senders.popitem(last=False)[1].close()
        return sender

    def _receive(self):
        for _ in range(BATCH):
            try:
                body = self._receiver.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                _log.error('receive-failed', detail=error)
                return
            except RuntimeError as error:
                # pynng raises this for a message without any bytes.
                _log.warning('message-refused', detail=error)
            else:
                self._decode(body)

    def _decode(self, body):
        try:
            message = MESSAGES.decode(body)
        except errors.WireError as error:
            _log.warning('message-refused', size=len(body), detail=error)
        else:
            self._post(message)
