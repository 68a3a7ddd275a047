"""`turmericyard zone` and `turmericyard vm`: take out of and into service."""

import getpass
import time
from functools import partial

import click
import curio

from turmericyard_operator.edits import apply_changes, read_stored
from turmericyard_operator.session import Session, pass_session
from turmericyard_tables.edit import (
    BringIn,
    PlaceKind,
    TakeOut,
    marks_of,
)
from turmericyard_tables.models import Mark

EDIT_ID_HELP = 'Id of an earlier attempt whose answer was lost.'


def create_group(kind: PlaceKind) -> click.Group:
    """Return the command group of zones or of VMs."""
    group = click.Group(
        kind.value,
        help=f'Take a {kind.value} out of service and bring it back.',
    )
    group.add_command(create_out_command(kind))
    group.add_command(create_in_command(kind))
    group.add_command(create_list_command(kind))
    return group


def create_out_command(kind: PlaceKind) -> click.Command:
    """Return the command `out`."""
    return click.Command(
        'out',
        help=f'Take a {kind.value} out of service.',
        callback=pass_session(partial(take_out, kind)),
        params=[
            click.Argument(['name']),
            click.Option(
                ['--reason'],
                default='',
                help='Reason, shown by list and status.',
            ),
            click.Option(
                ['--force'],
                is_flag=True,
                help='Accept a name that no endpoint has.',
            ),
            click.Option(['--edit-id'], help=EDIT_ID_HELP),
        ],
    )


def create_in_command(kind: PlaceKind) -> click.Command:
    """Return the command `in`."""
    return click.Command(
        'in',
        help=f'Bring a {kind.value} back into service.',
        callback=pass_session(partial(bring_in, kind)),
        params=[
            click.Argument(['name']),
            click.Option(['--edit-id'], help=EDIT_ID_HELP),
        ],
    )


def create_list_command(kind: PlaceKind) -> click.Command:
    """Return the command `list`."""
    return click.Command(
        'list',
        help=f'List every {kind.value} that is out of service.',
        callback=pass_session(partial(list_places, kind)),
    )


def take_out(
    kind: PlaceKind,
    session: Session,
    name: str,
    reason: str,
    force: bool,  # noqa: FBT001
    edit_id: str | None,
) -> None:
    """Store the mark that takes a zone or VM out of service."""
    mark = Mark(time.time(), operator_name(), reason)
    accepted = apply_changes(
        session, (TakeOut(kind, name, mark, force),), edit_id
    )
    show_accepted(session, f'{kind.value} {name} out', accepted.revision)


def bring_in(
    kind: PlaceKind, session: Session, name: str, edit_id: str | None
) -> None:
    """Remove the mark that keeps a zone or VM out of service."""
    accepted = apply_changes(session, (BringIn(kind, name),), edit_id)
    show_accepted(session, f'{kind.value} {name} in', accepted.revision)


def list_places(kind: PlaceKind, session: Session) -> None:
    """Print the zones or VMs that are out of service."""
    document, revision = curio.run(read_stored, session)
    marks = marks_of(document, kind)
    lines = [
        f'{name}  out since {time.ctime(mark.since)}  '
        f'{mark.operator}  {mark.reason}'
        for name, mark in sorted(marks.items())
    ]
    session.show(
        {'revision': revision, 'out': dict(marks)},
        '\n'.join(lines) or f'no {kind.value} is out of service',
    )


def show_accepted(session: Session, summary: str, revision: int) -> None:
    """Print the revision of an accepted edit."""
    session.show({'revision': revision}, f'{summary}, revision {revision}')


def operator_name() -> str:
    """Return the login name of the user; empty when it is unknown."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''
