"""Problems in input files with their positions, reported all together."""

import attrs

from laburnumlatch.core import errors


@attrs.define(frozen=True, order=True)
class Place:
    """A position in a file; line and column count from 1."""

    file: str
    line: int = 1
    column: int = 1

    def __str__(self):
        """Return `file:line:column`."""
        return f'{self.file}:{self.line}:{self.column}'


@attrs.define(frozen=True, order=True)
class Finding:
    """One problem, and what was expected instead."""

    place: Place
    problem: str
    expected: str

    def __str__(self):
        """Return a one-line, human-readable description."""
        return f'{self.place}: {self.problem}; expected {self.expected}'


@attrs.define
class Findings:
    """Collects all problems of a check, so that they are reported together."""

    _found: list[Finding] = attrs.Factory(list)

    @property
    def findings(self):
        """All findings as a tuple, sorted by place."""
        return tuple(sorted(self._found))

    def add(self, place, problem, expected):
        """Record one problem."""
        self._found.append(Finding(place, problem, expected))

    def raise_if_any(self):
        """Raise `errors.FindingsError` with all findings, if there are any."""
        if self._found:
            raise errors.FindingsError(self.findings)
