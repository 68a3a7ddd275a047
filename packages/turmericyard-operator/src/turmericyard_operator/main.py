"""The command `turmericyard`."""

from pathlib import Path

import click
from returns.result import Success

from turmericyard_operator.burn import report
from turmericyard_operator.call import call
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.places import create_group
from turmericyard_operator.session import Session
from turmericyard_operator.settings import (
    ENVIRONMENT,
    OperatorSettings,
    read_settings,
)
from turmericyard_operator.status import explain, status
from turmericyard_operator.streams import streams
from turmericyard_operator.tables import tables
from turmericyard_tables.edit import PlaceKind

EPILOG = (
    'Exit status: 0 done, 1 failed, 2 wrong usage, 3 invalid input, '
    '4 conflict with another edit, 5 store or nodes unavailable and nothing '
    'changed, 6 outcome unknown, 7 request not run.'
)


@click.group(epilog=EPILOG)
@click.option(
    '--settings',
    'settings_file',
    envvar=ENVIRONMENT,
    type=click.Path(path_type=Path),
    help='INI file with the sections [platform] and [operator]; default: the '
    f'file that the environment variable {ENVIRONMENT} names.',
)
@click.option('--store', help='Address of the store, IP:PORT.')
@click.option('--token-file', help="File that holds the operators' token.")
@click.option(
    '--node',
    'nodes',
    multiple=True,
    help="Operators' address of a node, IP:PORT; repeatable. Default: all "
    'nodes that the store lists.',
)
@click.option(
    '--caller',
    'callers',
    multiple=True,
    help="Callers' address of a node, IP:PORT, for `call`; repeatable.",
)
@click.option('--output', type=click.Choice(['text', 'json']), default='text')
@click.pass_context
def main(
    context: click.Context,
    settings_file: Path | None,
    store: str | None,
    token_file: str | None,
    nodes: tuple[str, ...],
    callers: tuple[str, ...],
    output: str,
) -> None:
    """Operate turmericyard: edit its tables, take zones and VMs out of service,
    show status and reports, and explain decisions.
    """
    settings = OperatorSettings()
    if settings_file is not None:
        checked = read_settings(settings_file)
        if not isinstance(checked, Success):
            fail(ExitStatus.USAGE, checked.failure().message)
        settings = checked.unwrap()
    context.obj = Session(
        OperatorSettings(
            store or settings.store,
            token_file or settings.token_file,
            nodes or settings.nodes,
            callers or settings.callers,
        ),
        output,
    )


main.add_command(tables)
main.add_command(create_group(PlaceKind.ZONE))
main.add_command(create_group(PlaceKind.VM))
main.add_command(status)
main.add_command(explain)
main.add_command(call)
main.add_command(report)
report.add_command(streams)


if __name__ == '__main__':
    main()
