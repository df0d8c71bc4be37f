"""Structured log lines: format, volume, a slow reader, and tracing."""

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

LOGGER_NAME = 'requests'


@attrs.define
class ListSink:
    """A log sink that collects lines in a list."""

    written: list = attrs.Factory(list)
    left_out: int = 0

    def write(self, line):
        self.written.append(line)

    def flush(self):
        """Do nothing: `write` has already stored each line."""


def new_handler(sink, time_source=None, wall_clock=None):
    """Return a log handler that writes to `sink`."""
    return logs.StructuredHandler(
        sink,
        'info',
        time_source or clock.ManualClock(),
        wall_clock or clock.WallClock(),
    )


class TestFormat:
    """The format of log lines, which programs parse."""

    def test_values_with_spaces_are_quoted(self):
        """Guards against a value that is parsed as several fields.

        This happens if a value with spaces or quotes, or an empty one, is
        written as it is.
        """
        sink = ListSink()
        with new_handler(sink).applicationbound():
            logs.logger(LOGGER_NAME).info(
                'refused', request='a b', detail='say "x"', empty='', none=None
            )
        entry = tracing.parse(sink.written[0], 'log')
        assert entry.event == 'refused'
        assert entry.fields == {
            'request': 'a b',
            'detail': 'say "x"',
            'empty': '',
            'none': '-',
        }

    def test_past_decision_has_its_own_time(self):
        """Guards against kept decisions that bear the time of writing.

        Decisions about a request may be written long after they were made, at
        the end of the request.
        """
        sink = ListSink()
        with new_handler(sink).applicationbound():
            log = logs.logger(LOGGER_NAME)
            log.info('now')
            log.backdated_notice(1500, 'earlier', {})
        current, past = (tracing.parse(line, '') for line in sink.written)
        assert 1400 < current.time_ms - past.time_ms <= 1500


class TestRateLimit:
    """The volume of the log under load."""

    def test_excess_lines_are_dropped_and_counted(self):
        """Guards against a log that grows with the load.

        Every second 2000 lines are logged; the sum of the reported counts
        must not exceed the number of dropped lines.
        """
        sink = ListSink()
        manual_clock = clock.ManualClock()
        handler = new_handler(sink, manual_clock)
        with handler.applicationbound():
            log = logs.logger(LOGGER_NAME)
            for _ in range(5):
                for number in range(2000):
                    log.info('answered', number=number)
                manual_clock.advance(1000)
        max_lines = linebound.ROUTINE_LINES_PER_S * (5 + linebound.BURST_S)
        assert len(sink.written) <= max_lines + 5
        reported = sum(
            int(line.rpartition('=')[2])
            for line in sink.written
            if 'lines-left-out' in line
        )
        assert 0 < reported <= handler.left_out

    def test_successes_do_not_use_the_limit_of_failures(self):
        """Guards against failures that are not logged under load.

        This happens if many successes use up a limit that both share.
        """
        sink = ListSink()
        with new_handler(sink).applicationbound():
            log = logs.logger(LOGGER_NAME)
            for _ in range(2000):
                log.info('answered')
            log.notice('not-run')
        assert 'not-run' in sink.written[-1]


class TestSink:
    """A reader of standard output that stops reading or exits."""

    async def test_full_pipe_does_not_block(self):
        """Guards against an agent that blocks on a full log pipe.

        The reader does not read 10,000 lines. After that, the lines that the
        sink has kept must arrive complete.
        """
        read_end, write_end = os.pipe()
        sink = linesink.LineSink(write_end)
        started = time.monotonic()
        for _ in range(20):
            for _ in range(500):
                sink.write('x' * 200)
            await asyncio.sleep(0)
        assert time.monotonic() - started < 1
        assert sink.left_out > 0
        # The reader resumes: the kept lines arrive complete and in order.
        received = os.read(read_end, linesink.MAX_WRITE_BYTES)
        sink.flush()
        received += os.read(read_end, linesink.MAX_WRITE_BYTES)
        assert set(received.split(b'\n')[:-1]) == {b'x' * 200}
        os.close(read_end)
        os.close(write_end)

    async def test_closed_pipe_is_no_error(self):
        """Guards against an agent that exits because its log reader has.

        A write to a pipe without a reader fails; the line counts as dropped.
        """
        read_end, write_end = os.pipe()
        sink = linesink.LineSink(write_end)
        os.close(read_end)
        sink.write('x')
        await asyncio.sleep(0)
        assert sink.left_out == 1
        os.close(write_end)


