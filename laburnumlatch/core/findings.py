"""Problems found in files, with their place, collected and shown together."""

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
        """Return one line for people."""
        return f'{self.place}: {self.problem}; expected {self.expected}'


@attrs.define
class Findings:
    """Findings collected while something is checked as a whole."""

    _found: list[Finding] = attrs.Factory(list)

    @property
    def found(self):
        """All findings, ordered by place."""
        return tuple(sorted(self._found))

    def add(self, place, problem, expected):
        """Record one problem."""
        self._found.append(Finding(place, problem, expected))

    def raise_if_any(self):
        """Raise `errors.FindingsError` with all findings, if there are any."""
        if self._found:
            raise errors.FindingsError(self.found)
