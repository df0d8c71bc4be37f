"""The interface between the loop and the parts that own sockets."""

import abc


class FrontEnd(abc.ABC):
    """Decodes input into messages and carries out outgoing messages.

    `kinds` are the classes of outgoing messages that it carries out.
    """

    kinds = ()

    def __init__(self, post):
        """Keep `post`, which adds a message to the inbox of the systems."""
        self._post = post

    @abc.abstractmethod
    async def start(self):
        """Open the sockets; raise OSError if an address cannot be bound."""

    @abc.abstractmethod
    async def stop(self):
        """Close the sockets once all pending responses have been written."""

    @abc.abstractmethod
    def carry_out(self, message):
        """Carry out one outgoing message; must not block or raise."""
