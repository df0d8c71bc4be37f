"""The publishing step: operators' files become one configuration."""

import asyncio
import itertools
import pathlib
import random
import secrets

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import findings
from laburnumlatch.core import logs
from laburnumlatch.core import store as store_module
from laburnumlatch.core import storemsg
from laburnumlatch.core import wire
from laburnumlatch.mesh import routes
from laburnumlatch.operators import assembly
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.operators import operatorfile

MAX_ATTEMPTS = 20
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1
ID_BYTES = 8
# A lost answer is found by the ID while fewer publications follow it; after
# that a step without anything to add shows that its entries are in force.
KEPT_PUBLICATIONS = 16

_log = logs.logger('publish')


@attrs.define(frozen=True)
class Published:
    """Result of a publishing step.

    `version` is that of the configuration from which the entries are in
    force. `superseded` are own entries that a newer accepted revision replaces.
    """

    version: int
    conflicts: tuple[configuration.Conflict, ...] = ()
    superseded: tuple[configuration.Entry, ...] = ()


def load_entries(paths):
    """Return the entries of all `*.yaml` files under `paths`.

    Raises `errors.FindingsError` with the findings of all files together.
    """
    found = findings.Findings()
    texts = {}
    for path in sorted(set(_files(paths))):
        try:
            texts[str(path)] = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            place = findings.Place(str(path))
            found.add(place, f'cannot be read: {error}', 'a text file')
    if not texts and not found.found:
        names = ', '.join(map(str, paths))
        found.add(findings.Place(names), 'no files', 'at least one *.yaml')
    return parse_all(texts, found)


def parse_all(texts, found):
    """Return the entries of `texts`, a dict of text by file name.

    Raises `errors.FindingsError` with what is in `found` already, too.
    """
    entries = []
    problems = list(found.found)
    for file, text in texts.items():
        try:
            entries.append(operatorfile.parse(text, file))
        except errors.FindingsError as error:
            problems.extend(error.findings)
    if problems:
        raise errors.FindingsError(problems)
    return entries


async def publish(store, form, entries, pause=asyncio.sleep, rng=random):
    """Merge `entries` into the configuration; return a `Published`.

    `form` is the `configcodec.ConfigurationCodec` of the row that agents read.
    Raises `errors.StoreUnavailableError` if the store does not answer and
    `errors.VersionConflictError` if other publishers win every attempt.
    """
    step = _Step(store, form, entries)
    doubt, lost = None, None
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await step.attempt()
        except errors.WriteInDoubtError as error:
            doubt = error
        except errors.VersionConflictError as error:
            doubt, lost = None, error
        except errors.StoreUnavailableError as error:
            raise _read_failure(doubt, error) from error
        await pause(_backoff_s(attempt, rng))
    raise doubt or errors.VersionConflictError(
        f'other publishers, or the store, refused {MAX_ATTEMPTS} writes, '
        f'the last with: {lost}; publish again',
    )


def _backoff_s(attempt, rng):
    limit_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
    return limit_s * (1 + rng.random()) / 2


def _read_failure(doubt, error):
    return doubt or errors.StoreUnavailableError(
        f'{error}: nothing was published',
    )


