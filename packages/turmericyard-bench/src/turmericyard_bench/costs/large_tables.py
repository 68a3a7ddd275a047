"""Measures tables that are close to the store's size limit of a value."""

import statistics
import time
from dataclasses import dataclass

from turmericyard_bench.costs.capacity import (
    BASE_ENGINES,
    BASE_NODES,
    SETTLE_SECONDS,
    edit,
)
from turmericyard_bench.costs.harness import open_harness
from turmericyard_bench.costs.tables import (
    TableSize,
    pools_table,
    routes_table,
)
from turmericyard_bench.costs.usage import read_usage
from turmericyard_tables.document import (
    Document,
    decode_document,
    encode_document,
)
from turmericyard_tables.ini import parse_tables

#: The encoded tables have 98 in 100 of the bytes that the store accepts as one
#: value.
WORKSPACES = 20_000
EDITS = 6
DECODINGS = 5


@dataclass(frozen=True, slots=True)
class LargeTablesCost:
    """Costs of large tables at one node; times in seconds.

    `first_decode` is the processor time of decoding when no row is known yet.
    `next_decode` is the median when all rows are known, as after an edit of one
    row.
    """

    workspaces: int
    document_bytes: int
    first_decode: float
    next_decode: float
    nodes: int
    in_force_median: float
    in_force_longest: float
    rss_bytes: int

    def text(self) -> str:
        """Return the costs as one line."""
        return (
            f'tables of {self.workspaces} workspaces: '
            f'{self.document_bytes} bytes; decoded in '
            f'{self.first_decode:.3f} s, again in {self.next_decode:.3f} s; '
            f'in force at {self.nodes} nodes after '
            f'{self.in_force_median:.2f} s at the median, '
            f'{self.in_force_longest:.2f} s at most; '
            f'{self.rss_bytes} bytes of memory at a node'
        )


def large_tables_cost() -> LargeTablesCost:
    """Measure decoding, and edits of a deployment, with large tables."""
    size = TableSize(engines=BASE_ENGINES, workspaces=WORKSPACES)
    rows = parse_tables(routes_table(size), pools_table(size)).unwrap()
    value = encode_document(Document(rows=rows)).unwrap()
    decodings = [decode_seconds(value) for _ in range(DECODINGS)]
    with open_harness(size, BASE_NODES) as harness:
        time.sleep(SETTLE_SECONDS)
        delays = [edit(harness, number) for number in range(EDITS)]
        memory_bytes = max(
            read_usage(pid).rss_bytes for pid in harness.node_pids()
        )
    return LargeTablesCost(
        WORKSPACES,
        len(value),
        decodings[0],
        statistics.median(decodings[1:]),
        BASE_NODES,
        statistics.median(delays),
        max(delays),
        memory_bytes,
    )


def decode_seconds(value: bytes) -> float:
    """Return the processor time of decoding a value once."""
    started = time.process_time()
    decode_document(value, 1).unwrap()
    return time.process_time() - started
