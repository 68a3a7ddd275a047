"""Measures the size of a stored configuration and the time of an edit.

`python -m turmericyard_bench.configuration_cost --help`
"""

import time
from collections.abc import Callable

import click
import orjson

from turmericyard_tables.build import check_row
from turmericyard_tables.document import (
    Document,
    decode_document,
    encode_document,
)
from turmericyard_tables.edit import Edit, RowChange, apply_edit
from turmericyard_tables.ini import Row, RowKey

PRODUCTS = 'report, label'
REPEATS = 5
MILLISECONDS = 1000
ENDPOINTS_PER_POOL = 40
PORT = 8000
HOST_RANGE = 250
#: Endpoints and workspaces that the system must support.
TARGET_ENDPOINTS = 1600
TARGET_WORKSPACES = 940


def create_document(endpoints: int, workspaces: int) -> Document:
    """Return a document whose rows are as long as those of the examples."""
    rows: dict[RowKey, Row] = {}
    pools = [
        f'pool-{index}' for index in range(endpoints // ENDPOINTS_PER_POOL + 1)
    ]
    for product in PRODUCTS.split(', '):
        rows[RowKey('route', product)] = {
            'kind': 'generation',
            'pools': ', '.join(pools),
            'deadline_seconds': '180',
        }
    for index in range(workspaces):
        row = {'products': PRODUCTS, 'weight': '1'}
        rows[RowKey('workspace', f'workspace-{index}')] = row
    for name in pools:
        rows[RowKey('pool', name)] = {
            'products': PRODUCTS,
            'kind': 'generation',
            'cold_limit': '1',
            'limit': '16',
            'memory_tokens': '24000',
            'model': 'report-7b',
        }
    for index in range(endpoints):
        rows[RowKey('endpoint', f'report-{index}')] = {
            'pool': pools[index // ENDPOINTS_PER_POOL],
            'address': f'10.0.{index // HOST_RANGE}.{index % HOST_RANGE}:{PORT}',
            'zone': 'lj-a',
            'vm': f'vm-report-{index}',
        }
    return Document(rows)


def uncached_milliseconds(action: Callable[[], object]) -> float:
    """Return the time of one run that starts without cached rows."""
    check_row.cache_clear()
    begin = time.perf_counter()
    action()
    return (time.perf_counter() - begin) * MILLISECONDS


def best_milliseconds(action: Callable[[], object]) -> float:
    """Return the time of the shortest of several runs."""
    times = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        action()
        times.append(time.perf_counter() - begin)
    return min(times) * MILLISECONDS


@click.command()
@click.option('--endpoints', default=TARGET_ENDPOINTS, show_default=True)
@click.option('--workspaces', default=TARGET_WORKSPACES, show_default=True)
def main(endpoints: int, workspaces: int) -> None:
    """Print size and times of a configuration as JSON."""
    document = create_document(endpoints, workspaces)
    value = encode_document(document).unwrap()
    key = RowKey('workspace', 'workspace-0')
    before = document.rows[key]
    edit = Edit('edit', (RowChange(key, before, {**before, 'weight': '2'}),))
    edited = encode_document(apply_edit(edit, document).unwrap()).unwrap()
    figures = {
        'endpoints': endpoints,
        'workspaces': workspaces,
        'value_bytes': len(value),
        'first_decode_ms': uncached_milliseconds(
            lambda: decode_document(value, 1)
        ),
        'next_decode_ms': best_milliseconds(lambda: decode_document(edited, 2)),
        'edit_ms': best_milliseconds(lambda: apply_edit(edit, document)),
    }
    click.echo(orjson.dumps(figures).decode())


if __name__ == '__main__':
    main()
