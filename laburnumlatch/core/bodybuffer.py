"""Collects a body that arrives in parts, in one place in memory."""

import io


class BodyBuffer:
    """A body that has been received in part.

    With a known length its memory is allocated at once, so that it is never
    copied as it grows. Memory that no part has filled yet is not resident.
    """

    def __init__(self, announced_bytes=None):
        """Start empty; `announced_bytes` is None if the length is not known."""
        self._announced_bytes = announced_bytes
        self._stream = io.BytesIO(bytes(announced_bytes or 0))

    def __len__(self):
        """Return the number of bytes received."""
        return self._stream.tell()

    @property
    def is_whole(self):
        """Whether all announced bytes have been received."""
        return len(self) == self._announced_bytes

    def append(self, chunk):
        """Add bytes; raise ValueError if they exceed the announced length."""
        end = len(self) + len(chunk)
        if self._announced_bytes is not None and end > self._announced_bytes:
            raise ValueError('the body is longer than announced')
        self._stream.write(chunk)

    def take(self):
        """Return the bytes received, and start empty with no known length."""
        self._stream.truncate()
        body = self._stream.getvalue()
        self._announced_bytes = None
        self._stream = io.BytesIO()
        return body
