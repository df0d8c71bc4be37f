"""What the platform writes, decoded to the product's types."""

import json
import types

import hypothesis
import pytest
from hypothesis import strategies

from laburnumlatch.core import errors
from laburnumlatch.mesh import backendmsg
from laburnumlatch.mesh import ranges
from laburnumlatch.mesh import routes
from laburnumlatch.platform import announcements
from laburnumlatch.platform import bootfile
from laburnumlatch.platform import configrows
from laburnumlatch.platform import durations
from laburnumlatch.platform import wire

SETTINGS = """
[self]
node_name = "sidecar-grandi-1"
ip = "10.1.0.38"
zone = "grandi"
region = "hofudborg"
app_address = "10.1.0.38:8145"
service = "huvo11a"
[self.limits]
memory_mb = 300
[network]
internal_ports = [7380,7395]
[network.listen]
inbound = "10.1.0.38:8146"
outbound = "10.1.0.38:8147"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
[platform.platform]
address = "10.200.1.7:8142"
[terms.bounds]
drain = "2000ms"
grace = "6s"
retry_budget_ratio = 0.2
unknown_to_us = "7 apples"
"""

CONFIGURATION = types.MappingProxyType({
    'version': 7,
    'routes': {
        'columns': [
            'name',
            'host',
            'path_prefix',
            'kind',
            'timeout',
            'target_latency',
            'priority',
            'service',
            'max_attempts',
            'traffic_split',
        ],
        'rows': [
            [
                'r-1',
                'A.example',
                '/p/',
                'non_idempotent',
                '1200ms',
                '800ms',
                1,
                's1',
                2,
                None,
            ],
            [
                'r-2',
                'a.example',
                '/p/q/',
                'safe',
                None,
                None,
                None,
                None,
                None,
                [
                    {'service': 's1', 'weight': 90},
                    {'service': 's2', 'weight': 10},
                ],
            ],
        ],
    },
    'services': {
        'columns': ['name', 'health_path', 'max_connections', 'sharded'],
        'rows': [['s1', '/health', 130, True], ['s2', '/h', 10, None]],
    },
    'limits': {'max_header_bytes': 100, 'idle_timeout': '15s'},
})

READ_AT = 1_700_000_009_000
BEAT = types.MappingProxyType({
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'grandi',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_remaining': '1.5s',
    'sequence': 4,
    'born': 1_700_000_000_000,
})


class TestDurations:
    """Numbers with a unit."""

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [('1500ms', 1500), ('2.5s', 2500), ('0ms', 0), ('3s', 3000)],
    )
    def test_units(self, text, expected):
        """Guards against seconds that are read as milliseconds."""
        assert durations.parse(text) == expected

    @pytest.mark.parametrize('text', ['5', '-1s', '1 s', '', None, 7, '1m'])
    def test_other_text_is_refused(self, text):
        """Guards against a bound of 0 where a unit is missing."""
        with pytest.raises(errors.InvalidInputError):
            durations.parse(text)


class TestBootfile:
    """The platform's settings file."""

    def test_fields_are_translated(self):
        """Guards against a process that listens at the wrong address."""
        own = bootfile.parse(SETTINGS, 'settings.toml')
        assert own.host_id == 'sidecar-grandi-1'
        assert own.domain == 'grandi'
        assert own.peer_address == '10.1.0.38:7380'
        assert own.bounds.drain_ms == 2000
        assert own.bounds.grace_ms == 6000
        assert own.memory_bytes == 300_000_000

    def test_all_problems_are_reported_together(self):
        """Guards against one start for each mistake."""
        text = SETTINGS.replace('service = "huvo11a"', 'service = 7')
        text = text.replace('drain = "2000ms"', 'drain = "soon"')
        text = text.replace('ready = "10.1.0.38:8141"', '')
        problems = '(?s)listen.ready.*self.service.*bounds.drain'
        with pytest.raises(errors.FindingsError, match=problems):
            bootfile.parse(text, 'settings.toml')

    def test_file_that_is_no_toml(self):
        """Guards against a traceback at a file that was cut."""
        with pytest.raises(errors.InvalidInputError):
            bootfile.parse(f'{SETTINGS[:-20]}"', 'settings.toml')


