"""The command `bench`."""

import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import click
import orjson

from turmericyard_bench.costs.figures import Figure, render_table
from turmericyard_bench.costs.node_bench import (
    first_token_figures,
    memory_figures,
    relay_figures,
)
from turmericyard_bench.costs.permit_bench import permit_figures
from turmericyard_bench.costs.policy_bench import policy_figures
from turmericyard_bench.costs.start_bench import start_figures
from turmericyard_bench.launch import LaunchError

Measurement = Callable[[], list[Figure]]
MEASUREMENTS: Mapping[str, Measurement] = {
    'relay': relay_figures,
    'first-token': first_token_figures,
    'memory': memory_figures,
    'permit': permit_figures,
    'policy': policy_figures,
    'start': start_figures,
}


def run(names: tuple[str, ...], file: Path | None) -> None:
    """Measure, print the table and exit 1 when a target is missed.

    A measurement that fails is reported on standard error and also leads to
    status 1; the remaining measurements still run.
    """
    started = time.monotonic()
    figures: list[Figure] = []
    failed = False
    for name in names or tuple(MEASUREMENTS):
        click.echo(f'measuring {name}', err=True)
        try:
            figures.extend(MEASUREMENTS[name]())
        except LaunchError as error:
            failed = True
            click.echo(f'not measured: {name}: {error}', err=True)
        write_figures(file, figures)
    click.echo(render_table(figures))
    click.echo(f'took {time.monotonic() - started:.0f} s', err=True)
    met = all(figure.met for figure in figures)
    sys.exit(0 if met and not failed else 1)


def write_figures(file: Path | None, figures: Sequence[Figure]) -> None:
    """Write the figures measured so far as JSON, if a file is given."""
    if file is not None:
        rows = [figure.as_json() for figure in figures]
        file.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


command = click.Command(
    'bench',
    params=[
        click.Argument(['names'], nargs=-1, type=click.Choice(MEASUREMENTS)),
        click.Option(
            ['--json', 'file'],
            type=click.Path(path_type=Path, dir_okay=False),
            help='Also write the figures to this file.',
        ),
    ],
    callback=run,
    help='Measure what a node costs; all measurements unless some are named.',
)
