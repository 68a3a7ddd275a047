"""Reads and writes the two tables as INI text.

Each row is one section: `[route NAME]` or `[workspace NAME]` in the routes
table, `[pool NAME]` or `[endpoint NAME]` in the pools table. Comments and the
whitespace of values are not preserved.
"""

import configparser
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from turmericyard_tables.errors import InvalidTables, TableFault

#: Valid names of rows, zones and VMs.
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z'


class Table(Enum):
    """The two tables; the value is the name used in messages."""

    ROUTES = 'routes'
    POOLS = 'pools'


#: Kinds of rows by table, in the order in which they are written.
ROW_KINDS: Mapping[Table, tuple[str, ...]] = {
    Table.ROUTES: ('route', 'workspace'),
    Table.POOLS: ('pool', 'endpoint'),
}


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row; kinds are unique across both tables."""

    kind: str
    name: str

    @property
    def section(self) -> str:
        """Return the INI section of the row, without brackets."""
        return f'{self.kind} {self.name}'

    @property
    def table(self) -> Table:
        """Return the table that holds rows of this kind."""
        if self.kind in ROW_KINDS[Table.ROUTES]:
            return Table.ROUTES
        return Table.POOLS


#: The keys and values of one row, as text.
Row = Mapping[str, str]
#: All rows of one or both tables, in the order in which they were read.
Rows = Mapping[RowKey, Row]


def parse_tables(routes: str, pools: str) -> Result[Rows, InvalidTables]:
    """Return the rows of both texts, or all their syntax errors."""
    faults: list[TableFault] = []
    rows: dict[RowKey, Row] = {}
    for table, text in ((Table.ROUTES, routes), (Table.POOLS, pools)):
        rows.update(parse_table(table, text, faults))
    if faults:
        return Failure(InvalidTables(tuple(faults)))
    return Success(rows)


def parse_table(
    table: Table, text: str, faults: list[TableFault]
) -> dict[RowKey, Row]:
    """Return the rows of one text; syntax errors are appended to `faults`."""
    parser = create_parser()
    try:
        parser.read_string(text, source=table.value)
    except configparser.Error as error:
        faults.append(syntax_fault(table, error))
        return {}
    rows: dict[RowKey, Row] = {}
    for section in parser.sections():
        key = parse_section(table, section)
        if key is None:
            faults.append(section_fault(table, section))
        elif key in rows:
            faults.append(duplicate_fault(table, section))
        else:
            rows[key] = normalise_row(parser[section])
    return rows


def create_parser() -> configparser.ConfigParser:
    """Return a parser without defaults, interpolation or inline comments."""
    return configparser.ConfigParser(
        default_section='',
        delimiters=('=',),
        interpolation=None,
        empty_lines_in_values=False,
    )


def parse_section(table: Table, section: str) -> RowKey | None:
    """Return the row key of a section header, None when it is not a row."""
    words = section.split()
    if len(words) != 2 or words[0] not in ROW_KINDS[table]:
        return None
    return RowKey(words[0], words[1])


def normalise_row(row: Row) -> Row:
    """Return the row with whitespace in values reduced to single spaces."""
    return {key: ' '.join(text.split()) for key, text in row.items()}


def render_table(table: Table, rows: Rows) -> str:
    """Return the canonical INI text: rows by kind, then sorted by name."""
    return '\n'.join(
        render_row(key, rows[key])
        for kind in ROW_KINDS[table]
        for key in sorted_keys(rows, kind)
    )


def render_row(key: RowKey, row: Row) -> str:
    """Return the INI section of one row, ending in a newline."""
    lines = [f'[{key.section}]']
    lines.extend(f'{name} = {text}'.rstrip() for name, text in row.items())
    lines.append('')
    return '\n'.join(lines)


def sorted_keys(rows: Rows, kind: str) -> Iterator[RowKey]:
    """Return the keys of one kind, sorted by name."""
    return iter(
        sorted(
            (key for key in rows if key.kind == kind),
            key=lambda key: key.name,
        )
    )


def syntax_fault(table: Table, error: configparser.Error) -> TableFault:
    """Return the error for text that is not valid INI."""
    return TableFault(
        table.value,
        str(getattr(error, 'section', '')),
        str(getattr(error, 'option', '')),
        ' '.join(error.message.split()),
        'sections of `key = value` lines, without repeated sections or keys',
    )


def section_fault(table: Table, section: str) -> TableFault:
    """Return the error for a section that is not a row of the table."""
    allowed = ' and '.join(f'[{kind} NAME]' for kind in ROW_KINDS[table])
    return TableFault(
        table.value,
        section,
        '',
        'a section that is not a row of this table',
        allowed,
    )


def duplicate_fault(table: Table, section: str) -> TableFault:
    """Return the error for a row that occurs a second time."""
    return TableFault(
        table.value,
        section,
        '',
        'a second row of this name',
        'one row for each name',
    )
