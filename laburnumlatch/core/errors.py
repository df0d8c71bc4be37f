"""Exceptions raised by laburnumlatch."""


class LaburnumlatchError(Exception):
    """Base of all exceptions of this package."""


class InvalidInputError(LaburnumlatchError):
    """Input from outside cannot be used; the message names what and where."""


class FindingsError(InvalidInputError):
    """One or more findings in a file; `findings` holds all of them."""

    def __init__(self, findings):
        """Keep `findings`, an iterable of `findings.Finding`."""
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(found) for found in self.findings))


class WireError(InvalidInputError):
    """A message from a peer cannot be decoded."""


class AgentUnavailableError(LaburnumlatchError):
    """An agent's administration API does not answer."""


class StoreError(LaburnumlatchError):
    """The platform's store did not do what was asked."""


class StoreUnavailableError(StoreError):
    """No answer from the store; a write may have taken effect."""


class CallRejectedError(StoreUnavailableError):
    """The store turned the call down and did nothing."""


class WriteInDoubtError(StoreUnavailableError):
    """No answer to a write, and reading back did not settle it."""


class VersionConflictError(StoreError):
    """A compare-and-set met another version; nothing was written."""


class HistoryGoneError(StoreError):
    """The store no longer knows the changes since the version asked for."""


class NotFoundError(StoreError):
    """The store holds no row under this key."""
