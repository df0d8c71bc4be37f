"""Decodes responses of the platform's table store with rows."""

import base64
import itertools

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.platform import jsontext

_DECODE_ERRORS = (
    errors.InvalidInputError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
)

_log = logs.logger('store')


@attrs.define(frozen=True)
class Page:
    """The valid rows of one response, and the keys of removed ones.

    `last_key` is the key of the last row if more pages follow, else None.
    `changed_in` is the version of the newest row or removal, 0 without any.
    """

    rows: tuple
    version: int
    last_key: str | None
    removed: tuple = ()
    changed_in: int = 0


def decode(document, epoch):
    """Return the `Page` of a response, without rows that cannot be read.

    Raises `errors.StoreUnavailableError` if it is no such response.
    """
    try:
        entries = document['rows']
        last_key = None
        if entries and document.get('has_more'):
            last_key = jsontext.get_text(entries[-1], 'key')
        rows = tuple(
            itertools.chain.from_iterable(
                _valid_row(fields, epoch) for fields in entries
            )
        )
    except _DECODE_ERRORS as error:
        raise errors.StoreUnavailableError(
            f'bad response: {error!r}'
        ) from error
    version = versions.join(epoch, decode_version(document))
    removals = dict(
        itertools.chain.from_iterable(
            _removal(fields, epoch) for fields in entries
        )
    )
    return _page_of_newest(rows, removals, version, last_key)


def _page_of_newest(rows, removals, version, last_key):
    """Return the page without what a newer entry of the same key replaces.

    A feed may have a row and its removal. `removals` has versions by key.
    """
    written = {row.key: row.version for row in rows}
    return Page(
        tuple(row for row in rows if row.version > removals.get(row.key, -1)),
        version,
        last_key,
        tuple(
            key
            for key, removed_in in removals.items()
            if removed_in > written.get(key, -1)
        ),
        max((*written.values(), *removals.values()), default=0),
    )


def decode_version(document):
    """Return the version in a response, without the epoch.

    Raises `errors.StoreUnavailableError` if there is none.
    """
    try:
        return jsontext.get_unsigned_int(document, 'ver')
    except _DECODE_ERRORS as error:
        raise errors.StoreUnavailableError(
            f'bad response: {error!r}'
        ) from error


def _valid_row(fields, epoch):
    """Yield the row unless it is removed or invalid; log invalid ones."""
    try:
        if not fields.get('removed'):
            yield _decode_row(fields, epoch)
    except _DECODE_ERRORS as error:
        _log.error('row-unreadable', row=f'{fields!r:.80}', detail=repr(error))


def _removal(fields, epoch):
    """Yield the key and the version of the row if it is removed."""
    if isinstance(fields, dict) and fields.get('removed'):
        try:
            yield _full_key(fields), _row_version(fields, epoch)
        except _DECODE_ERRORS as error:
            _log.error(
                'row-unreadable', row=f'{fields!r:.80}', detail=repr(error)
            )


def _full_key(fields):
    table = jsontext.get_text(fields, 'table')
    return f'{table}/{jsontext.get_text(fields, "key")}'


def _row_version(fields, epoch):
    return versions.join(epoch, jsontext.get_unsigned_int(fields, 'ver'))


def _decode_row(fields, epoch):
    return storemsg.StoreRow(
        _full_key(fields),
        _row_version(fields, epoch),
        base64.b64decode(jsontext.get_text(fields, 'value'), validate=True),
    )
