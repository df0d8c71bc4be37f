"""Settings of one agent, read from YAML and checked as a whole."""

import pathlib

import attrs

from laburnumlatch.core import addresses
from laburnumlatch.core import errors
from laburnumlatch.core import findings
from laburnumlatch.operators import yamlnodes

LOG_LEVELS = ('debug', 'info', 'warning', 'error')


@attrs.define(frozen=True)
class Settings:
    """What an agent must be told; all else comes from the store.

    Addresses are `ip:port`: `address` for HTTP, `datagram_address` for UDP,
    `peer_address` for documents, `store_address` of the platform.
    """

    host_id: str
    region: str
    domain: str
    address: str
    datagram_address: str
    peer_address: str
    store_address: str
    admin_token: str = ''
    log_level: str = 'info'


def load(path):
    """Read settings from the YAML file at `path`.

    Raises `errors.FindingsError` with all problems, `errors.InvalidInputError`
    if the file cannot be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(f'{path}: {error}') from error
    return parse(text, str(path))


def parse(text, file):
    """Return `Settings` from YAML text; `file` is named in findings."""
    found = findings.Findings()
    reader = yamlnodes.Reader(yamlnodes.load(text, file, found), found)
    names = {
        name: reader.take(name, str, f'the {name} as text')
        for name in ('host_id', 'region', 'domain')
    }
    own_addresses = {
        name: _address(reader, name, found)
        for name in (
            'address',
            'datagram_address',
            'peer_address',
            'store_address',
        )
    }
    admin_token = reader.take('admin_token', str, 'text', '')
    log_level = _log_level(reader, found)
    reader.finish()
    found.raise_if_any()
    return Settings(
        **names,
        **own_addresses,
        admin_token=admin_token,
        log_level=log_level,
    )


def _address(reader, name, found):
    text = reader.take(name, str, addresses.ADDRESS_EXPECTED)
    if text is None or addresses.is_address(text):
        return text
    found.add(
        reader.node(name).place,
        f'field {name!r} is {text!r}',
        addresses.ADDRESS_EXPECTED,
    )
    return None


def _log_level(reader, found):
    expected = f'one of {", ".join(LOG_LEVELS)}'
    level = reader.take('log_level', str, expected, 'info')
    if level is not None and level not in LOG_LEVELS:
        found.add(
            reader.node('log_level').place,
            f'log level {level!r}',
            expected,
        )
    return level
