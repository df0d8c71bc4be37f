"""Command line of laburnumlatch: one class per command."""

import asyncio
import contextlib
import sys
import typing

import attrs
import cappa

from laburnumlatch import version
from laburnumlatch.core import clock
from laburnumlatch.core import errors
from laburnumlatch.core import progress
from laburnumlatch.experiments import bench
from laburnumlatch.experiments import faults
from laburnumlatch.experiments import fleetload
from laburnumlatch.experiments import overloadloads
from laburnumlatch.experiments import workload
from laburnumlatch.operators import inspection
from laburnumlatch.operators import publish
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from laburnumlatch.operators import tracing
from laburnumlatch.platform import configrowcodec
from laburnumlatch.platform import runner
from laburnumlatch.platform import tablestore

EXIT_BAD_INPUT = 1
EXIT_UNAVAILABLE = 3

Json = typing.Annotated[bool, cappa.Arg(long='--json', help='print JSON')]
Paths = typing.Annotated[list[str], cappa.Arg(help='files or directories')]


def _progress(name):
    """Return a `progress.Progress` on standard error for a command."""
    return progress.Progress(clock.MonotonicClock(), sys.stderr, name)


@cappa.command(name='agent', help='Run the agent beside a backend server.')
@attrs.define
class AgentCommand:
    """Run the agent until SIGTERM."""

    settings: typing.Annotated[
        str,
        cappa.Arg(help='TOML settings file of the platform'),
    ]

    def __call__(self):
        """Read the settings and serve requests."""
        runner.run(self.settings)


@cappa.command(name='check', help="Check operators' files.")
@attrs.define
class CheckCommand:
    """Print the findings of all files."""

    paths: Paths
    json: Json = False

    def __call__(self):
        """Check all files together; exit with code 1 if there are findings."""
        if not self.json:
            entries = publish.load_entries(self.paths)
            sys.stdout.write(f'{len(entries)} files are valid\n')
            return
        all_findings = ()
        try:
            publish.load_entries(self.paths)
        except errors.FindingsError as error:
            all_findings = error.findings
        sys.stdout.write(report.to_json(report.findings_dict(all_findings)))
        if all_findings:
            raise cappa.Exit(code=EXIT_BAD_INPUT)


@cappa.command(name='publish', help="Publish operators' files.")
@attrs.define
class PublishCommand:
    """Merge the files into the configuration in the store."""

    store: typing.Annotated[
        str,
        cappa.Arg(long='--store', help='ip:port of the store'),
    ]
    paths: Paths
    json: Json = False

    def __call__(self):
        """Check the files, publish them and print the result."""
        entries = publish.load_entries(self.paths)
        published = report.published_dict(asyncio.run(self._publish(entries)))
        sys.stdout.write(
            report.to_json(published)
            if self.json
            else report.published_text(published)
        )

    async def _publish(self, entries):
        with contextlib.closing(tablestore.TableStore(self.store)) as client:
            return await publish.publish(
                client, configrowcodec.PlatformCodec(), entries
            )


@attrs.define
class _InspectionCommand:
    """Base of commands that print state from the store or an agent."""

    store: typing.Annotated[
        str | None,
        cappa.Arg(long='--store', help='ip:port of the store'),
    ] = None
    agent: typing.Annotated[
        str | None,
        cappa.Arg(
            long='--agent', help="ip:port of an agent's metrics endpoint"
        ),
    ] = None
    json: Json = False

    def _print_report(self, make_report, as_text, *path):
        """Print the agent's report at `path`, or that of the store's state.

        `make_report` returns the dict of a `state.State`, `as_text` its lines
        for people.
        """
        document = asyncio.run(self._read_report(make_report, *path))
        sys.stdout.write(
            report.to_json(document) if self.json else as_text(document)
        )

    async def _read_report(self, make_report, *path):
        if bool(self.store) == bool(self.agent):
            raise errors.InvalidInputError('expected --store or --agent')
        if self.agent:
            return await inspection.ask_agent(self.agent, *path)
        with contextlib.closing(tablestore.TableStore(self.store)) as client:
            store_state = await state.from_store(
                client, configrowcodec.PlatformCodec()
            )
        return make_report(store_state)


@cappa.command(name='status', help='Show configuration, plans and hosts.')
@attrs.define
class StatusCommand(_InspectionCommand):
    """Print the configuration, plans and hosts; changes nothing."""

    def __call__(self):
        """Print the status as JSON or text."""
        self._print_report(report.status, report.status_text, 'status')


@cappa.command(name='explain', help='Show who owns a key and why.')
@attrs.define(kw_only=True)
class ExplainCommand(_InspectionCommand):
    """Print the owner of a key; changes nothing."""

    service: typing.Annotated[str, cappa.Arg(help='name of the service')]
    key: typing.Annotated[str, cappa.Arg(help='number of the key')]

    def __call__(self):
        """Print the owner as JSON or text."""
        self._print_report(
            lambda store_state: report.explain(
                store_state, self.service, self.key
            ),
            report.explain_text,
            'explain',
            self.service,
            self.key,
        )


