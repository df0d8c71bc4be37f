"""Settings file of the platform, translated to the product's settings."""

import os
import pathlib
import tomllib

from laburnumlatch.core import addresses
from laburnumlatch.core import errors
from laburnumlatch.core import findings
from laburnumlatch.mesh import settings
from laburnumlatch.platform import durations

PATH_VARIABLE = 'LABURNUMLATCH_BOOT'
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 200
DEFAULT_LINK_MBPS = 1000
METRICS_PORT = 9464
# The platform's names of the durations in `terms.bounds`, and ours.
_DURATIONS = (
    ('contact_ms', 'contact'),
    ('drain_ms', 'drain'),
    ('grace_ms', 'grace'),
    ('config_apply_ms', 'config_apply'),
    ('max_hold_ms', 'max_hold'),
    ('address_reuse_ms', 'address_reuse'),
    ('recovery_ms', 'recovery'),
    ('retry_window_ms', 'retry_window'),
)
_NUMBERS = (
    ('retry_ratio', 'retry_budget_ratio'),
    ('retry_extra', 'retry_budget_extra'),
)


def path():
    """Return where the settings file is; raise `InvalidInputError`."""
    named = os.environ.get(PATH_VARIABLE)
    if not named:
        raise errors.InvalidInputError(
            f'{PATH_VARIABLE} names no settings file'
        )
    return named


def changed_at(file):
    """Return when a settings file was last changed, None if it is gone."""
    try:
        return pathlib.Path(file).stat().st_mtime_ns
    except OSError:
        return None


def load(file):
    """Read the file; raise `FindingsError` with all problems at once."""
    try:
        text = pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(f'{file}: {error}') from error
    return parse(text, file)


def parse(text, file):
    """Return `settings.Settings` from TOML text; unknown fields are ignored."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.InvalidInputError(f'{file}: {error}') from error
    reader = _Reader(document, file)
    own = settings.Settings(
        host_id=reader.text('self.node_name'),
        domain=reader.text('self.zone'),
        region=reader.text('self.region', ''),
        service=reader.text('self.service'),
        backend_address=reader.address('self.app_address'),
        caller_address=reader.address('network.listen.outbound'),
        ready_address=reader.address('network.listen.ready'),
        control_address=reader.address('network.listen.control'),
        peer_address=reader.internal_address(),
        metrics_address=reader.metrics_address(),
        store_address=reader.address('platform.platform.address'),
        memory_bytes=reader.memory_bytes(),
        cores=reader.cores(),
        link_mbps=reader.limit('link_mbps', DEFAULT_LINK_MBPS),
        bounds=reader.bounds(),
    )
    reader.found.raise_if_any()
    return own


class _Reader:
    """Takes fields by their dotted path and collects what is wrong."""

    def __init__(self, document, file):
        self.found = findings.Findings()
        self._document = document
        self._file = file

    def text(self, name, default=None):
        """Return a text field."""
        found = self._find(name, default)
        if isinstance(found, str):
            return found
        self._add(name, found, 'text')
        return ''

    def address(self, name):
        """Return a field with an `ip:port`."""
        found = self.text(name)
        if found and not addresses.is_address(found):
            self._add(name, found, addresses.ADDRESS_EXPECTED)
        return found

    def internal_address(self):
        """Return the own address with the first port between agents."""
        name = 'network.internal_ports'
        ports = self._find(name, None)
        if not isinstance(ports, list) or not ports:
            self._add(name, ports, 'a list of ports')
            return ''
        return f'{self.text("self.ip")}:{ports[0]}'

    def metrics_address(self):
        """Return where metrics are served, as the deploy file says."""
        return f'{self.text("self.ip")}:{METRICS_PORT}'

    def memory_bytes(self):
        """Return what the process may use."""
        return int(self.limit('memory_mb', DEFAULT_MEMORY_MB) * BYTES_PER_MB)

    def cores(self):
        """Return how many cores of the usual speed the process may use."""
        # The platform's `cpu_cores` tells how fast the core is.
        return self.limit('cpu_share', 1) * self.limit('cpu_cores', 1)

    def limit(self, field, default):
        """Return a number of the host's limits."""
        name = f'self.limits.{field}'
        found = self._find(name, default)
        if type(found) in {int, float}:
            return found
        self._add(name, found, 'a number')
        return default

    def bounds(self):
        """Return the bounds; those that are missing keep their defaults."""
        given = {}
        for own_name, name in _DURATIONS:
            self._take(given, own_name, f'terms.bounds.{name}', self._duration)
        for own_name, name in _NUMBERS:
            self._take(given, own_name, f'terms.bounds.{name}', self._number)
        return settings.Bounds(**given)

    def _take(self, given, own_name, name, convert):
        raw = self._find(name, None)
        if raw is not None:
            given[own_name] = convert(name, raw)

    def _duration(self, name, raw):
        try:
            return durations.parse(raw)
        except errors.InvalidInputError:
            self._add(name, raw, 'a duration like 1500ms')
            return 0

    def _number(self, name, raw):
        if type(raw) in {int, float}:
            return raw
        self._add(name, raw, 'a number')
        return 0

    def _find(self, name, default):
        found = self._document
        for part in name.split('.'):
            if not isinstance(found, dict) or part not in found:
                return default
            found = found[part]
        return found

    def _add(self, name, found, expected):
        problem = f'field {name} is {found!r}'
        if found is None:
            problem = f'field {name} is missing'
        self.found.add(findings.Place(self._file), problem, expected)
