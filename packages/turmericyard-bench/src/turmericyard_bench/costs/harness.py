"""Deployments and readers of the process benchmarks."""

import json
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from turmericyard_bench.costs.tables import TableSize, write_example
from turmericyard_bench.costs.usage import Usage, read_usage
from turmericyard_bench.deployment import Deployment, Plan, start_deployment
from turmericyard_bench.launch import (
    Launcher,
    LaunchError,
    RunningProcess,
    create_launcher,
)
from turmericyard_bench.meter import Meter

READER_MODULE = 'turmericyard_bench.costs.reader'
#: Time after which engines drop abandoned generations, in seconds. It is short
#: so that a reader leaves none behind when the next one starts.
ENGINE_GRACE_SECONDS = 0.5
#: Time that readers may take beyond their planned time, in seconds.
READER_OVERRUN_SECONDS = 90


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Work of readers: `streams` are divided among `processes`.

    `length` is the number of tokens of a stream. With `direct`, engines are
    read instead of nodes.
    """

    streams: int
    length: int
    seconds: float
    processes: int = 4
    warm_seconds: float = 3
    workspaces: int = 1
    direct: bool = False
    pause_seconds: float = 0


@dataclass(frozen=True, slots=True)
class Consumption:
    """Consumption of a process over a period.

    `cpu_share` is a share of one core; `rss_bytes` is read at the end.
    """

    cpu_share: float
    rss_bytes: int


@dataclass(slots=True)
class Readers:
    """Running reader processes of a plan."""

    plan: ReadPlan
    processes: list[RunningProcess]

    def wait(self) -> Meter:
        """Wait for all readers; return the sum of their meters.

        Raises LaunchError when a reader fails or takes too long.
        """
        total = Meter()
        limit = self.plan.warm_seconds + self.plan.seconds
        for process in self.processes:
            status = process.wait(limit + READER_OVERRUN_SECONDS)
            text = process.log.read_text(encoding='utf-8')
            if status != 0:
                raise LaunchError(f'{process.name} ended with {status}: {text}')
            total.add_encoded(json.loads(text.splitlines()[-1]))
        return total


@dataclass(slots=True)
class Harness:
    """A deployment under measurement; `launcher` stops its processes."""

    launcher: Launcher
    deployment: Deployment
    readers_started: int = 0
    notes: list[str] = field(default_factory=list)

    def start_readers(
        self, plan: ReadPlan, addresses: Sequence[str]
    ) -> Readers:
        """Start the readers of a plan on the addresses of nodes or engines."""
        options = [
            option for address in addresses for option in ('--address', address)
        ]
        if plan.direct:
            options.append('--direct')
        streams_each = max(1, plan.streams // plan.processes)
        processes = []
        for _ in range(min(plan.processes, plan.streams)):
            self.readers_started += 1
            number = self.readers_started
            arguments = (
                *options,
                *('--streams', str(streams_each), '--length', str(plan.length)),
                *('--seconds', str(plan.seconds), '--seed', str(number)),
                *('--warm-seconds', str(plan.warm_seconds)),
                *('--workspaces', str(plan.workspaces)),
                *('--pause-seconds', str(plan.pause_seconds)),
            )
            processes.append(
                self.launcher.start(
                    f'reader-{number}', READER_MODULE, arguments
                )
            )
        return Readers(plan, processes)

    def read(self, plan: ReadPlan, addresses: Sequence[str]) -> Meter:
        """Run the readers of a plan; return the sum of their meters."""
        return self.start_readers(plan, addresses).wait()

    def engine_addresses(self) -> list[str]:
        """Return the addresses of the engines."""
        return [engine.address for engine in self.deployment.endpoints.values()]

    def node_pids(self) -> list[int]:
        """Return the process ids of the nodes."""
        return [
            node.process.popen.pid for node in self.deployment.running_nodes()
        ]


@contextmanager
def open_harness(
    size: TableSize,
    nodes: int,
    *,
    step_scale: float = 1,
    engine_options: tuple[str, ...] = (),
) -> Iterator[Harness]:
    """Start a deployment with generated tables; stop it on exit."""
    launcher = create_launcher()
    with tempfile.TemporaryDirectory(prefix='turmericyard-') as directory:
        example = write_example(Path(directory), size)
        options = (
            *('--start-warm', '--step-scale', str(step_scale)),
            *('--grace-seconds', str(ENGINE_GRACE_SECONDS)),
            *engine_options,
        )
        plan = Plan(example, nodes=nodes, engine_options=options)
        try:
            yield Harness(launcher, start_deployment(launcher, plan))
        finally:
            launcher.close()


def measure_consumption(
    pids: Sequence[int], seconds: float
) -> list[Consumption]:
    """Return what each process consumes in the next `seconds`."""
    before = [read_usage(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    after = [read_usage(pid) for pid in pids]
    return [
        consumption_between(first, last, elapsed)
        for first, last in zip(before, after, strict=True)
    ]


def consumption_between(
    first: Usage, last: Usage, seconds: float
) -> Consumption:
    """Return the consumption between two readings `seconds` apart."""
    cpu_used = last.cpu_seconds - first.cpu_seconds
    return Consumption(cpu_used / seconds, last.rss_bytes)
