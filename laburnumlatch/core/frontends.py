"""The interface between the loop and the parts that hold sockets."""

import abc


class FrontEnd(abc.ABC):
    """Decodes input to messages and carries out messages of some kinds.

    `kinds` are the classes of outgoing messages that are this front end's.
    """

    kinds = ()

    def __init__(self, post):
        """Keep `post`, which takes one message and asks for a tick."""
        self._post = post

    @abc.abstractmethod
    async def start(self):
        """Open sockets; raise OSError if an address cannot be had."""

    @abc.abstractmethod
    async def stop(self):
        """Close sockets after the last answer has been written."""

    @abc.abstractmethod
    def carry_out(self, message):
        """Act on one outgoing message; must not block or raise."""
