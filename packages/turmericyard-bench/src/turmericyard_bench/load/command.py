"""Command `load`: sends seeded requests to nodes and prints a summary."""

import sys
from typing import Any

import click
import curio
import orjson

from turmericyard_bench.load.run import LoadRun
from turmericyard_bench.load.workload import SHAPES, draw_requests

COLUMNS = ('first_token_ms', 'interval_ms', 'whole_ms')
PERCENTILES = ('p50', 'p95', 'p99')


def start(
    *,
    addresses: tuple[str, ...],
    deployment: str,
    rate: float,
    seconds: float,
    seed: int,
    patience_seconds: float,
    output: str,
) -> None:
    """Run the load and print its summary; exit 1 if an answer was faulty."""
    run = LoadRun(addresses, patience_seconds)
    requests = draw_requests(SHAPES[deployment], rate, seconds, seed)
    curio.run(run.run, requests, print_progress)
    summary = {'seed': seed, 'rate': rate, **run.summary()}
    if output == 'json':
        click.echo(orjson.dumps(summary, option=orjson.OPT_INDENT_2).decode())
    else:
        click.echo(render_table(summary))
    sys.exit(1 if run.faults else 0)


def print_progress(text: str) -> None:
    """Print progress to standard error."""
    click.echo(text, err=True)


def render_table(summary: dict[str, Any]) -> str:
    """Return the summary as a text table; times are in milliseconds."""
    head = ''.join(
        f'{f"{column[:-3]} {name}":>19}'
        for column in COLUMNS
        for name in PERCENTILES
    )
    lines = [f'{"product":18}{"whole":>7}{"tokens":>9}{head}']
    for product, fields in summary['products'].items():
        times = ''.join(
            f'{fields[column][name]:>19.1f}'
            for column in COLUMNS
            for name in PERCENTILES
        )
        whole = fields['outcomes'].get('whole', 0)
        lines.append(f'{product:18}{whole:>7}{fields["tokens"]:>9}{times}')
    lines.extend(
        (
            f'seed {summary["seed"]}, {summary["seconds"]:.1f} s, '
            f'{summary["tokens_per_second"]:.0f} tokens/s, '
            f'{summary["resumes"]} resumes',
            f'answers: {summary["answers"]}',
            f'outcomes: {summary["products"]["all"]["outcomes"]}',
            f'faults: {summary["faults"] or "none"}',
        )
    )
    return '\n'.join(lines)


command = click.Command(
    'load',
    params=[
        click.Option(
            ['--address', 'addresses'],
            multiple=True,
            required=True,
            help='IP:PORT of a node for callers; can be given several times.',
        ),
        click.Option(
            ['--deployment'],
            default='vodnik',
            type=click.Choice(sorted(SHAPES)),
            help='Deployment whose products, workspaces and lengths are used.',
        ),
        click.Option(
            ['--rate'], default=2, type=float, help='Requests a second.'
        ),
        click.Option(
            ['--seconds'],
            default=10,
            type=float,
            help='How long requests are sent.',
        ),
        click.Option(['--seed'], default=1, help='Seed of the workload.'),
        click.Option(
            ['--patience-seconds'],
            default=60,
            type=float,
            help='How long a caller retries and resumes.',
        ),
        click.Option(
            ['--output'],
            default='text',
            type=click.Choice(['text', 'json']),
            help='Format of the summary.',
        ),
    ],
    callback=start,
    help='Send seeded requests to nodes and print the results of callers.',
)
