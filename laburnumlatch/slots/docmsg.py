"""Messages about documents: between agents, and from the store."""

import attrs

from laburnumlatch.slots import rows

# Documents: between agents, and from the store to the documents system.


@attrs.define(frozen=True)
class DocumentsOffered:
    """Documents from the store or another agent."""

    documents: tuple[rows.Document, ...]
    source: str


@attrs.define(frozen=True)
class Summary:
    """Hash of all documents that the agent at `sender` has."""

    sender: str
    top: str


@attrs.define(frozen=True)
class BucketHashes:
    """Answer to a summary that differs: a hash for each bucket."""

    sender: str
    packed: bytes


@attrs.define(frozen=True)
class Digest:
    """Versions an agent has: (kind, name, version) of each document.

    All its documents in `buckets` are listed; others may be. The receiver
    sends what it has newer and asks with another digest for the rest.
    """

    sender: str
    versions: tuple[tuple[str, str, int], ...]
    buckets: tuple[int, ...] = ()


@attrs.define(frozen=True)
class TellPeer:
    """Send `message` to the agent whose peer address is `address`."""

    address: str
    message: Summary | BucketHashes | Digest | DocumentsOffered