class _Step:
    """One publishing step, which may take several attempts."""

    def __init__(self, store, form, entries):
        """Publish `entries` to `store`, encoded by `form`."""
        self._store = store
        self._form = form
        self._entries = entries
        self._id = secrets.token_hex(ID_BYTES)

    async def attempt(self):
        """Read, merge and write once; return a `Published`."""
        known = await _read(self._store, self._form)
        names = {entry.name for entry in self._entries}
        merged = {name: self._merged(name, known) for name in names}
        in_force = {**known.entries_by_name(), **merged}
        assembled = assembly.assemble(
            tuple(itertools.chain(*in_force.values()))
        )
        # After a lost answer the ID also finds a write of this step that
        # another publisher has built on meanwhile.
        version = known.version_by(self._id)
        if version is None:
            version = await self._write(known, merged, assembled)
        return _published(version, assembled, merged, self._entries)

    def _merged(self, name, known):
        own = [entry for entry in self._entries if entry.name == name]
        return merge.merge(known.stated(name).entries, own)

    async def _write(self, known, merged, assembled):
        """Write what differs in one transaction; return the version."""
        changed = [
            configuration.ServiceEntries(name, entries)
            for name, entries in merged.items()
            if entries != known.stated(name).entries
        ]
        made = assembled.configuration
        if not changed and known.is_in_force(made):
            return known.head.version
        version = known.newest_version() + 1
        head = _next_head(known.head, self._id, version)
        writes = [
            self._row(configuration.store_key(stated.name), stated, known)
            for stated in changed
        ]
        writes.append(self._row(configuration.HEAD_KEY, head, known))
        body = self._form.encode(attrs.evolve(made, version=version))
        writes.append(self._sized(self._form.key, body, known))
        if len(writes) > self._form.max_writes:
            raise errors.InvalidInputError(
                f'{len(changed)} services change; expected at most '
                f'{self._form.max_writes - 2} at once',
            )
        await self._transact(writes)
        return version

    def _row(self, key, row, known):
        return self._sized(key, wire.pack(row), known)

    def _sized(self, key, body, known):
        if len(body) > self._form.max_bytes:
            raise errors.InvalidInputError(
                f'row {key} has {len(body)} bytes; '
                f'expected at most {self._form.max_bytes}',
            )
        return store_module.Write(key, body, known.row_version(key))

    async def _transact(self, writes):
        try:
            await self._store.transact(writes)
        except errors.CallRejectedError as error:
            raise errors.VersionConflictError(str(error)) from error
        except errors.StoreUnavailableError as error:
            raise errors.WriteInDoubtError(
                f'{error}: the write may have taken effect; '
                'publish again to find out',
            ) from error


@attrs.define(frozen=True)
class _Known:
    """The rows of the configuration from one moment.

    `current` is the configuration in force, None if there is none that can
    be read.
    """

    rows: dict[str, storemsg.StoreRow]
    head: configuration.Head
    current: routes.Configuration | None

    def stated(self, name):
        """Return the `configuration.ServiceEntries` of a service."""
        row = self.rows.get(configuration.store_key(name))
        if row is None:
            return configuration.ServiceEntries(name)
        return wire.unpack(row.body, configuration.ServiceEntries)

    def entries_by_name(self):
        """Return the entries of each service."""
        names = [
            key.removeprefix(configuration.TABLE)
            for key in self.rows
            if key.startswith(configuration.TABLE)
        ]
        return {
            name: self.stated(name).entries
            for name in names
            if name != configuration.HEAD_NAME
        }

    def row_version(self, key):
        """Return the version of a row, 0 if there is none."""
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def newest_version(self):
        """Return the highest version of a configuration that was in force."""
        current = 0 if self.current is None else self.current.version
        return max(current, self.head.version)

    def version_by(self, publication_id):
        """Return the version that a publication made, or None."""
        for publication in self.head.publications:
            if publication.publication_id == publication_id:
                return publication.version
        return None

    def is_in_force(self, made):
        """Tell whether agents read what `made` says."""
        if self.current is None:
            return False
        return made == attrs.evolve(self.current, version=made.version)


async def _read(store, form):
    """Return the `_Known` rows.

    The configuration in force is read after the others: if the head is
    unchanged when all are written, no publication came between.
    """
    changes = await store.read(configuration.TABLE)
    rows = {row.key: row for row in changes.rows}
    current = None
    try:
        row = await store.get(form.key)
    except errors.NotFoundError:
        _log.info('no-configuration-yet', row=form.key)
    else:
        rows[form.key] = row
        current = _decoded(form, row)
    head = configuration.Head()
    head_row = rows.get(configuration.HEAD_KEY)
    if head_row is not None:
        head = wire.unpack(head_row.body, configuration.Head)
    return _Known(rows, head, current)


def _decoded(form, row):
    try:
        return form.decode(row.body)
    except errors.InvalidInputError as error:
        _log.warning('row-replaced', row=row.key, detail=error)
        return None


def _next_head(head, publication_id, version):
    publication = configuration.Publication(publication_id, version)
    kept = (*head.publications, publication)[-KEPT_PUBLICATIONS:]
    return configuration.Head(version, kept)


def _published(version, assembled, merged, entries):
    newest = {
        (entry.name, entry.team): entry.revision
        for stated in merged.values()
        for entry in stated
    }
    touched = {entry.name for entry in entries}
    return Published(
        version,
        tuple(
            conflict
            for conflict in assembled.conflicts
            if conflict.service in touched
        ),
        tuple(
            entry
            for entry in entries
            if entry.revision < newest[(entry.name, entry.team)]
        ),
    )


def _files(paths):
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            yield from path.rglob('*.yaml')
        else:
            yield path
