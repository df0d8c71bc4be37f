"""How a platform encodes the configuration that agents read."""

import abc


class ConfigurationCodec(abc.ABC):
    """The row of the configuration in force, in the platform's encoding.

    `key` is the key of that row, `max_bytes` the most that a row may hold,
    `max_writes` the most rows that one transaction may write. A row whose key
    is `evacuation_prefix` and a failure domain asks to evacuate that domain.
    """

    key: str
    evacuation_prefix: str
    max_bytes: int
    max_writes: int

    @abc.abstractmethod
    def encode(self, configuration):
        """Return the row's body for a `routes.Configuration`."""

    @abc.abstractmethod
    def decode(self, body):
        """Return `routes.Configuration`; raise `errors.InvalidInputError`."""
