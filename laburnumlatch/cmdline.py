"""The command line."""

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
from laburnumlatch.experiments import workload
from laburnumlatch.operators import inspection
from laburnumlatch.operators import publish
from laburnumlatch.operators import report
from laburnumlatch.operators import state
from laburnumlatch.operators import tracing
from laburnumlatch.platform import configform
from laburnumlatch.platform import runner
from laburnumlatch.platform import tablestore

EXIT_BAD_INPUT = 1
EXIT_UNAVAILABLE = 3

Json = typing.Annotated[bool, cappa.Arg(long='--json', help='print JSON')]
Paths = typing.Annotated[list[str], cappa.Arg(help='files or directories')]


def _progress(name):
    """Return the progress line of a command on standard error."""
    return progress.Progress(clock.MonotonicClock(), sys.stderr, name)


@cappa.command(name='agent', help='Run the agent beside a backend server.')
@attrs.define
class AgentCommand:
    """Run until SIGTERM."""

    settings: typing.Annotated[
        str,
        cappa.Arg(help='settings file of the platform, TOML'),
    ]

    def __call__(self):
        """Read the settings and serve."""
        runner.run(self.settings)


@cappa.command(name='check', help="Check operators' files.")
@attrs.define
class CheckCommand:
    """Print every finding."""

    paths: Paths
    json: Json = False

    def __call__(self):
        """Check all files together; exit with 1 if there are findings."""
        if not self.json:
            entries = publish.load_entries(self.paths)
            sys.stdout.write(f'{len(entries)} files are valid\n')
            return
        found = ()
        try:
            publish.load_entries(self.paths)
        except errors.FindingsError as error:
            found = error.findings
        sys.stdout.write(report.to_json(report.findings_dict(found)))
        if found:
            raise cappa.Exit(code=EXIT_BAD_INPUT)


@cappa.command(name='publish', help="Publish operators' files.")
@attrs.define
class PublishCommand:
    """Merge the files into the accepted configuration."""

    store: typing.Annotated[
        str,
        cappa.Arg(long='--store', help='ip:port of the store'),
    ]
    paths: Paths
    json: Json = False

    def __call__(self):
        """Check, then publish."""
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
                client, configform.PlatformForm(), entries
            )


@attrs.define
class _Inspection:
    """Where to read state, and how to print it."""

    store: typing.Annotated[
        str | None,
        cappa.Arg(long='--store', help='ip:port of the store'),
    ] = None
    agent: typing.Annotated[
        str | None,
        cappa.Arg(long='--agent', help="an agent's ip:port of metrics"),
    ] = None
    json: Json = False

    def _show(self, show, as_text, *path):
        """Print what the agent answers under `path`, or `show(state)`."""
        shown = asyncio.run(self._read(show, *path))
        sys.stdout.write(report.to_json(shown) if self.json else as_text(shown))

    async def _read(self, show, *path):
        if bool(self.store) == bool(self.agent):
            raise errors.InvalidInputError('expected --store or --agent')
        if self.agent:
            return await inspection.ask_agent(self.agent, *path)
        with contextlib.closing(tablestore.TableStore(self.store)) as client:
            known = await state.from_store(client, configform.PlatformForm())
        return show(known)


@cappa.command(name='status', help='Show configuration, plans and hosts.')
@attrs.define
class StatusCommand(_Inspection):
    """Read only."""

    def __call__(self):
        """Print the state."""
        self._show(report.status, report.status_text, 'status')


@cappa.command(name='explain', help='Show who owns a key and why.')
@attrs.define(kw_only=True)
class ExplainCommand(_Inspection):
    """Read only."""

    service: typing.Annotated[str, cappa.Arg(help='name of the service')]
    key: typing.Annotated[str, cappa.Arg(help='the key')]

    def __call__(self):
        """Print the owner."""
        self._show(
            lambda known: report.explain(known, self.service, self.key),
            report.explain_text,
            'explain',
            self.service,
            self.key,
        )


@cappa.command(name='trace', help='Show the way of a request from logs.')
@attrs.define
class TraceCommand:
    """Read the log files of agents."""

    request_id: typing.Annotated[str, cappa.Arg(help='ID of the request')]
    paths: typing.Annotated[list[str], cappa.Arg(help='log files')]

    def __call__(self):
        """Print each decision about the request in order of time."""
        shown = _progress('trace')
        try:
            found = tracing.trace(self.request_id, self.paths, shown.report)
        except OSError as error:
            raise errors.InvalidInputError(str(error)) from error
        sys.stdout.write(tracing.as_text(found))
        if not found.entries:
            raise cappa.Exit(code=EXIT_BAD_INPUT)


@cappa.command(name='workload', help='Measure the policies on a workload.')
@attrs.define
class WorkloadCommand:
    """Run a seeded workload through the tables, without sockets."""

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
        cappa.Arg(long='--load', help='offered work over capacity'),
    ] = 0.6
    seconds: typing.Annotated[
        int,
        cappa.Arg(long='--seconds', help='time in which callers send'),
    ] = 20
    fault: typing.Annotated[
        str,
        cappa.Arg(long='--fault', help=', '.join(faults.BY_NAME)),
    ] = 'none'
    naive: typing.Annotated[
        bool,
        cappa.Arg(long='--naive', help='wait to deadlines, choose by chance'),
    ] = False

    def __call__(self):
        """Print the measures as JSON."""
        chosen = workload.scenario(
            self.paths or [f'deploy/{self.deployment}'],
            is_naive=self.naive,
            seed=self.seed,
            load=self.load,
            duration_ms=self.seconds * clock.MS_PER_S,
            fault=self.fault,
        )
        figures = workload.measure(chosen, _progress('workload').report)
        sys.stdout.write(report.to_json(figures))


@cappa.command(name='replay', help='Compare policies on loads at their worst.')
@attrs.define
class ReplayCommand:
    """Replay load patterns on a deployment in memory."""

    pattern: typing.Annotated[
        str | None,
        cappa.Arg(long='--pattern', help='one pattern; default all'),
    ] = None
    json: Json = False

    def __call__(self):
        """Print the share of callers answered in time, before and now."""
        known = fleetload.patterns()
        names = [self.pattern] if self.pattern else list(known)
        if self.pattern not in {None, *known}:
            raise errors.InvalidInputError(
                f'pattern {self.pattern!r}: expected one of {", ".join(known)}'
            )
        shown = _progress('replay')
        figures = {}
        for done, name in enumerate(names):
            shown.report(done / len(names))
            figures[name] = fleetload.compare(known[name])
        show = report.to_json if self.json else fleetload.as_text
        sys.stdout.write(show(figures))


@cappa.command(name='bench', help='Measure slopes of cost.')
@attrs.define
class BenchCommand:
    """Print processor time in us and memory in bytes by size."""

    def __call__(self):
        """Measure everything once."""
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
    """Run the program; return the exit code."""
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
