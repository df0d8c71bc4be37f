"""Publishing: merges operators' files into the configuration in the store."""

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
from laburnumlatch.core import versions
from laburnumlatch.core import wire
from laburnumlatch.mesh import routes
from laburnumlatch.operators import assembly
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.operators import operatorfile

MAX_ATTEMPTS = 20
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1
ID_BYTES = 8
# A write whose response was lost is recognized by its ID in the head row while
# fewer publications than this follow it. After that, an attempt that has
# nothing to add shows that the entries are in force.
MAX_KEPT_PUBLICATIONS = 16

_log = logs.logger('publish')


@attrs.define(frozen=True)
class Published:
    """Result of a publishing step.

    `version` is that of the configuration with which the entries came into
    force, or the newest one if there was nothing to write. `superseded` are
    entries of this step that a newer accepted revision replaces.
    """

    version: int
    conflicts: tuple[configuration.Conflict, ...] = ()
    superseded: tuple[configuration.Entry, ...] = ()


def load_entries(paths):
    """Return the `configuration.Entry` of each file in `paths`.

    Directories are searched for `*.yaml`. Raises `errors.FindingsError` with
    the findings of all files together.
    """
    problems = findings.Findings()
    texts = {}
    for path in sorted(set(_files(paths))):
        try:
            texts[str(path)] = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            place = findings.Place(str(path))
            problems.add(place, f'cannot be read: {error}', 'a text file')
    if not texts and not problems.findings:
        names = ', '.join(map(str, paths))
        problems.add(findings.Place(names), 'no files', 'at least one *.yaml')
    return parse_all(texts, problems)


def parse_all(texts, problems):
    """Return the entries of `texts`, a dict of text by file name.

    Raises `errors.FindingsError` with the findings of all texts, and those
    that `problems`, a `findings.Findings`, already holds.
    """
    entries = []
    all_findings = list(problems.findings)
    for file, text in texts.items():
        try:
            entries.append(operatorfile.parse(text, file))
        except errors.FindingsError as error:
            all_findings.extend(error.findings)
    if all_findings:
        raise errors.FindingsError(all_findings)
    return entries


async def publish(store, codec, entries, pause=asyncio.sleep, rng=random):
    """Merge `entries` into the configuration; return a `Published`.

    `codec` is the `configcodec.ConfigurationCodec` of the row that agents
    read. Conflicts with other publishers and writes without a response are
    retried after a backoff, for which `pause` is awaited with seconds.

    Raises `errors.StoreUnavailableError` if the store cannot be read,
    `errors.WriteInDoubtError` if a write may have taken effect and reading
    back did not settle it, `errors.VersionConflictError` if other publishers
    win every attempt, and `errors.InvalidInputError` if the store cannot hold
    a row or so many changes in one transaction.
    """
    step = _Step(store, codec, entries)
    in_doubt, conflict = None, None
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await step.attempt()
        except errors.WriteInDoubtError as error:
            in_doubt = error
        except errors.VersionConflictError as error:
            in_doubt, conflict = None, error
        except errors.StoreUnavailableError as error:
            raise _read_failure(in_doubt, error) from error
        await pause(_backoff_s(attempt, rng))
    raise in_doubt or errors.VersionConflictError(
        f'other publishers, or the store, rejected {MAX_ATTEMPTS} writes; '
        f'the last error was: {conflict}; publish again',
    )


def _backoff_s(attempt, rng):
    """Return an exponential backoff, at random in its upper half."""
    limit_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
    return limit_s * (1 + rng.random()) / 2


def _read_failure(in_doubt, error):
    """Return the error to raise after a failed read.

    It is that of an earlier write if that write is still in doubt.
    """
    return in_doubt or errors.StoreUnavailableError(
        f'{error}: nothing was published',
    )


