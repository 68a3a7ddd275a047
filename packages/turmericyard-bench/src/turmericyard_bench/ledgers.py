"""Ledgers of a deployment's stand-ins, fetched once."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from turmericyard_bench.deployment import Deployment


@dataclass(frozen=True, slots=True)
class GenerationEntry:
    """One generation at one engine; times in boot-clock seconds."""

    endpoint: str
    generation: str
    request: str
    accepted: float
    produced: int
    reason: str


@dataclass(frozen=True, slots=True)
class RunEntry:
    """One run of a call at one service; `started` in boot-clock seconds."""

    endpoint: str
    request: str
    key: str
    started: float


@dataclass(slots=True)
class Ledgers:
    """Ledgers of all engines and services.

    `excesses` counts, by endpoint, how often its cold capacity was exceeded.
    `crashed` has the requests that were running at each engine crash.
    """

    generations: list[GenerationEntry] = field(default_factory=list)
    runs: list[RunEntry] = field(default_factory=list)
    excesses: dict[str, int] = field(default_factory=dict)
    crashed: list[frozenset[str]] = field(default_factory=list)

    def add_engine(self, name: str, ledger: Mapping[str, Any]) -> None:
        """Add the ledger of an engine."""
        self.generations.extend(
            GenerationEntry(
                name,
                row['generation'],
                row['request'],
                row['accepted'],
                row['produced'],
                row['reason'],
            )
            for row in ledger['generations']
        )
        self.excesses[name] = len(ledger['excesses'])
        requests = {
            row['generation']: row['request'] for row in ledger['generations']
        }
        self.crashed.extend(
            frozenset(
                requests[generation]
                for generation in occurrence['detail'].split()
            )
            for occurrence in ledger['occurrences']
            if occurrence['kind'] == 'crash'
        )

    def add_service(self, name: str, ledger: Mapping[str, Any]) -> None:
        """Add the ledger of a service."""
        self.runs.extend(
            RunEntry(name, row['request'], row['key'] or '', row['started'])
            for row in ledger['runs']
        )
        self.excesses[name] = len(ledger['cold_excess'])

    def runs_by_key(self) -> Counter[str]:
        """Return the number of runs for each idempotency key."""
        return Counter(run.key for run in self.runs if run.key)

    def worked_requests(self) -> set[str]:
        """Return the request ids that ran or produced a token."""
        generated = {
            entry.request for entry in self.generations if entry.produced
        }
        return generated | {run.request for run in self.runs}

    def work_after(
        self, endpoints: frozenset[str], begin: float, end: float
    ) -> list[tuple[str, float]]:
        """Return (endpoint, time) of work started between `begin` and `end`."""
        started = [
            *((entry.endpoint, entry.accepted) for entry in self.generations),
            *((run.endpoint, run.started) for run in self.runs),
        ]
        return [
            (endpoint, at)
            for endpoint, at in started
            if endpoint in endpoints and begin < at < end
        ]


def read_ledgers(deployment: Deployment) -> Ledgers:
    """Return the ledgers of all running endpoints."""
    ledgers = Ledgers()
    for endpoint in deployment.example.endpoints:
        running = deployment.endpoints[endpoint.name]
        if not running.is_running():
            continue
        if endpoint.is_engine:
            ledgers.add_engine(endpoint.name, running.ledger())
        else:
            ledgers.add_service(endpoint.name, running.ledger())
    return ledgers
