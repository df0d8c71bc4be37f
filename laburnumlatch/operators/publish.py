"""The publishing step: operators' files become one configuration."""

import asyncio
import itertools
import pathlib
import random
import secrets

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import findings
from laburnumlatch.core import store as store_module
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.operators import operatorfile

MAX_ATTEMPTS = 20
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1
ID_BYTES = 8
# A row travels between agents as one message, see `peers`.
MAX_ROW_BYTES = 524288
# A lost answer is found by the ID while fewer publications follow it; after
# that a step without anything to add shows that its entries are in force.
KEPT_PUBLICATIONS = 16


@attrs.define(frozen=True)
class Published:
    """Result of a publishing step.

    `version` is the count of the head from which the entries are in force.
    `superseded` are own entries that a newer accepted revision replaces.
    """

    version: int
    conflicts: tuple[configuration.Conflict, ...] = ()
    superseded: tuple[configuration.Entry, ...] = ()


def collect(paths):
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


async def publish(store, entries, pause=asyncio.sleep, rng=random):
    """Merge `entries` into the configuration; return a `Published`.

    Raises `errors.StoreUnavailableError` if the store does not answer and
    `errors.VersionConflictError` if other publishers win every attempt.
    """
    own_id = secrets.token_hex(ID_BYTES)
    doubt = None
    for attempt in range(MAX_ATTEMPTS):
        try:
            version, merged = await _attempt(store, entries, own_id)
        except errors.WriteInDoubtError as error:
            doubt = error
        except errors.VersionConflictError:
            doubt = None
        except errors.StoreUnavailableError as error:
            raise _read_failure(doubt, error) from error
        else:
            return _published(version, merged, entries)
        await pause(_backoff_s(attempt, rng))
    raise doubt or errors.VersionConflictError(
        f'other publishers won {MAX_ATTEMPTS} times; publish again',
    )


def _backoff_s(attempt, rng):
    limit_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
    return limit_s * (1 + rng.random()) / 2


def _read_failure(doubt, error):
    return doubt or errors.StoreUnavailableError(
        f'{error}: nothing was published',
    )


async def _attempt(store, entries, own_id):
    """Read, merge and write once; return (version, entries in force)."""
    head, head_version = await _read(
        store,
        configuration.HEAD_KEY,
        configuration.Head(),
    )
    # The rows are read after the head: if the head is unchanged when they are
    # written, no publication came between.
    known = await _read_rows(store, entries)
    merged = [_restate(stated, entries, head.count + 1) for stated, _ in known]
    # After a lost answer the ID also finds a write of this step that another
    # publisher has built on meanwhile.
    version = _accepted_count(head, own_id)
    if version is None:
        # A row that was read may be newer than the head.
        version = max(head.count, *(stated.count for stated in merged))
        await _write(store, (head, head_version), known, merged, own_id)
    in_force = (stated.entries for stated in merged)
    return version, tuple(itertools.chain.from_iterable(in_force))


async def _write(store, known_head, known, merged, own_id):
    """Write the rows that changed and the next head, if any row changed."""
    changed = [
        (stated, version, renewed)
        for (stated, version), renewed in zip(known, merged, strict=True)
        if stated != renewed
    ]
    if not changed:
        return
    head, head_version = known_head
    body = wire.pack(_next_head(head, changed, own_id))
    writes = [_row_write(renewed, version) for _, version, renewed in changed]
    writes.append(
        store_module.Write(configuration.HEAD_KEY, body, head_version)
    )
    try:
        await store.transact(writes)
    except errors.StoreUnavailableError as error:
        raise errors.WriteInDoubtError(
            f'{error}: the write may have taken effect; '
            'publish again to find out',
        ) from error


def _accepted_count(head, own_id):
    """Return the count of the head that `own_id` wrote, or None."""
    if own_id not in head.publications:
        return None
    later = len(head.publications) - head.publications.index(own_id) - 1
    return head.count - later


def _restate(stated, entries, count):
    """Return the row with `entries` merged in; the same if nothing changes."""
    added = [entry for entry in entries if entry.name == stated.name]
    merged = merge.merge(stated.entries, added)
    if merged == stated.entries:
        return stated
    return configuration.Stated(stated.name, merged, count)


def _row_write(stated, expected_version):
    body = wire.pack(stated)
    if len(body) > MAX_ROW_BYTES:
        raise errors.InvalidInputError(
            f'the configuration of {stated.name} has {len(body)} bytes; '
            f'expected at most {MAX_ROW_BYTES}',
        )
    key = configuration.store_key(stated.name)
    return store_module.Write(key, body, expected_version)


def _next_head(head, changed, own_id):
    """Return the head after `changed`, triples (row, version, new row)."""
    marks = head.marks
    added = 0
    for stated, _, renewed in changed:
        added += not stated.count
        marks ^= configuration.mark(stated) ^ configuration.mark(renewed)
    return configuration.Head(
        head.count + 1,
        (*head.publications, own_id)[-KEPT_PUBLICATIONS:],
        head.services + added,
        marks,
    )


async def _read_rows(store, entries):
    """Return (`Stated`, its row's version) of each service in `entries`."""
    return await asyncio.gather(
        *(
            _read(
                store,
                configuration.store_key(name),
                configuration.Stated(name),
            )
            for name in sorted({entry.name for entry in entries})
        )
    )


async def _read(store, key, absent):
    """Return a row and its version; `absent` and 0 if there is none."""
    try:
        row = await store.get(key)
    except errors.NotFoundError:
        return absent, 0
    return wire.unpack(row.body, type(absent)), row.version


def _published(version, merged, entries):
    newest = {(entry.name, entry.team): entry.revision for entry in merged}
    return Published(
        version,
        merge.conflicts(merged),
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
