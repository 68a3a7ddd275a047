"""A run over processes: a deployment, callers in the background, evidence."""

import threading
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.deployment import (
    Deployment,
    NodeProcess,
    Plan,
    start_deployment,
    wait_until,
)
from turmericyard_bench.invariants import Absence, Evidence, check_all
from turmericyard_bench.launch import Launcher, RunningProcess
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import LoadRecord, StreamRecord
from turmericyard_bench.transcript import length_word

EXAMPLES = Path(__file__).parents[2] / 'examples'
WORKSPACE = 'ljubljana-voda'
REPORT = 'household-report'
WAIT_SECONDS = 60
TIMING = {'address_ttl_seconds': 1, 'drain_margin_seconds': 0.5}


@dataclass
class Run:
    """A deployment and what callers did; callers run in threads of the test."""

    deployment: Deployment
    load: LoadRecord = field(default_factory=LoadRecord)
    absences: list[Absence] = field(default_factory=list)
    poisoned: list[StreamRecord] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def spawn(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *args: Any
    ) -> threading.Thread:
        """Run a coroutine function in a thread with a loop of its own."""
        thread = threading.Thread(
            target=curio.run, args=(function, *args), daemon=True
        )
        thread.start()
        self.threads.append(thread)
        return thread

    def join(self) -> None:
        """Wait for every caller."""
        for thread in self.threads:
            thread.join(WAIT_SECONDS)
            assert not thread.is_alive(), 'a caller has not ended'
        self.threads.clear()

    def caller(self) -> Caller:
        """Return a caller that knows all running nodes."""
        return Caller(WORKSPACE, self.deployment.addresses())

    def caller_at(self, number: int) -> Caller:
        """Return a caller that asks the nodes from one of them on."""
        caller = self.caller()
        first = number % len(caller.addresses)
        caller.addresses = caller.addresses[first:] + caller.addresses[:first]
        return caller

    def start_report(
        self, name: str, tokens: int, caller: Caller
    ) -> StreamRecord:
        """Let a caller ask for one report in the background."""
        prompt = f'{name} boiler and cistern {length_word(tokens)}'
        record = StreamRecord(name, caller.workspace, REPORT, prompt)
        self.load.streams.append(record)
        self.spawn(ask, caller, record)
        return record

    def wait_for_tokens(self, record: StreamRecord, tokens: int) -> None:
        """Wait until the caller holds so many tokens."""
        reached = wait_until(
            lambda: len(record.tokens) >= tokens or record.ended, WAIT_SECONDS
        )
        assert reached, record

    def node_at(self, address: str) -> NodeProcess:
        """Return the node of a caller's address."""
        return next(
            node
            for node in self.deployment.nodes.values()
            if node.address == address
        )

    def engine_of(self, record: StreamRecord) -> RunningProcess:
        """Return the engine that runs the record's last attempt."""
        for entry in read_ledgers(self.deployment).generations:
            if entry.request == record.request:
                return self.deployment.endpoints[entry.endpoint]
        raise AssertionError(f'{record.request} is in no ledger')

    def broken_invariants(self) -> list[str]:
        """Return what broke the invariants, each with its name."""
        evidence = Evidence(
            self.load, read_ledgers(self.deployment), self.absences
        )
        return [
            f'{result.name}: {breach}'
            for result in check_all(evidence)
            for breach in result.breaches
        ]


async def ask(caller: Caller, record: StreamRecord) -> None:
    """Ask for the record's generation."""
    await caller.stream(record, max_tokens=4096, patience_seconds=WAIT_SECONDS)


def start_run(
    launcher: Launcher, example: str, nodes: int, **options: Any
) -> Run:
    """Return a run of an example deployment with its tables in force."""
    plan = Plan(EXAMPLES / example, nodes, timing=TIMING, **options)
    return Run(start_deployment(launcher, plan))
