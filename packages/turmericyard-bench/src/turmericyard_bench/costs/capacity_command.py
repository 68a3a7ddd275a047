"""The command `capacity`."""

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import click
import orjson

from turmericyard_bench.costs.capacity import (
    SLOPE_MEASUREMENTS,
    EditCost,
    edit_cost,
)
from turmericyard_bench.costs.large_tables import (
    LargeTablesCost,
    large_tables_cost,
)
from turmericyard_bench.costs.loop_steps import (
    LoopStep,
    measure_steps,
    render_steps,
)
from turmericyard_bench.costs.slopes import Slope, render_slopes
from turmericyard_bench.costs.traffic import claim_slopes, request_slopes


def run(file: Path | None) -> None:
    """Measure slopes, edits, large tables and loops; print each result."""
    slopes: list[Slope] = []
    for measure in (*SLOPE_MEASUREMENTS, request_slopes, claim_slopes):
        click.echo(f'measuring {measure.__name__}', err=True)
        measured = measure()
        click.echo(render_slopes(measured))
        slopes.extend(measured)
        write_report(file, slopes, None, None)
    click.echo('measuring edits', err=True)
    edits = edit_cost()
    click.echo(
        f'\nedits at {edits.nodes} nodes: in force everywhere after '
        f'{edits.in_force_median:.2f} s at the median, '
        f'{edits.in_force_longest:.2f} s at most; each {edits.store_calls:.1f} '
        'store calls'
    )
    write_report(file, slopes, edits, None)
    click.echo('measuring large tables', err=True)
    large = large_tables_cost()
    click.echo(large.text())
    click.echo('measuring steps of loops', err=True)
    steps = measure_steps()
    click.echo(f'\n{render_steps(steps)}')
    write_report(file, slopes, edits, large, steps)


def write_report(
    file: Path | None,
    slopes: list[Slope],
    edits: EditCost | None,
    large: LargeTablesCost | None,
    steps: Sequence[LoopStep] = (),
) -> None:
    """Write the results so far as JSON, if a file is given."""
    if file is None:
        return
    report = {
        'slopes': [slope.as_json() for slope in slopes],
        'edits': None if edits is None else asdict(edits),
        'large_tables': None if large is None else asdict(large),
        'loop_steps': [asdict(step) for step in steps],
    }
    file.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))


command = click.Command(
    'capacity',
    params=[
        click.Option(
            ['--json', 'file'],
            type=click.Path(path_type=Path, dir_okay=False),
            help='Also write the slopes to this file.',
        ),
    ],
    callback=run,
    help='Measure how the costs of a node grow with the size of the system.',
)
