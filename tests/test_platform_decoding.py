"""Tests of the decoders of the platform's files, rows and calls."""

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

RECEIVED_AT = 1_700_000_009_000
HEARTBEAT = types.MappingProxyType({
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
    """Durations with a unit."""

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [('1500ms', 1500), ('2.5s', 2500), ('0ms', 0), ('3s', 3000)],
    )
    def test_units_are_converted_to_ms(self, text, expected):
        """Guards against reading seconds as milliseconds."""
        assert durations.parse(text) == expected

    @pytest.mark.parametrize('text', ['5', '-1s', '1 s', '', None, 7, '1m'])
    def test_invalid_duration_is_rejected(self, text):
        """Guards against a bound of 0 where the unit is missing or wrong."""
        with pytest.raises(errors.InvalidInputError):
            durations.parse(text)


class TestBootfile:
    """The platform's settings file."""

    def test_fields_are_decoded(self):
        """Guards against an agent that listens at the wrong address."""
        settings = bootfile.parse(SETTINGS, 'settings.toml')
        assert settings.host_id == 'sidecar-grandi-1'
        assert settings.domain == 'grandi'
        assert settings.peer_address == '10.1.0.38:7380'
        assert settings.bounds.drain_ms == 2000
        assert settings.bounds.grace_ms == 6000
        assert settings.memory_bytes == 300_000_000

    @pytest.mark.parametrize(
        ('contracts', 'policy'),
        [('["base"]', 'target'), ('["base", "pressure"]', 'value')],
    )
    def test_wait_policy_follows_the_contracts(self, contracts, policy):
        """Guards against a policy that the deployment has not asked for."""
        text = f'{SETTINGS}\n[terms]\ncontracts = {contracts}\n'
        assert bootfile.parse(text, 'settings.toml').wait_policy == policy

    def test_all_problems_are_reported_together(self):
        """Guards against needing one start of the agent per invalid field."""
        text = SETTINGS.replace('service = "huvo11a"', 'service = 7')
        text = text.replace('drain = "2000ms"', 'drain = "soon"')
        text = text.replace('ready = "10.1.0.38:8141"', '')
        problems = '(?s)listen.ready.*self.service.*bounds.drain'
        with pytest.raises(errors.FindingsError, match=problems):
            bootfile.parse(text, 'settings.toml')

    def test_invalid_toml_is_rejected(self):
        """Guards against a traceback when the file is truncated."""
        with pytest.raises(errors.InvalidInputError):
            bootfile.parse(f'{SETTINGS[:-20]}"', 'settings.toml')


class TestConfigrows:
    """The configuration row."""

    def test_nulls_get_defaults(self):
        """Guards against using a null in a row as the field's value."""
        configuration = configrows.decode(json.dumps(dict(CONFIGURATION)))
        first, second = configuration.routes
        assert first.kind == routes.Kind.ONCE
        assert first.host == 'a.example'
        assert first.timeout_ms == 1200
        assert second.kind == routes.Kind.SAFE
        assert second.timeout_ms is None
        assert second.shares[1] == routes.Share('s2', 10)
        assert configuration.services['s1'].is_divided
        assert not configuration.services['s2'].is_divided
        assert configuration.limits.header_bytes == 100

    def test_longest_prefix_matches(self):
        """Guards against a route that hides one with a longer prefix."""
        configuration = configrows.decode(json.dumps(dict(CONFIGURATION)))
        assert configuration.match('a.example:80', '/p/q/x').name == 'r-2'
        assert configuration.match('a.example', '/p/x').name == 'r-1'
        assert configuration.match('a.example', '/px') is None
        assert configuration.match('b.example', '/p/x') is None

    @pytest.mark.parametrize('tenths', range(10))
    def test_truncated_row_is_rejected(self, tenths):
        """Guards against putting a part of a configuration in force."""
        body = json.dumps(dict(CONFIGURATION))
        with pytest.raises(errors.InvalidInputError):
            configrows.decode(body[: len(body) * tenths // 10])


class TestAnnouncements:
    """Heartbeats of a backend server."""

    def test_fields_are_decoded(self):
        """Guards against taking two runs of a backend server for one.

        Runs with the same server ID differ in `born`, the time of the start.
        """
        build_message = announcements.decode(
            announcements.HEARTBEAT,
            'i-1',
            json.dumps(dict(HEARTBEAT)),
            RECEIVED_AT,
        )
        assert build_message(3) == backendmsg.BackendAnnounced(
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
    def test_missing_field_is_rejected(self, name):
        """Guards against accepting heartbeats of an unknown sender."""
        heartbeat = {
            field: entry for field, entry in HEARTBEAT.items() if field != name
        }
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                json.dumps(heartbeat),
                RECEIVED_AT,
            )

    @hypothesis.given(body=strategies.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, body):
        """Guards against an unexpected exception at bytes that are no JSON."""
        with pytest.raises(errors.InvalidInputError):
            announcements.decode(
                announcements.HEARTBEAT, 'i-1', body, RECEIVED_AT
            )

    @hypothesis.given(
        name=strategies.sampled_from(sorted(HEARTBEAT)),
        entry=strategies.one_of(
            strategies.none(),
            strategies.integers(),
            strategies.lists(strategies.integers(), max_size=2),
        ),
    )
    def test_fields_of_wrong_type_are_rejected(self, name, entry):
        """Guards against messages whose fields have the wrong type."""
        heartbeat = {**HEARTBEAT, name: entry}
        try:
            message = announcements.decode(
                announcements.HEARTBEAT,
                'i-1',
                json.dumps(heartbeat),
                RECEIVED_AT,
            )(1)
        except errors.InvalidInputError:
            return
        assert isinstance(message.slots, int)
        assert isinstance(message.service, str)


class TestFields:
    """Header fields that are forwarded unchanged."""

    def test_hop_by_hop_fields_are_dropped(self):
        """Guards against a `Connection: close` that closes the next hop.

        Fields that the agent itself sets must not be forged by callers.
        """
        forwarded = wire.request_fields([
            ('Connection', 'close, X-Own'),
            ('X-Own', '1'),
            ('X-Caller-Service', 'forged'),
            ('Accept', '*/*'),
            ('X-Deadline-Ms', '5'),
        ])
        assert forwarded == (('Accept', '*/*'),)

    def test_seal_of_a_response_is_kept(self):
        """Guards against responses whose origin cannot be proven."""
        fields = [(wire.SEAL, 'abc'), ('Transfer-Encoding', 'chunked')]
        assert wire.response_fields(fields) == ((wire.SEAL, 'abc'),)
