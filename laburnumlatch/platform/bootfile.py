"""Reads the platform's settings file into the agent's settings."""

import math
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
DEFAULT_DESCRIPTORS = 4096
# Names the rules for callers who compete for too little capacity.
PRESSURE_CONTRACT = 'pressure'
METRICS_PORT = 9464
# Fields of `settings.Bounds` and their names in the file's `terms.bounds`.
_DURATIONS = (
    ('contact_ms', 'contact'),
    ('drain_ms', 'drain'),
    ('grace_ms', 'grace'),
    ('config_apply_ms', 'config_apply'),
    ('max_hold_ms', 'max_hold'),
    ('address_reuse_ms', 'address_reuse'),
    ('recovery_ms', 'recovery'),
    ('retry_window_ms', 'retry_window'),
    ('evacuation_ms', 'evacuation'),
    ('max_stretch_ms', 'max_stretch'),
)
_NUMBERS = (
    ('retry_ratio', 'retry_budget_ratio'),
    ('retry_extra', 'retry_budget_extra'),
    ('cold_overage', 'cold_overage'),
    ('cold_slack', 'cold_slack'),
)


def path():
    """Return the path of the settings file from the environment.

    Raises `errors.InvalidInputError` if `PATH_VARIABLE` is not set.
    """
    file = os.environ.get(PATH_VARIABLE)
    if not file:
        raise errors.InvalidInputError(
            f'{PATH_VARIABLE} is not set to the path of a settings file'
        )
    return file


def changed_at(file):
    """Return a file's modification time in ns, None if it cannot be read."""
    try:
        return pathlib.Path(file).stat().st_mtime_ns
    except OSError:
        return None


def load(file):
    """Return the `settings.Settings` of a file.

    Raises `errors.InvalidInputError` if the file cannot be read or is not
    TOML, and `errors.FindingsError` with all invalid fields at once.
    """
    try:
        text = pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(f'{file}: {error}') from error
    return parse(text, file)


def parse(text, file):
    """Return `settings.Settings` from TOML text; unknown fields are ignored.

    `file` is the path for error messages. Raises the errors of `load`.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.InvalidInputError(f'{file}: {error}') from error
    reader = _Reader(document, file)
    agent_settings = settings.Settings(
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
        max_descriptors=int(reader.limit('max_fds', DEFAULT_DESCRIPTORS)),
        regions=reader.regions(),
        wait_policy=reader.wait_policy(),
    )
    reader.problems.raise_if_any()
    return agent_settings


class _Reader:
    """Reads fields by dotted path and collects invalid ones as findings."""

    def __init__(self, document, file):
        self.problems = findings.Findings()
        self._document = document
        self._file = file

    def text(self, name, default=None):
        """Return a string field; '' if it is invalid."""
        text = self._find(name, default)
        if isinstance(text, str):
            return text
        self._add(name, text, 'text')
        return ''

    def address(self, name):
        """Return a field that must be an `ip:port`."""
        address = self.text(name)
        if address and not addresses.is_address(address):
            self._add(name, address, addresses.ADDRESS_EXPECTED)
        return address

    def internal_address(self):
        """Return the address for other agents: own IP, first internal port."""
        name = 'network.internal_ports'
        ports = self._find(name, None)
        if not isinstance(ports, list) or not ports:
            self._add(name, ports, 'a list of ports')
            return ''
        return f'{self.text("self.ip")}:{ports[0]}'

    def metrics_address(self):
        """Return the address of the metrics; the deploy file has its port."""
        return f'{self.text("self.ip")}:{METRICS_PORT}'

    def regions(self):
        """Return the region of each failure domain, by domain."""
        name = 'network.zones'
        regions = self._find(name, {})
        is_table = isinstance(regions, dict)
        if is_table and all(isinstance(text, str) for text in regions.values()):
            return dict(regions)
        self._add(name, regions, 'a table of region names')
        return {}

    def wait_policy(self):
        """Return the name of the policy for the queue of the server.

        Some deployments have rules for callers who compete for too little
        capacity; all others keep the bound by the target alone.
        """
        name = 'terms.contracts'
        contracts = self._find(name, [])
        if isinstance(contracts, list):
            return 'value' if PRESSURE_CONTRACT in contracts else 'target'
        self._add(name, contracts, 'a list of names')
        return ''

    def memory_bytes(self):
        """Return the memory limit of the process."""
        return int(self.limit('memory_mb', DEFAULT_MEMORY_MB) * BYTES_PER_MB)

    def cores(self):
        """Return the CPU limit, in cores of standard speed."""
        # The platform's `cpu_cores` is the speed of the core.
        return self.limit('cpu_share', 1) * self.limit('cpu_cores', 1)

    def limit(self, field, default):
        """Return a number in `self.limits`."""
        name = f'self.limits.{field}'
        number = self._find(name, default)
        is_number = type(number) in {int, float}
        if is_number and 0 < number < math.inf:
            return number
        self._add(name, number, 'a number above 0')
        return default

    def bounds(self):
        """Return the bounds; missing ones keep the product's defaults."""
        bounds = {}
        for field, name in _DURATIONS:
            self._convert(bounds, field, f'terms.bounds.{name}', self._duration)
        for field, name in _NUMBERS:
            self._convert(bounds, field, f'terms.bounds.{name}', self._number)
        return settings.Bounds(**bounds)

    def _convert(self, bounds, field, name, convert):
        """Set `bounds[field]` to the converted value, unless it is missing."""
        raw = self._find(name, None)
        if raw is not None:
            bounds[field] = convert(name, raw)

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
        entry = self._document
        for part in name.split('.'):
            if not isinstance(entry, dict) or part not in entry:
                return default
            entry = entry[part]
        return entry

    def _add(self, name, entry, expected):
        problem = f'field {name} is {entry!r}'
        if entry is None:
            problem = f'field {name} is missing'
        self.problems.add(findings.Place(self._file), problem, expected)
