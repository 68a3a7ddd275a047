"""Measures slopes over the rates of token requests and of claimed calls."""

import statistics
import time
from dataclasses import dataclass, replace
from itertools import count

import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.costs.capacity import (
    BASE_ENGINES,
    BASE_NODES,
    MEASURED_SECONDS,
    SETTLE_SECONDS,
    measure_point,
)
from turmericyard_bench.costs.harness import (
    Harness,
    ReadPlan,
    consumption_between,
    open_harness,
)
from turmericyard_bench.costs.scrape import read_control_traffic
from turmericyard_bench.costs.slopes import Point, Slope, fit
from turmericyard_bench.costs.tables import (
    SERVICE_PRODUCT,
    TableSize,
    workspace_name,
)
from turmericyard_bench.costs.usage import read_usage
from turmericyard_bench.launch import LaunchError
from turmericyard_bench.records import CallRecord

#: Numbers of readers of short streams, which pause between requests.
REQUEST_STREAM_COUNTS = (0, 4, 12, 24)
REQUEST_TOKENS = 3
REQUEST_PAUSE_SECONDS = 0.4
FAST_STEP_SCALE = 0.1
CALLER_COUNTS = (1, 4, 8)
CALL_PAUSE_SECONDS = 0.3
CALL_TIMEOUT_SECONDS = 10
SERVICE_COUNT = 4


def request_slopes() -> list[Slope]:
    """Vary the requests per second that one node answers."""
    points = []
    for streams in REQUEST_STREAM_COUNTS:
        table = TableSize(engines=BASE_ENGINES)
        with open_harness(table, 1, step_scale=FAST_STEP_SCALE) as harness:
            points.append(request_point(harness, streams))
    return fit('requests of a few tokens a second', points)


def request_point(harness: Harness, streams: int) -> Point:
    """Return the costs of a node; size is the requests per second."""
    if not streams:
        time.sleep(SETTLE_SECONDS)
        return measure_point(harness, 0)
    plan = ReadPlan(
        streams,
        REQUEST_TOKENS,
        MEASURED_SECONDS,
        warm_seconds=SETTLE_SECONDS,
        pause_seconds=REQUEST_PAUSE_SECONDS,
    )
    readers = harness.start_readers(plan, harness.deployment.addresses())
    time.sleep(SETTLE_SECONDS)
    point = measure_point(harness, 0)
    outcomes = readers.wait().outcomes
    if set(outcomes) != {'done'}:
        raise LaunchError(f'requests failed: {dict(outcomes)}')
    return replace(point, size=outcomes['done'] / MEASURED_SECONDS)


def claim_slopes() -> list[Slope]:
    """Vary the calls per second that a node claims before it runs them."""
    points = []
    table = TableSize(engines=BASE_ENGINES, services=SERVICE_COUNT)
    for callers in CALLER_COUNTS:
        with open_harness(table, BASE_NODES) as harness:
            time.sleep(SETTLE_SECONDS)
            points.append(claim_point(harness, callers))
    return fit('claimed calls a node a second', points)


@dataclass(slots=True)
class CallLoad:
    """Callers that each make calls in sequence, each call with a new key."""

    caller: Caller
    ends_at: float
    done: int = 0

    async def run(self, callers: int) -> None:
        """Run callers until `ends_at`."""
        numbers = count()
        tasks = [
            await curio.spawn(self.make_calls, numbers) for _ in range(callers)
        ]
        for task in tasks:
            await task.join()

    async def make_calls(self, numbers: 'count[int]') -> None:
        """Make calls until `ends_at`; raises LaunchError if one fails."""
        while time.monotonic() < self.ends_at:
            number = next(numbers)
            record = CallRecord(
                f'call-{number}',
                workspace_name(0),
                SERVICE_PRODUCT,
                f'key-{number}',
                number,
            )
            await self.caller.call(
                record, patience_seconds=CALL_TIMEOUT_SECONDS
            )
            if not record.done:
                raise LaunchError(f'a call was not answered: {record}')
            self.done += 1
            await curio.sleep(CALL_PAUSE_SECONDS)


def claim_point(harness: Harness, callers: int) -> Point:
    """Return the costs of a node; size is the calls per second it claims."""
    deployment = harness.deployment
    pids = harness.node_pids()
    before = read_control_traffic(deployment)
    first_usages = [read_usage(pid) for pid in pids]
    started = time.monotonic()
    load = CallLoad(
        Caller(workspace_name(0), deployment.addresses()),
        started + MEASURED_SECONDS,
    )
    curio.run(load.run, callers)
    elapsed = time.monotonic() - started
    consumed = [
        consumption_between(first, read_usage(pid), elapsed)
        for first, pid in zip(first_usages, pids, strict=True)
    ]
    after = read_control_traffic(deployment)
    node_seconds = elapsed * len(pids)
    return Point(
        load.done / node_seconds,
        statistics.mean(process.cpu_share for process in consumed),
        statistics.mean(process.rss_bytes for process in consumed),
        (after.peer_bytes - before.peer_bytes) / node_seconds,
        (after.peer_messages - before.peer_messages) / node_seconds,
        (after.store_calls - before.store_calls) / node_seconds,
    )