@cappa.command(name='trace', help='Show the log lines about a request.')
@attrs.define
class TraceCommand:
    """Trace a request through log files of agents."""

    request_id: typing.Annotated[str, cappa.Arg(help='ID of the request')]
    paths: typing.Annotated[list[str], cappa.Arg(help='log files')]

    def __call__(self):
        """Print the log lines about the request, sorted by time."""
        progress_line = _progress('trace')
        try:
            request_trace = tracing.trace(
                self.request_id, self.paths, progress_line.report
            )
        except OSError as error:
            raise errors.InvalidInputError(str(error)) from error
        sys.stdout.write(tracing.as_text(request_trace))
        if not request_trace.entries:
            raise cappa.Exit(code=EXIT_BAD_INPUT)


@cappa.command(
    name='workload', help='Measure the policies under a seeded workload.'
)
@attrs.define
class WorkloadCommand:
    """Run a seeded workload on a simulated fleet, without sockets."""

    paths: typing.Annotated[
        list[str],
        cappa.Arg(help="operators' files; default deploy/<deployment>"),
    ] = attrs.Factory(list)
    deployment: typing.Annotated[
        str,
        cappa.Arg(long='--deployment', help='reykjavik or accra'),
    ] = 'reykjavik'
    seed: typing.Annotated[int, cappa.Arg(long='--seed')] = 1
    load: typing.Annotated[
        float,
        cappa.Arg(long='--load', help='ratio of offered work to capacity'),
    ] = 0.6
    seconds: typing.Annotated[
        int,
        cappa.Arg(long='--seconds', help='how long callers send requests'),
    ] = 20
    fault: typing.Annotated[
        str,
        cappa.Arg(long='--fault', help=', '.join(faults.BY_NAME)),
    ] = 'none'
    naive: typing.Annotated[
        bool,
        cappa.Arg(
            long='--naive',
            help='queue until the deadline and choose hosts at random',
        ),
    ] = False

    def __call__(self):
        """Print the measurements as JSON."""
        scenario = workload.scenario(
            self.paths or [f'deploy/{self.deployment}'],
            is_naive=self.naive,
            seed=self.seed,
            load=self.load,
            duration_ms=self.seconds * clock.MS_PER_S,
            fault=self.fault,
        )
        figures = workload.measure(scenario, _progress('workload').report)
        sys.stdout.write(report.to_json(figures))


@cappa.command(
    name='replay', help='Compare policies under the load patterns they address.'
)
@attrs.define
class ReplayCommand:
    """Replay load patterns on a simulated fleet, without sockets."""

    pattern: typing.Annotated[
        str | None,
        cappa.Arg(long='--pattern', help='one pattern; default all'),
    ] = None
    json: Json = False

    def __call__(self):
        """Print the share of callers served in time, by old and new policy."""
        by_name = {**fleetload.patterns(), **overloadloads.patterns()}
        names = [self.pattern] if self.pattern else list(by_name)
        if self.pattern not in {None, *by_name}:
            raise errors.InvalidInputError(
                f'pattern {self.pattern!r}: '
                f'expected one of {", ".join(by_name)}'
            )
        progress_line = _progress('replay')
        figures = {}
        for completed, name in enumerate(names):
            progress_line.report(completed / len(names))
            figures[name] = fleetload.compare(by_name[name])
        output = overloadloads.as_text(figures)
        if self.json:
            output = report.to_json(overloadloads.as_document(figures))
        sys.stdout.write(output)


@cappa.command(name='bench', help='Measure cost against the size of tables.')
@attrs.define
class BenchCommand:
    """Print CPU time in us and memory in bytes for several sizes."""

    def __call__(self):
        """Run every benchmark once."""
        for name, cost in bench.run().items():
            sys.stdout.write(f'{name}: {cost}\n')


@cappa.command(name='laburnumlatch')
@attrs.define
class Laburnumlatch:
    """Router for servers that own keys exclusively."""

    command: cappa.Subcommands[
        AgentCommand
        | CheckCommand
        | PublishCommand
        | StatusCommand
        | ExplainCommand
        | TraceCommand
        | WorkloadCommand
        | ReplayCommand
        | BenchCommand
    ]


def main(argv=None):
    """Run a command and return the exit code.

    `argv` are the arguments; by default those of the process.
    """
    try:
        cappa.invoke(
            Laburnumlatch,
            argv=argv,
            version=version.VERSION,
        )
    except errors.InvalidInputError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_BAD_INPUT
    except errors.StoreError as error:
        sys.stderr.write(f'store: {error}\n')
        return EXIT_UNAVAILABLE
    except errors.AgentUnavailableError as error:
        sys.stderr.write(f'agent: {error}\n')
        return EXIT_UNAVAILABLE
    return 0
