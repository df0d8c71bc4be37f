"""The interface between the loop and the parts that own sockets."""

import abc
import asyncio


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

    async def drain(self, ends_at):
        """Wait until responses have been taken, by `ends_at` at the latest.

        `ends_at` is in ms of the agent's clock. Most front ends have none.
        """
        await asyncio.sleep(0)

    @abc.abstractmethod
    async def stop(self):
        """Close the sockets; what has not been taken is cut off."""

    @abc.abstractmethod
    def carry_out(self, message):
        """Carry out one outgoing message; must not block.

        If it raises, that is a fault, and `give_up` is called.
        """

    @abc.abstractmethod
    def give_up(self, message):
        """End what a message was for, after `carry_out` has raised.

        Its request gets a truthful end: what may have run counts as such, and
        a connection on which a response is due is closed. Return the ID of the
        request, or an empty string.
        """
