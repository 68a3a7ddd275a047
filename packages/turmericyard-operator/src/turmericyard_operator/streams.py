"""`turmericyard report streams`: why streams did not complete."""

from pathlib import Path

import click
from returns.result import Success

from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.node_log import NodeEvent, read_log
from turmericyard_operator.session import Session, pass_session
from turmericyard_operator.stream_causes import Cause, read_history

LINE = '{streams:>8}  {share:>6.1%}  {cause}{example}'
log_file = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command(
    epilog='Nodes write their log to standard output. A file has the lines of '
    'one node, or lines with the name of the node before the JSON object.'
)
@click.argument('logs', type=log_file, nargs=-1, required=True)
@pass_session
def streams(session: Session, logs: tuple[Path, ...]) -> None:
    """Count the streams in the logs of nodes by how they ended."""
    counted = read_history(read_files(logs)).attempts_by_cause()
    session.show(
        {cause.name.lower(): each for cause, each in counted.items()},
        causes_text(counted),
    )


def read_files(logs: tuple[Path, ...]) -> list[NodeEvent]:
    """Return the events of all files; exits with an error at a fault."""
    events: list[NodeEvent] = []
    for path in logs:
        with path.open('rb') as lines:
            read = read_log(path.name, lines)
        if not isinstance(read, Success):
            fail(ExitStatus.INVALID, read.failure().message)
        events.extend(read.unwrap())
    return events


def causes_text(counted: dict[Cause, list[str]]) -> str:
    """Return one line for each cause, with one attempt as an example."""
    total = sum(map(len, counted.values()))
    lines = [f'{total:>8}  streams opened']
    for cause in Cause:
        attempts = counted.get(cause, [])
        if not attempts:
            continue
        shown = '' if cause is Cause.WHOLE else f', such as {attempts[0]}'
        lines.append(
            LINE.format(
                streams=len(attempts),
                share=len(attempts) / total,
                cause=cause.value,
                example=shown,
            )
        )
    return '\n'.join(lines)
