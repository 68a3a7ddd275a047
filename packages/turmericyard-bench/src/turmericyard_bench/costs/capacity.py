"""Measures how the costs of a node grow with the size of the system.

Each point is measured in a separate deployment on loopback, which is idle,
relays paced streams or applies edits.
"""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from turmericyard_bench.costs.harness import (
    Harness,
    ReadPlan,
    measure_consumption,
    open_harness,
)
from turmericyard_bench.costs.scrape import read_control_traffic
from turmericyard_bench.costs.slopes import Point, Slope, fit
from turmericyard_bench.costs.tables import TableSize
from turmericyard_bench.deployment import wait_until
from turmericyard_bench.launch import LaunchError
from turmericyard_http.clock import boot_seconds

#: Time for connections and caches to settle, in seconds.
SETTLE_SECONDS = 5.0
#: Time in which a new fleet distributes its view and members, in seconds.
FLEET_SETTLE_SECONDS = 25.0
MEASURED_SECONDS = 6.0
#: A node sends heartbeats to all peers in fleets of up to 16 nodes, and to a
#: few random peers in larger ones.
SMALL_FLEETS = (3, 8, 16)
LARGE_FLEETS = (18, 24, 30)
ENDPOINT_COUNTS = (6, 18, 36)
WORKSPACE_COUNTS = (1, 300, 940)
STREAM_COUNTS = (0, 60, 120, 240)
EDIT_COUNT = 8
EDIT_NODES = 9
BASE_NODES = 3
BASE_ENGINES = 6
STREAM_TOKENS = 2000
IN_FORCE_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class EditCost:
    """Cost of edits; times in seconds until an edit is in force at all nodes.

    `store_calls` is the number for one edit, summed over all nodes. Bytes sent
    between nodes are omitted: the variation of the heartbeats hides those of an
    edit.
    """

    nodes: int
    in_force_median: float
    in_force_longest: float
    store_calls: float


def measure_point(harness: Harness, size: float) -> Point:
    """Return the costs of a node, as the mean over all nodes."""
    pids = harness.node_pids()
    before = read_control_traffic(harness.deployment)
    started = time.monotonic()
    consumed = measure_consumption(pids, MEASURED_SECONDS)
    after = read_control_traffic(harness.deployment)
    node_seconds = (time.monotonic() - started) * len(pids)
    return Point(
        size,
        statistics.mean(node.cpu_share for node in consumed),
        statistics.mean(node.rss_bytes for node in consumed),
        (after.peer_bytes - before.peer_bytes) / node_seconds,
        (after.peer_messages - before.peer_messages) / node_seconds,
        (after.store_calls - before.store_calls) / node_seconds,
    )


def idle_point(
    table: TableSize,
    nodes: int,
    size: float,
    settle_seconds: float = SETTLE_SECONDS,
) -> Point:
    """Return the costs of a node of an idle deployment."""
    with open_harness(table, nodes) as harness:
        time.sleep(settle_seconds)
        return measure_point(harness, size)


def node_slopes() -> list[Slope]:
    """Vary the number of nodes, separately for each kind of heartbeat."""
    table = TableSize(engines=BASE_ENGINES)
    small, large = (
        [
            idle_point(table, count, count, FLEET_SETTLE_SECONDS)
            for count in counts
        ]
        for counts in (SMALL_FLEETS, LARGE_FLEETS)
    )
    return [*fit('nodes up to 16', small), *fit('nodes above 16', large)]


def endpoint_slopes() -> list[Slope]:
    """Vary the number of engines that a node owns."""
    return fit(
        'engines owned by a node',
        [
            idle_point(TableSize(engines=count), BASE_NODES, count / BASE_NODES)
            for count in ENDPOINT_COUNTS
        ],
    )


def workspace_slopes() -> list[Slope]:
    """Vary the number of workspaces in the tables."""
    return fit(
        'workspaces',
        [
            idle_point(
                TableSize(engines=BASE_ENGINES, workspaces=count),
                BASE_NODES,
                count,
            )
            for count in WORKSPACE_COUNTS
        ],
    )


def stream_slopes() -> list[Slope]:
    """Vary the tokens per second that one node relays."""
    points = []
    for streams in STREAM_COUNTS:
        with open_harness(TableSize(engines=BASE_ENGINES), 1) as harness:
            points.append(stream_point(harness, streams))
    return fit('tokens relayed a second', points)


def stream_point(harness: Harness, streams: int) -> Point:
    """Return the costs of a node that relays streams; size is tokens/s."""
    if not streams:
        time.sleep(SETTLE_SECONDS)
        return measure_point(harness, 0)
    plan = ReadPlan(
        streams,
        STREAM_TOKENS,
        MEASURED_SECONDS,
        warm_seconds=SETTLE_SECONDS,
    )
    readers = harness.start_readers(plan, harness.deployment.addresses())
    time.sleep(SETTLE_SECONDS)
    point = measure_point(harness, 0)
    tokens = readers.wait().tokens
    return Point(
        tokens / MEASURED_SECONDS,
        point.cpu_share,
        point.rss_bytes,
        point.peer_bytes,
        point.peer_messages,
        point.store_calls,
    )


def edit_cost() -> EditCost:
    """Measure edits that take a zone out and in, until each is in force."""
    with open_harness(TableSize(engines=BASE_ENGINES), EDIT_NODES) as harness:
        time.sleep(SETTLE_SECONDS)
        idle_rate = idle_store_call_rate(harness)
        before = read_control_traffic(harness.deployment)
        started = time.monotonic()
        delays = [edit(harness, number) for number in range(EDIT_COUNT)]
        elapsed = time.monotonic() - started
        after = read_control_traffic(harness.deployment)
    call_count = after.store_calls - before.store_calls
    return EditCost(
        EDIT_NODES,
        statistics.median(delays),
        max(delays),
        (call_count - idle_rate * elapsed) / EDIT_COUNT,
    )


def idle_store_call_rate(harness: Harness) -> float:
    """Return the store calls per second of all nodes without edits."""
    before = read_control_traffic(harness.deployment)
    time.sleep(MEASURED_SECONDS)
    after = read_control_traffic(harness.deployment)
    return (after.store_calls - before.store_calls) / MEASURED_SECONDS


def edit(harness: Harness, number: int) -> float:
    """Make an edit; return the seconds until it is in force at all nodes.

    Raises LaunchError when that takes too long.
    """
    deployment = harness.deployment
    revision = max(node.revision() for node in deployment.running_nodes())
    verb = 'in' if number % 2 else 'out'
    answer = deployment.require('zone', verb, 'zone-0')
    accepted_at = answer.ended
    if not wait_until(
        lambda: deployment.in_force(revision + 1), IN_FORCE_TIMEOUT_SECONDS
    ):
        raise LaunchError(f'edit {number} is not in force at every node')
    return max(0, boot_seconds() - accepted_at)


SlopeMeasurement = Callable[[], list[Slope]]
SLOPE_MEASUREMENTS: tuple[SlopeMeasurement, ...] = (
    node_slopes,
    endpoint_slopes,
    workspace_slopes,
    stream_slopes,
)
