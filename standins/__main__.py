"""Command line of the stand-ins: `python -m standins demo|costs`."""

import asyncio
import json
import sys
import typing

import attrs
import cappa

from standins import costs
from standins import demo
from standins import deployment
from standins import regions
from standins import summary

# The status that shells report for a program ended by SIGINT.
EXIT_INTERRUPTED = 130


@cappa.command(name='demo', help='Run a deployment for some seconds.')
@attrs.define
class DemoCommand:
    """Run a deployment under load, kill one agent, and print a report."""

    region: typing.Annotated[
        str,
        cappa.Arg(choices=[region.name for region in regions.REGIONS]),
    ]
    seconds: typing.Annotated[
        int,
        cappa.Arg(long='--seconds', help='about how long to send requests'),
    ] = 9
    json: typing.Annotated[
        bool,
        cappa.Arg(long='--json', help='print the report as JSON'),
    ] = False

    def __call__(self):
        """Run the demo; return 0 if all keys of the killed agent recovered."""
        regions_by_name = {region.name: region for region in regions.REGIONS}
        try:
            report = asyncio.run(
                demo.run(regions_by_name[self.region], self.seconds)
            )
        except (deployment.NotReadyError, TimeoutError) as error:
            sys.stderr.write(f'demo: {error or "took too long"}\n')
            return 1
        except (KeyboardInterrupt, asyncio.CancelledError):
            sys.stderr.write('demo: stopped\n')
            return EXIT_INTERRUPTED
        if self.json:
            sys.stdout.write(f'{json.dumps(report, indent=2)}\n')
        else:
            sys.stdout.write(f'{summary.text(report)}\n')
        return 0 if report['loss']['served_again'] else 1


@cappa.command(name='costs', help='Measure what real agents cost.')
@attrs.define
class CostsCommand:
    """Print processor time and memory of agents as JSON.

    This takes about a minute.
    """

    def __call__(self):
        """Run all measurements once and print them."""
        figures = asyncio.run(costs.run())
        sys.stdout.write(f'{json.dumps(figures, indent=2)}\n')


@cappa.command(name='standins')
@attrs.define
class Standins:
    """Stand-ins for the systems around laburnumlatch."""

    command: cappa.Subcommands[DemoCommand | CostsCommand]


if __name__ == '__main__':
    sys.exit(cappa.invoke(Standins))
