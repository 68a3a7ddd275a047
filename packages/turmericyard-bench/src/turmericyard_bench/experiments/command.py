"""Command `experiment`: runs one experiment and prints its figures."""

import json
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import click

from turmericyard_bench.experiments.ablation import ABLATIONS, run_ablations
from turmericyard_bench.experiments.comparison import Verdict, measure
from turmericyard_bench.experiments.deployments import DEPLOYMENTS
from turmericyard_bench.experiments.plots import (
    plot_intervals,
    plot_preemptions,
    plot_service,
)
from turmericyard_bench.experiments.runs import (
    OWN,
    POLICIES,
    RunSpec,
    run_all,
)
from turmericyard_bench.experiments.scenario import SCENARIOS
from turmericyard_bench.experiments.summary import Summary
from turmericyard_bench.experiments.targets import TARGETS
from turmericyard_bench.workers import default_workers

ALL_POLICIES = 'all'
TARGETS_NAME = 'targets'
ABLATION_NAME = 'ablation'
WEIGHTS_NAME = 'weights'
TAIL_WEIGHTS: tuple[float, ...] = (0, 0.5, 1)
NAMES = (*SCENARIOS, TARGETS_NAME, ABLATION_NAME, WEIGHTS_NAME)


PARAMETERS = [
    click.Argument(['name'], type=click.Choice(NAMES)),
    click.Option(['--seed'], default=1, help='First seed.'),
    click.Option(['--seeds'], default=1, help='Number of seeds.'),
    click.Option(
        ['--policy'],
        default=ALL_POLICIES,
        type=click.Choice((*POLICIES, ALL_POLICIES)),
    ),
    click.Option(
        ['--deployment'],
        default='vodnik',
        type=click.Choice(tuple(DEPLOYMENTS)),
    ),
    click.Option(
        ['--output'],
        default='text',
        type=click.Choice(('text', 'json')),
    ),
    click.Option(
        ['--plots'],
        type=click.Path(path_type=Path, file_okay=False),
        help='Directory for PNG files, such as build/plots.',
    ),
    click.Option(
        ['--processes'],
        default=default_workers(),
        help='Number of runs in parallel.',
    ),
]


@click.command(
    'experiment',
    params=PARAMETERS,
    context_settings={'show_default': True},
)
def command(
    name: str,
    seed: int,
    seeds: int,
    policy: str,
    deployment: str,
    output: str,
    plots: Path | None,
    processes: int,
) -> None:
    """Run the experiment NAME on a virtual clock and print its figures.

    NAME is a scenario, or `targets` (the product's policy against its bounds),
    `ablation` (each mechanism switched off) or `weights` (tail weights). The
    same seed gives the same figures every time.
    """
    seed_range = range(seed, seed + seeds)
    if name == TARGETS_NAME:
        verdicts = measure(TARGETS, (deployment,), seed_range, processes)
        print_rows([asdict(verdict) for verdict in verdicts], output)
        click.echo(summary_line(verdicts), err=True)
        sys.exit(not all(verdict.met for verdict in verdicts))
    if name == ABLATION_NAME:
        rows = run_ablations(ABLATIONS, deployment, seed_range, processes)
        print_rows([asdict(row) for row in rows], output)
        return
    specs = list_specs(name, deployment, policy, seed_range)
    summaries = run_all(specs, processes)
    print_rows(
        [
            create_run_row(spec, summary, output)
            for spec, summary in zip(specs, summaries, strict=True)
        ],
        output,
    )
    if plots:
        write_plots(specs, summaries, plots)


def list_specs(
    name: str,
    deployment: str,
    policy: str,
    seeds: Sequence[int],
) -> list[RunSpec]:
    """Return the runs of an experiment on policies or tail weights."""
    if name == WEIGHTS_NAME:
        return [
            RunSpec('mixed', deployment, OWN, seed, tail_weight=weight)
            for weight in TAIL_WEIGHTS
            for seed in seeds
        ]
    policies = POLICIES if policy == ALL_POLICIES else (policy,)
    return [
        RunSpec(name, deployment, policy_name, seed)
        for policy_name in policies
        for seed in seeds
    ]


def create_run_row(
    spec: RunSpec,
    summary: Summary,
    output: str,
) -> dict[str, object]:
    """Return one run as a row: all figures in JSON, the main ones in text."""
    row: dict[str, object] = {
        'policy': spec.policy,
        'seed': spec.seed,
    }
    if spec.tail_weight is not None:
        row['tail_weight'] = spec.tail_weight
    figures = asdict(summary)
    if output == 'text':
        for long_figure in (
            'interval_histogram',
            'workspace_tokens',
            'workspace_first_token',
            'tokens_by_second',
            'preemptions_by_second',
        ):
            figures.pop(long_figure)
        for product, seconds in figures.pop('first_token_p95').items():
            figures[f'{product}_first_p95'] = seconds
    return row | figures


def print_rows(rows: Sequence[dict[str, object]], output: str) -> None:
    """Print rows as JSON, or as text with a line for each row."""
    if output == 'json':
        click.echo(json.dumps(rows, indent=2))
        return
    for row in rows:
        cells = (f'{key}={format_value(value)}' for key, value in row.items())
        click.echo('  '.join(cells))


def format_value(value: object) -> str:
    """Return a value as text; floats with 4 significant digits."""
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value)


def write_plots(
    specs: Sequence[RunSpec],
    summaries: Sequence[Summary],
    folder: Path,
) -> None:
    """Plot the first run of each policy or tail weight to PNG files."""
    first_summaries: dict[str, Summary] = {}
    for spec, summary in zip(specs, summaries, strict=True):
        weight = spec.tail_weight
        suffix = '' if weight is None else f', tail weight {weight}'
        first_summaries.setdefault(f'{spec.policy}{suffix}', summary)
    stem = f'{specs[0].scenario}-{specs[0].deployment}'
    plot_intervals(first_summaries, folder / f'{stem}-intervals.png')
    plot_preemptions(first_summaries, folder / f'{stem}-preemptions.png')
    plot_service(first_summaries, folder / f'{stem}-service.png')


def summary_line(verdicts: Sequence[Verdict]) -> str:
    """Return how many targets were met."""
    met = sum(verdict.met for verdict in verdicts)
    return f'{met} of {len(verdicts)} targets met'