class TestRequests:
    """Log lines about a request."""

    def test_only_failed_requests_are_logged_in_full(self):
        """Guards against failures logged without the decisions before them.

        A request that is answered in time has one line on each of two hosts;
        one whose owner's backend server is down has its decisions as well.
        """
        fleet = fleetsim.deployment()
        sink = ListSink()
        with new_handler(sink, clock.ManualClock()).applicationbound():
            answered = fleet.call('m0', '/look/', 1)
            fleet.run(300)
            owner = next(
                host_id
                for host_id, backend in fleet.backends.items()
                if backend.holds(40_000)
            )
            fleet.backends[owner].is_up = False
            failed = fleet.call('m0', '/look/', 40_000)
            fleet.run(2000)
        assert isinstance(fleet.outcomes[answered], messages.Deliver)
        assert isinstance(fleet.outcomes[failed], messages.Refuse)
        entries = [tracing.parse(line, '') for line in sink.written]
        events_by_request = {
            number: [
                entry.event
                for entry in entries
                if entry.fields.get('request') == f'r{number}'
            ]
            for number in (answered, failed)
        }
        assert not decisions.is_sampled(f'r{answered}')
        assert events_by_request[answered] == ['answered', 'answered']
        assert events_by_request[failed][-1] in {'not-run', 'unknown'}
        assert {'received', 'forwarded', 'queued', 'started'} <= set(
            events_by_request[failed]
        )

    def test_sample_depends_on_the_request_id(self):
        """Guards against sampled requests logged in full on one host only.

        The sample is derived from the ID alone, and takes about one in 64.
        """
        request_ids = [f'{number:x}' for number in range(6400)]
        sampled = [
            request_id
            for request_id in request_ids
            if decisions.is_sampled(request_id)
        ]
        assert 60 < len(sampled) < 140


class TestTrace:
    """The command that traces a request in the logs of several agents."""

    def test_trace_over_two_files(self, tmp_path):
        """Guards against entries out of order, and uncounted bad lines.

        The entries of a request and of its nested calls are merged by time.
        A line that cannot be parsed, such as a traceback or a line cut off,
        is counted.
        """
        stamp = '2026-12-04T10:00:0'
        first = tmp_path / 'h1.log'
        first.write_text(
            f'{stamp}0.100Z notice requests received request=9c service=s\n'
            f'{stamp}0.400Z notice requests not-run request=9c reason=no-room\n'
            f'{stamp}0.500Z info requests answered request=9cd\n'
            'Traceback (most recent call last):\n'
            f'{stamp}0.600Z notice requests not-run request="cut\n',
        )
        second = tmp_path / 'h2.log'
        second.write_text(
            f'sidecar-1 3.2 | {stamp}0.200Z notice requests queue-full'
            ' request=9c wait_ms=9\n'
            f'{stamp}0.300Z notice requests not-run request=9c.1\n',
        )
        progress = []
        trace = tracing.trace('9c', (first, second), progress.append)
        assert [entry.event for entry in trace.entries] == [
            'received',
            'queue-full',
            'not-run',
            'not-run',
        ]
        assert trace.bad_lines == 2
        assert progress[-1] == 1
        text = tracing.as_text(trace)
        assert re.search(r'\+100ms h2.log:sidecar-1 3.2 \| queue-full', text)
        assert '4 of 7 lines' in text


class TestStoreLink:
    """Log lines about the connection to the store."""

    async def test_outage_is_logged_once(self):
        """Guards against a line for each failed call, or none, in an outage.

        One line is logged when the store is lost and one when it is back.
        """
        sink = ListSink()
        answers = []
        store = stores.MemoryStore()
        link = storelink.StoreLink(answers.append, store)
        with new_handler(sink).applicationbound():
            for is_unreachable in (False, True, True, False, False):
                store.down = is_unreachable
                link.carry_out(storemsg.StoreRead('members/scan', 'mesh/'))
                await asyncio.sleep(0.01)
        events = [tracing.parse(line, '').event for line in sink.written]
        assert events == ['store-lost', 'store-regained']
        assert len(answers) == 5