class _Step:
    """One publishing step, which may take several attempts.

    All attempts use one publication ID, so that a write of an earlier attempt
    is recognized.
    """

    def __init__(self, store, codec, entries):
        """Publish `entries` to `store`, encoded by `codec`."""
        self._store = store
        self._codec = codec
        self._entries = entries
        self._id = secrets.token_hex(ID_BYTES)

    async def attempt(self):
        """Read, merge and write once; return a `Published`."""
        snapshot = await _read(self._store, self._codec)
        names = {entry.name for entry in self._entries}
        merged = {
            name: self._merge_with_stored(name, snapshot) for name in names
        }
        in_force = {**snapshot.entries_by_name(), **merged}
        assembled = assembly.assemble(
            tuple(itertools.chain(*in_force.values()))
        )
        # If a response was lost, the ID finds the write of this step even
        # after another publisher has written on top of it.
        version = snapshot.version_of(self._id)
        if version is None:
            version = await self._write(snapshot, merged, assembled)
        return _published(version, assembled, merged, self._entries)

    def _merge_with_stored(self, name, snapshot):
        """Merge this step's entries about a service into those in the store."""
        new_entries = [entry for entry in self._entries if entry.name == name]
        return merge.merge(snapshot.service_entries(name).entries, new_entries)

    async def _write(self, snapshot, merged, assembled):
        """Write the changed rows in one transaction; return the version.

        Writes nothing if the entries are in force already.
        """
        changed = [
            configuration.ServiceEntries(name, entries)
            for name, entries in merged.items()
            if entries != snapshot.service_entries(name).entries
        ]
        new_configuration = assembled.configuration
        if not changed and snapshot.is_in_force(new_configuration):
            return snapshot.head.version
        version = versions.following(snapshot.newest_version(), snapshot.epoch)
        head = _next_head(snapshot.head, self._id, version)
        writes = [
            self._row_write(
                configuration.store_key(service.name), service, snapshot
            )
            for service in changed
        ]
        writes.append(self._row_write(configuration.HEAD_KEY, head, snapshot))
        body = self._codec.encode(
            attrs.evolve(new_configuration, version=version)
        )
        writes.append(self._body_write(self._codec.key, body, snapshot))
        if len(writes) > self._codec.max_writes:
            raise errors.InvalidInputError(
                f'{len(changed)} services change; expected at most '
                f'{self._codec.max_writes - 2} at once',
            )
        await self._transact(writes)
        return version

    def _row_write(self, key, row, snapshot):
        return self._body_write(key, wire.pack(row), snapshot)

    def _body_write(self, key, body, snapshot):
        """Return the `store.Write` of a row unless its body is too large."""
        if len(body) > self._codec.max_bytes:
            raise errors.InvalidInputError(
                f'row {key} has {len(body)} bytes; '
                f'expected at most {self._codec.max_bytes}',
            )
        return store_module.Write(key, body, snapshot.row_version(key))

    async def _transact(self, writes):
        """Write all rows or none.

        A rejected call has written nothing, so it is raised like a conflict;
        after any other failure the write is in doubt.
        """
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
class _Snapshot:
    """The configuration's rows as read by one attempt.

    `epoch` is that of the store. `current` is the configuration that agents
    read, or None if its row is missing or cannot be decoded.
    """

    epoch: int
    rows: dict[str, storemsg.StoreRow]
    head: configuration.Head
    current: routes.Configuration | None

    def service_entries(self, name):
        """Return the `configuration.ServiceEntries` of a service."""
        row = self.rows.get(configuration.store_key(name))
        if row is None:
            return configuration.ServiceEntries(name)
        return wire.unpack(row.body, configuration.ServiceEntries)

    def entries_by_name(self):
        """Return a dict of the entries about each service."""
        names = [
            key.removeprefix(configuration.TABLE)
            for key in self.rows
            if key.startswith(configuration.TABLE)
        ]
        return {
            name: self.service_entries(name).entries
            for name in names
            if name != configuration.HEAD_NAME
        }

    def row_version(self, key):
        """Return the version of a row, 0 if there is none."""
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def newest_version(self):
        """Return the highest version in the head row and the current one.

        They differ if another writer has replaced the row that agents read.
        """
        current = 0 if self.current is None else self.current.version
        return max(current, self.head.version)

    def version_of(self, publication_id):
        """Return the version that a publication created, or None."""
        for publication in self.head.publications:
            if publication.publication_id == publication_id:
                return publication.version
        return None

    def is_in_force(self, expected):
        """Return whether agents read `expected`, versions aside.

        If the store was restored since, they may have a newer one in force.
        """
        if self.current is None:
            return False
        if versions.epoch_of(self.newest_version()) < self.epoch:
            return False
        return expected == attrs.evolve(self.current, version=expected.version)


async def _read(store, codec):
    """Return a `_Snapshot` of the store.

    The row that agents read is read after the others. If the head row is
    unchanged when all rows are written, no publication came in between.
    """
    changes = await store.read(configuration.TABLE)
    rows = {row.key: row for row in changes.rows}
    current = None
    try:
        row = await store.get(codec.key)
    except errors.NotFoundError:
        _log.info('no-configuration-yet', row=codec.key)
    else:
        rows[codec.key] = row
        current = _decoded(codec, row)
    head = configuration.Head()
    head_row = rows.get(configuration.HEAD_KEY)
    if head_row is not None:
        head = wire.unpack(head_row.body, configuration.Head)
    return _Snapshot(versions.epoch_of(changes.version), rows, head, current)


def _decoded(codec, row):
    """Return the configuration in a row, None if it cannot be decoded."""
    try:
        return codec.decode(row.body)
    except errors.InvalidInputError as error:
        _log.warning('row-replaced', row=row.key, detail=error)
        return None


def _next_head(head, publication_id, version):
    publication = configuration.Publication(publication_id, version)
    kept = (*head.publications, publication)[-MAX_KEPT_PUBLICATIONS:]
    return configuration.Head(version, kept)


def _published(version, assembled, merged, entries):
    """Return the `Published` of `entries`.

    Only conflicts about services that `entries` name are included.
    """
    newest_revisions = {
        (entry.name, entry.team): entry.revision
        for service_entries in merged.values()
        for entry in service_entries
    }
    service_names = {entry.name for entry in entries}
    return Published(
        version,
        tuple(
            conflict
            for conflict in assembled.conflicts
            if conflict.service in service_names
        ),
        tuple(
            entry
            for entry in entries
            if entry.revision < newest_revisions[(entry.name, entry.team)]
        ),
    )


def _files(paths):
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            yield from path.rglob('*.yaml')
        else:
            yield path
