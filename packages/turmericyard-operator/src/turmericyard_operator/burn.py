"""`turmericyard report burn`: burn rates of error budgets over all nodes."""

import time
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path

import click
import curio
from returns.result import Success

from turmericyard_operator.burn_options import Duration, Rule
from turmericyard_operator.burn_rate import DEFAULT_RULES, AlertRule
from turmericyard_operator.burn_report import BurnReport, create_report
from turmericyard_operator.burn_samples import (
    MissingSample,
    NodeSample,
    Sample,
    decode_samples,
    encode_samples,
    parse_scrape,
)
from turmericyard_operator.burn_text import report_text, report_values
from turmericyard_operator.edits import read_stored
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.node_client import ask_node
from turmericyard_operator.session import Session, pass_session
from turmericyard_tables.build import build_rows
from turmericyard_tables.document import configure
from turmericyard_tables.errors import InvalidTables, TableFault
from turmericyard_tables.ini import Table, parse_table
from turmericyard_tables.models import Route

METRICS = '/metrics'
existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)
new_file = click.Path(dir_okay=False, path_type=Path)


@dataclass(frozen=True, slots=True)
class ScrapePlan:
    """How often all nodes are scraped, and the seconds between scrapes."""

    samples: int
    interval_seconds: float


@click.group()
def report() -> None:
    """Report on error budgets and on streams over all nodes."""


@report.command(
    epilog='Counters only cover the time since a node started. For a report '
    'over hours and days, run the command regularly with --save FILE '
    '--samples 1, and then with --from FILE.'
)
@click.option(
    '--from',
    'saved',
    type=existing_file,
    multiple=True,
    help='Add the samples of a file that --save wrote; repeatable.',
)
@click.option(
    '--save',
    type=new_file,
    help='Append the samples taken now to this file.',
)
@click.option(
    '--samples',
    type=click.IntRange(min=0),
    default=2,
    show_default=True,
    help='Number of samples to take of each node; with 0, only saved samples '
    'are used.',
)
@click.option(
    '--interval',
    type=click.FloatRange(min=0),
    default=5,
    show_default=True,
    help='Seconds between two samples.',
)
@click.option(
    '--period',
    type=Duration(),
    default='30d',
    show_default=True,
    help='Time for which an error budget has to last.',
)
@click.option(
    '--rule',
    'rules',
    type=Rule(),
    multiple=True,
    help='Alert rule SEVERITY:LONG:SHORT:FACTOR; replaces the default three '
    '(page:1h:5m:14.4, page:6h:30m:6, ticket:3d:6h:1); repeatable.',
)
@click.option(
    '--routes',
    type=existing_file,
    help='Routes table with the objectives; default: the one in the store.',
)
@click.option(
    '--html',
    type=new_file,
    help='Write the report with plots to this HTML file.',
)
@pass_session
def burn(  # noqa: WPS211 - one argument an option
    session: Session,
    saved: tuple[Path, ...],
    save: Path | None,
    samples: int,
    interval: float,
    period: float,
    rules: tuple[AlertRule, ...],
    routes: Path | None,
    html: Path | None,
) -> None:
    """Show how fast each product uses up its error budget.

    The objectives are in the rows of the routes table. Nodes that could not
    be reached are listed; counters continue over restarts of nodes.
    """
    scraped = curio.run(take_samples, session, ScrapePlan(samples, interval))
    all_samples = [*read_saved(saved), *scraped]
    if not any(isinstance(sample, NodeSample) for sample in all_samples):
        fail_without_samples(scraped)
    if save is not None:
        append_samples(save, scraped)
    rows = read_routes(session, routes)
    burn_report = create_report(
        all_samples, rows, rules or DEFAULT_RULES, period
    )
    if html is not None:
        write_page(html, burn_report)
    session.show(report_values(burn_report), report_text(burn_report))


async def take_samples(session: Session, plan: ScrapePlan) -> list[Sample]:
    """Return the samples of all nodes, taken as often as planned."""
    samples: list[Sample] = []
    for number in range(plan.samples):
        if number:
            await curio.sleep(plan.interval_seconds)
        samples.extend(await scrape_all(session))
    return samples


async def scrape_all(session: Session) -> list[Sample]:
    """Return a sample of each node; all are scraped concurrently."""
    addresses = await session.node_addresses()
    token = session.token()
    group = curio.TaskGroup()
    async with group:
        for address in addresses:
            await group.spawn(scrape, address, token)
    return list(group.results)


async def scrape(address: str, token: str) -> Sample:
    """Return the sample of one node, or a `MissingSample` with the reason."""
    result = await ask_node(address, METRICS, token)
    now = time.time()
    if not isinstance(result, Success):
        return MissingSample(address, now, result.failure().detail)
    text = result.unwrap().decode('utf-8', 'replace')
    return parse_scrape(address, now, text)


def read_saved(paths: tuple[Path, ...]) -> list[Sample]:
    """Return the samples of saved files; exits with an error at a fault."""
    samples: list[Sample] = []
    for path in paths:
        decoded = decode_samples(str(path), path.read_bytes())
        if not isinstance(decoded, Success):
            fail(ExitStatus.INVALID, decoded.failure().message)
        samples.extend(decoded.unwrap())
    return samples


def append_samples(path: Path, samples: list[Sample]) -> None:
    """Append samples to a file."""
    with path.open('ab') as saved:
        saved.write(encode_samples(samples))


def fail_without_samples(scraped: list[Sample]) -> None:
    """Exit with an error because there are no samples to report on."""
    details = '; '.join(
        f'node {sample.node}: {sample.detail}'
        for sample in scraped
        if isinstance(sample, MissingSample)
    )
    fail(
        ExitStatus.UNAVAILABLE,
        f'no samples to report on ({details or "no node was scraped"}): pass '
        'addresses of nodes with --node, or saved samples with --from',
    )


def read_routes(session: Session, path: Path | None) -> tuple[Route, ...]:
    """Return the routes of a file or of the store; exits at a fault."""
    if path is not None:
        return read_routes_file(path)
    document, revision = curio.run(read_stored, session)
    configured = configure(document, revision)
    if not isinstance(configured, Success):
        fail(ExitStatus.INVALID, configured.failure().message)
    return tuple(configured.unwrap().routes.values())


def read_routes_file(path: Path) -> tuple[Route, ...]:
    """Return the routes of a routes table, checked without its pools."""
    faults: list[TableFault] = []
    text = path.read_text(encoding='utf-8')
    built = build_rows(parse_table(Table.ROUTES, text, faults), faults)
    if faults:
        fail(ExitStatus.INVALID, InvalidTables(tuple(faults)).message)
    return tuple(
        row for row in built['route'].values() if isinstance(row, Route)
    )


def write_page(path: Path, burn_report: BurnReport) -> None:
    """Write the page; the plot library is imported only when one is written."""
    module = import_module('turmericyard_operator.burn_html')
    path.write_text(module.render_page(burn_report), encoding='utf-8')
