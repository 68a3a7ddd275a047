"""Tables of the example deployments, for tests."""

from pathlib import Path

from turmericyard_tables.document import Document
from turmericyard_tables.ini import Table, parse_tables

EXAMPLES = Path('examples')


def read_example(name: str) -> dict[Table, str]:
    return {
        table: (EXAMPLES / name / f'{table.value}.ini').read_text('utf-8')
        for table in Table
    }


def parse_example(name: str) -> Document:
    texts = read_example(name)
    rows = parse_tables(texts[Table.ROUTES], texts[Table.POOLS]).unwrap()
    return Document(rows)
