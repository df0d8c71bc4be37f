"""Structured log lines: bounds, a reader that does not read, tracing."""

import asyncio
import os
import re
import time

import attrs

from laburnumlatch.core import clock
from laburnumlatch.core import linebound
from laburnumlatch.core import linesink
from laburnumlatch.core import logs
from laburnumlatch.core import storelink
from laburnumlatch.core import storemsg
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import decisions
from laburnumlatch.mesh import messages
from laburnumlatch.operators import tracing
from tests import stores

PART = 'requests'


@attrs.define
class Lines:
    """A sink that keeps its lines."""

    written: list = attrs.Factory(list)
    left_out: int = 0

    def write(self, line):
        self.written.append(line)

    def flush(self):
        """Do nothing: each line is kept at once."""


def handler_of(lines, time_source=None):
    """Return a handler that writes into `lines`."""
    return logs.StructuredHandler(
        lines, 'info', time_source or clock.ManualClock()
    )


class TestFormat:
    """Lines are read by programs."""

    def test_values_with_spaces_are_quoted(self):
        """Guards against a detail that splits into several fields."""
        lines = Lines()
        with handler_of(lines).applicationbound():
            logs.logger(PART).info(
                'refused', request='a b', detail='say "x"', empty='', none=None
            )
        entry = tracing.parse(lines.written[0], 'log')
        assert entry.event == 'refused'
        assert entry.fields == {
            'request': 'a b',
            'detail': 'say "x"',
            'empty': '',
            'none': '-',
        }

    def test_past_decision_bears_its_own_time(self):
        """Guards against decisions that all seem made at the end."""
        lines = Lines()
        with handler_of(lines).applicationbound():
            log = logs.logger(PART)
            log.info('now')
            log.past(1500, 'earlier', {})
        now, earlier = (tracing.parse(line, '') for line in lines.written)
        assert 1400 < now.time_ms - earlier.time_ms <= 1500


class TestBounds:
    """The volume of the log under load."""

    def test_flood_is_cut_and_counted(self):
        """Guards against a log that grows with the load."""
        lines = Lines()
        ticker = clock.ManualClock()
        handler = handler_of(lines, ticker)
        with handler.applicationbound():
            log = logs.logger(PART)
            for _ in range(5):
                for number in range(2000):
                    log.info('answered', number=number)
                ticker.advance(1000)
        most = linebound.ROUTINE_LINES_PER_S * (5 + linebound.BURST_S)
        assert len(lines.written) <= most + 5
        told = sum(
            int(line.rpartition('=')[2])
            for line in lines.written
            if 'lines-left-out' in line
        )
        assert 0 < told <= handler.left_out

    def test_flood_of_successes_leaves_room_for_failures(self):
        """Guards against failures that a flood of successes pushes out."""
        lines = Lines()
        with handler_of(lines).applicationbound():
            log = logs.logger(PART)
            for _ in range(2000):
                log.info('answered')
            log.notice('not-run')
        assert 'not-run' in lines.written[-1]


class TestSink:
    """A reader of standard output that stops reading."""

    async def test_full_pipe_stalls_nothing(self):
        """Guards against an agent that waits for its log's reader."""
        reading, writing = os.pipe()
        sink = linesink.LineSink(writing)
        started = time.monotonic()
        for _ in range(20):
            for _ in range(500):
                sink.write('x' * 200)
            await asyncio.sleep(0)
        assert time.monotonic() - started < 1
        assert sink.left_out > 0
        # The reader is back: what was kept comes whole and in order.
        got = os.read(reading, linesink.MAX_WRITE_BYTES)
        sink.flush()
        got += os.read(reading, linesink.MAX_WRITE_BYTES)
        assert set(got.split(b'\n')[:-1]) == {b'x' * 200}
        os.close(reading)
        os.close(writing)

    async def test_reader_that_has_gone_is_no_error(self):
        """Guards against an agent that ends with its log's reader."""
        reading, writing = os.pipe()
        sink = linesink.LineSink(writing)
        os.close(reading)
        sink.write('x')
        await asyncio.sleep(0)
        assert sink.left_out == 1
        os.close(writing)


class TestRequests:
    """What the log says of a request."""

    def test_failed_request_is_whole_and_good_one_is_short(self):
        """Guards against failures without the decisions that led there."""
        fleet = fleetsim.deployment()
        lines = Lines()
        with handler_of(lines, clock.ManualClock()).applicationbound():
            good = fleet.call('m0', '/look/', 1)
            fleet.run(300)
            owner = next(
                host_id
                for host_id, backend in fleet.backends.items()
                if backend.holds(40_000)
            )
            fleet.backends[owner].is_up = False
            failed = fleet.call('m0', '/look/', 40_000)
            fleet.run(2000)
        assert isinstance(fleet.outcomes[good], messages.Deliver)
        assert isinstance(fleet.outcomes[failed], messages.Refuse)
        entries = [tracing.parse(line, '') for line in lines.written]
        by_request = {
            number: [
                entry.event
                for entry in entries
                if entry.fields.get('request') == f'r{number}'
            ]
            for number in (good, failed)
        }
        assert not decisions.is_sampled(f'r{good}')
        assert by_request[good] == ['answered', 'answered']
        assert by_request[failed][-1] in {'not-run', 'unknown'}
        assert {'received', 'forwarded', 'queued', 'started'} <= set(
            by_request[failed]
        )

    def test_sample_is_the_same_everywhere(self):
        """Guards against samples that are whole on one host only."""
        ids = [f'{number:x}' for number in range(6400)]
        sampled = [one for one in ids if decisions.is_sampled(one)]
        assert 60 < len(sampled) < 140


class TestTrace:
    """The command that reads the logs of several agents."""

    def test_path_over_two_files(self, tmp_path):
        """Guards against steps out of order, and lines lost in silence."""
        head = '2026-12-04T10:00:0'
        first = tmp_path / 'h1.log'
        first.write_text(
            f'{head}0.100Z notice requests received request=9c service=s\n'
            f'{head}0.400Z notice requests not-run request=9c reason=no-room\n'
            f'{head}0.500Z info requests answered request=9cd\n'
            'Traceback (most recent call last):\n'
            f'{head}0.600Z notice requests not-run request="cut\n',
        )
        second = tmp_path / 'h2.log'
        second.write_text(
            f'sidecar-1 3.2 | {head}0.200Z notice requests queue-full'
            ' request=9c wait_ms=9\n'
            f'{head}0.300Z notice requests not-run request=9c.1\n',
        )
        shares = []
        found = tracing.trace('9c', (first, second), shares.append)
        assert [entry.event for entry in found.entries] == [
            'received',
            'queue-full',
            'not-run',
            'not-run',
        ]
        assert found.bad_lines == 2
        assert shares[-1] == 1
        text = tracing.as_text(found)
        assert re.search(r'\+100ms h2.log:sidecar-1 3.2 \| queue-full', text)
        assert '4 of 7 lines' in text


class TestStoreLink:
    """What the log says of the store."""

    async def test_one_line_when_lost_and_regained(self):
        """Guards against a flood of lines, or none, in an outage."""
        lines = Lines()
        answers = []
        store = stores.MemoryStore()
        link = storelink.StoreLink(answers.append, store)
        with handler_of(lines).applicationbound():
            for is_away in (False, True, True, False, False):
                store.down = is_away
                link.carry_out(storemsg.StoreRead('members/scan', 'mesh/'))
                await asyncio.sleep(0.01)
        events = [tracing.parse(line, '').event for line in lines.written]
        assert events == ['store-lost', 'store-regained']
        assert len(answers) == 5
