"""`turmericyard tables`: check, show, diff and apply the two tables."""

from pathlib import Path
from typing import Any

import click
import curio
from returns.result import Success

from turmericyard_operator.checking.command import (
    check_configuration,
    strict_option,
)
from turmericyard_operator.checking.findings import has_errors
from turmericyard_operator.checking.table_findings import find_in_tables
from turmericyard_operator.edits import (
    create_edit_id,
    read_stored,
    submit_edit,
)
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.session import Session, pass_session
from turmericyard_tables.document import (
    Document,
    configure,
    encode_document,
    read_document,
)
from turmericyard_tables.edit import Edit, RowChange, diff_rows
from turmericyard_tables.ini import Row, Rows, Table, parse_tables

BASE_FILE = '.turmericyard-base.json'
ROUTES_FILE = 'routes.ini'
POOLS_FILE = 'pools.ini'

existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)
routes_argument = click.argument('routes', type=existing_file)
pools_argument = click.argument('pools', type=existing_file)


@click.group()
def tables() -> None:
    """Check, show, compare and apply the routes and pools tables."""


@tables.command()
@routes_argument
@pools_argument
@strict_option
@pass_session
def check(
    session: Session,
    routes: Path,
    pools: Path,
    strict: bool,  # noqa: FBT001
) -> None:
    """Check both files, list every fault and what has no effect.

    With a store, the changes to the tables in force are listed too. Nothing is
    changed.
    """
    rows = read_files(routes, pools)
    checked = configure(Document(rows), 0)
    if not isinstance(checked, Success):
        fail(ExitStatus.INVALID, checked.failure().message)
    findings = find_in_tables(checked.unwrap())
    changes = None
    if session.settings.store:
        stored = curio.run(read_stored, session)[0].rows
        changes = diff_rows(base_rows(routes, stored), rows)
    lines = [f'{len(rows)} rows valid', *(each.text() for each in findings)]
    lines.extend(map(change_text, changes or ()))
    session.show(
        {
            'valid': True,
            'rows': len(rows),
            'findings': [each.values() for each in findings],
            'changes': None
            if changes is None
            else [change_values(each) for each in changes],
        },
        '\n'.join(lines),
    )
    if has_errors(findings, strict=strict):
        fail(ExitStatus.INVALID, 'the tables have warnings: see above')


tables.add_command(check_configuration)


@tables.command()
@click.option(
    '--directory',
    type=click.Path(file_okay=False, path_type=Path),
    help='Write routes.ini and pools.ini to this directory, to edit and apply.',
)
@pass_session
def show(session: Session, directory: Path | None) -> None:
    """Show the stored tables."""
    document, revision = curio.run(read_stored, session)
    if directory is None:
        shown = {
            'revision': revision,
            'routes': document.text(Table.ROUTES),
            'pools': document.text(Table.POOLS),
        }
        text = f'; revision {revision}\n{shown["routes"]}\n{shown["pools"]}'
        session.show(shown, text)
        return
    directory.mkdir(parents=True, exist_ok=True)
    write_text(directory / ROUTES_FILE, document.text(Table.ROUTES))
    write_text(directory / POOLS_FILE, document.text(Table.POOLS))
    write_text(
        directory / BASE_FILE, encode_document(document).unwrap().decode()
    )
    session.show(
        {'revision': revision, 'directory': str(directory)},
        f'revision {revision} written to {directory}',
    )


@tables.command()
@routes_argument
@pools_argument
@pass_session
def diff(session: Session, routes: Path, pools: Path) -> None:
    """Show the row changes that `apply` would make."""
    document, revision = curio.run(read_stored, session)
    changes = diff_rows(
        base_rows(routes, document.rows), read_files(routes, pools)
    )
    session.show(
        {
            'revision': revision,
            'changes': [change_values(each) for each in changes],
        },
        '\n'.join(map(change_text, changes)) or 'no change',
    )


@tables.command()
@routes_argument
@pools_argument
@click.option(
    '--edit-id', help='Id of an earlier attempt whose answer was lost.'
)
@click.option(
    '--replace', is_flag=True, help='Replace stored tables that cannot be read.'
)
@pass_session
def apply(  # noqa: WPS211
    session: Session,
    routes: Path,
    pools: Path,
    edit_id: str | None,
    replace: bool,  # noqa: FBT001
) -> None:
    """Put both files in force as one edit.

    In a directory that `show --directory` wrote, only the rows that differ
    from those shown or last applied there are changed; rows that other
    operators changed stay. Elsewhere the files replace the complete stored
    tables.
    """
    rows = read_files(routes, pools)
    stored: Rows = {}
    if not replace:
        stored = curio.run(read_stored, session)[0].rows
    changes = diff_rows(base_rows(routes, stored), rows)
    edit = Edit(edit_id or create_edit_id(), changes, replace)
    accepted = submit_edit(session, edit)
    update_base(routes, rows)
    session.show(
        {'revision': accepted.revision, 'changes': len(changes)},
        f'revision {accepted.revision}: {len(changes)} rows changed',
    )


def read_files(routes: Path, pools: Path) -> Rows:
    """Return the rows of both files; exits with an error at a fault."""
    parsed = parse_tables(
        routes.read_text(encoding='utf-8'), pools.read_text(encoding='utf-8')
    )
    if not isinstance(parsed, Success):
        fail(ExitStatus.INVALID, parsed.failure().message)
    rows: Rows = parsed.unwrap()
    return rows


def base_rows(routes: Path, stored: Rows) -> Rows:
    """Return the rows from which the files were edited.

    They are those of the base file beside the routes file, else the stored
    ones.
    """
    base = routes.parent / BASE_FILE
    if not base.exists():
        return stored
    document = read_document(base.read_bytes())
    if not isinstance(document, Success):
        fail(
            ExitStatus.INVALID,
            f'{base}: {document.failure().message}; or write the files '
            'again to a new directory with '
            '`turmericyard tables show --directory DIR`',
        )
    rows: Rows = document.unwrap().rows
    return rows


def update_base(routes: Path, rows: Rows) -> None:
    """Write the applied rows to the base file, if there is one."""
    base = routes.parent / BASE_FILE
    if base.exists():
        encoded = encode_document(Document(rows)).unwrap()
        write_text(base, encoded.decode())


def change_values(change: RowChange) -> dict[str, Any]:
    """Return a row change as JSON values."""
    return {
        'row': change.key.section,
        'before': change.before,
        'after': change.after,
    }


def change_text(change: RowChange) -> str:
    """Return a row change as lines, old values with - and new ones with +."""
    lines = [f'[{change.key.section}]']
    lines.extend(row_lines('-', change.before, change.after))
    lines.extend(row_lines('+', change.after, change.before))
    return '\n'.join(lines)


def row_lines(sign: str, row: Row | None, other: Row | None) -> list[str]:
    """Return one line for each key whose value differs in the other row."""
    other_values = other or {}
    return [
        f'{sign} {key} = {text}'
        for key, text in (row or {}).items()
        if other_values.get(key) != text
    ]


def write_text(path: Path, text: str) -> None:
    """Write a text file in UTF-8."""
    path.write_text(text, encoding='utf-8')
