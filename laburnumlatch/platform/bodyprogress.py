"""How much of the body that a head announced has been read.

A request or response is passed on only if its body is whole. The parsers check
this here, whatever the library under them takes for the end of a message.
"""

import attrs


@attrs.define
class BodyProgress:
    """What was read of one body.

    `announced_bytes` is its length, None if it comes in chunks; then an empty
    chunk is the last one.
    """

    announced_bytes: int | None
    received_bytes: int = 0
    _chunk_bytes: int = 0
    _has_last_chunk: bool = False

    @property
    def is_whole(self):
        """Whether the body has been read to its end."""
        if self.announced_bytes is None:
            return self._has_last_chunk
        return self.received_bytes == self.announced_bytes

    @property
    def missing_bytes(self):
        """How many bytes are still to come, 0 if that is not known."""
        return (self.announced_bytes or self.received_bytes) - (
            self.received_bytes
        )

    def add(self, chunk):
        """Count bytes of the body."""
        self.received_bytes += len(chunk)
        self._chunk_bytes += len(chunk)

    def end_chunk(self):
        """Note the end of a chunk."""
        self._has_last_chunk = not self._chunk_bytes
        self._chunk_bytes = 0


def announced(fields):
    """Return the `BodyProgress` of the body that `HeadFields` announce.

    Without a length or an encoding there is no body.
    """
    if fields.get('Transfer-Encoding') is not None:
        return BodyProgress(None)
    return BodyProgress(int(fields.get('Content-Length', '0')))