class TestConfigrows:
    """The operator's configuration."""

    def test_columns_and_nulls(self):
        """Guards against null fields that are taken as values."""
        found = configrows.decode(json.dumps(dict(CONFIGURATION)))
        first, second = found.routes
        assert first.kind == routes.Kind.ONCE
        assert first.host == 'a.example'
        assert first.timeout_ms == 1200
        assert second.kind == routes.Kind.SAFE
        assert second.timeout_ms is None
        assert second.shares[1] == routes.Share('s2', 10)
        assert found.services['s1'].is_divided
        assert not found.services['s2'].is_divided
        assert found.limits.header_bytes == 100

    def test_longest_prefix_wins(self):
        """Guards against a route that hides a more exact one."""
        found = configrows.decode(json.dumps(dict(CONFIGURATION)))
        assert found.match('a.example:80', '/p/q/x').name == 'r-2'
        assert found.match('a.example', '/p/x').name == 'r-1'
        assert found.match('a.example', '/px') is None
        assert found.match('b.example', '/p/x') is None

    @pytest.mark.parametrize('tenth', range(10))
    def test_cut_row_is_refused(self, tenth):
        """Guards against half a configuration in force."""
        whole = json.dumps(dict(CONFIGURATION))
        with pytest.raises(errors.InvalidInputError):
            configrows.decode(whole[: len(whole) * tenth // 10])


class TestAnnouncements:
    """What a backend server tells of itself."""

    def test_fields_are_translated(self):
        """Guards against a life that is told by identity alone."""
        make = announcements.decode(
            announcements.HEARTBEAT, 'i-1', json.dumps(dict(BEAT)), READ_AT
        )
        assert make(3) == backendmsg.BackendAnnounced(
            call_number=3,
            life=ranges.Life('i-1', 1_700_000_000_000),
            service='s1',
            address='10.0.0.1:80',
            slots=6,
            is_draining=False,
            sequence=4,
            cold_ms=1500,
        )

    @pytest.mark.parametrize('name', ['service', 'born', 'slots', 'state'])
    def test_missing_field_names_no_server(self, name):
        """Guards against announcements of another writer."""
        beat = {key: text for key, text in BEAT.items() if key != name}
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT, 'i-1', json.dumps(beat), READ_AT
            )

    @hypothesis.given(body=strategies.binary(max_size=200))
    def test_any_bytes(self, body):
        """Guards against bytes that end the process."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(announcements.HEARTBEAT, 'i-1', body, READ_AT)

    @hypothesis.given(
        name=strategies.sampled_from(sorted(BEAT)),
        text=strategies.one_of(
            strategies.none(),
            strategies.integers(),
            strategies.lists(strategies.integers(), max_size=2),
        ),
    )
    def test_wrong_types(self, name, text):
        """Guards against fields of another type."""
        beat = {**BEAT, name: text}
        try:
            told = announcements.decode(
                announcements.HEARTBEAT, 'i-1', json.dumps(beat), READ_AT
            )(1)
        except errors.InvalidInputError:
            return
        assert isinstance(told.slots, int)
        assert isinstance(told.service, str)


class TestFields:
    """Header fields that go on unchanged."""

    def test_fields_of_one_hop_stay(self):
        """Guards against a caller's connection that ends the next one."""
        passed = wire.passed_on([
            ('Connection', 'close, X-Own'),
            ('X-Own', '1'),
            ('X-Caller-Service', 'forged'),
            ('Accept', '*/*'),
            ('X-Deadline-Ms', '5'),
        ])
        assert passed == (('Accept', '*/*'),)

    def test_proof_of_an_answer_is_kept(self):
        """Guards against answers whose origin cannot be shown."""
        fields = [(wire.SEAL, 'abc'), ('Transfer-Encoding', 'chunked')]
        assert wire.answer_fields(fields) == ((wire.SEAL, 'abc'),)
