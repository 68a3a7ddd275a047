"""`turmericyard tables check-configuration`."""

from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

import click
import curio
from returns.result import Success

from turmericyard_operator.checking.changes import (
    EntryChange,
    check_version,
    compare,
)
from turmericyard_operator.checking.configuration_findings import (
    find_in_configuration,
)
from turmericyard_operator.checking.findings import (
    Finding,
    Rule,
    has_errors,
    warning,
)
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.session import Session, pass_session
from turmericyard_ports.border import StoreItemReader
from turmericyard_ports.configuration import Configuration
from turmericyard_ports.settings import Bounds

strict_option = click.option(
    '--strict', is_flag=True, help='End with status 3 at warnings too.'
)


@click.command('check-configuration')
@click.argument(
    'file', type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    '--adapter',
    default='turmericyard_fleet',
    show_default=True,
    help='Package of the adapter of the platform.',
)
@strict_option
@pass_session
def check_configuration(
    session: Session,
    file: Path,
    adapter: str,
    strict: bool,  # noqa: FBT001
) -> None:
    """Check a configuration of the platform, and compare it with the one in
    force if a store is given. Nothing is changed.
    """
    reader: StoreItemReader = import_module(adapter).create_border()
    value = file.read_bytes()
    checked = read_value(reader, value, str(file))
    ignored = reader.ignored_configuration_fields(value)
    findings = (
        *find_in_configuration(checked, Bounds()),
        *map(ignored_finding, ignored),
    )
    changes = None
    if session.settings.store:
        in_force = curio.run(read_in_force, session, reader)
        changes = compare(in_force, checked)
        findings = (*findings, *check_version(in_force, checked, changes))
    show(session, findings, changes)
    if has_errors(findings, strict=strict):
        fail(ExitStatus.INVALID, f'{file} is not fit to be sent: see above')


def read_value(
    reader: StoreItemReader, value: bytes, place: str
) -> Configuration:
    """Return a configuration; exits with an error when it is invalid."""
    read = reader.read_configuration(reader.configuration_key, value)
    if not isinstance(read, Success):
        detail = 'no configuration' if read is None else read.failure()
        fail(ExitStatus.INVALID, f'{place}: {detail}: correct the value')
    configuration: Configuration = read.unwrap()
    return configuration


async def read_in_force(
    session: Session, reader: StoreItemReader
) -> Configuration:
    """Return the configuration in force, an empty one if there is none."""
    store = reader.open_store_at(session.settings.store)
    read = await store.read(reader.configuration_key)
    if not isinstance(read, Success):
        fail(ExitStatus.UNAVAILABLE, read.failure().message)
    entry = read.unwrap()
    if entry is None:
        return Configuration(0)
    return read_value(reader, entry.value, 'the configuration in force')


def ignored_finding(place: str) -> Finding:
    """Return the finding about a field that is not known."""
    return warning(
        Rule.IGNORED,
        place,
        'it is not known and has no effect: correct or remove it',
    )


def show(
    session: Session,
    findings: Sequence[Finding],
    changes: Sequence[EntryChange] | None,
) -> None:
    """Show the findings, and the changes where they are known."""
    values: dict[str, Any] = {
        'valid': not has_errors(findings, strict=False),
        'findings': [each.values() for each in findings],
        'changes': None,
    }
    lines = [each.text() for each in findings] or ['no finding']
    if changes is not None:
        values['changes'] = [
            {'place': each.place, 'before': each.before, 'after': each.after}
            for each in changes
        ]
        lines.extend(each.text() for each in changes)
        lines.append(f'changes to the configuration in force: {len(changes)}')
    session.show(values, '\n'.join(lines))
