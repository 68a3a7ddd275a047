"""Interface between the simulation and a policy."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.engine.reports import LoadReport
from turmericyard_bench.experiments.workload import Job


@dataclass(frozen=True, slots=True)
class Progress:
    """Number of tokens of one job so far and time of the last (seconds)."""

    tokens: int
    last_token_at: float


@dataclass(frozen=True, slots=True)
class EngineView:
    """What a policy can observe of an engine.

    `report` lags; `progress` is what the nodes relay, without lag. `model` is
    the engine itself: policies other than the oracle may read only its
    published cache events.
    """

    zone: str
    in_service: bool
    report: LoadReport
    model: EngineModel
    progress: dict[str, Progress]


class Policy(Protocol):
    """Decides when each job is sent and to which engine."""

    def add_job(self, job: Job, now: float) -> None:
        """Add a new job."""

    def observe(self, views: dict[str, EngineView], now: float) -> None:
        """Record the engines' reports; called several times a second."""

    def next_dispatch(self, now: float) -> tuple[Job, str] | None:
        """Return the next job to send now and its engine, or None."""

    def take_shed_jobs(self, now: float) -> Iterable[Job]:
        """Return the jobs shed since the last call."""

    def record_refusal(self, job: Job, engine: str, now: float) -> None:
        """Record that an engine refused a job before starting it."""

    def record_first_token(self, job: Job, engine: str, now: float) -> None:
        """Record the first token of a job."""

    def record_completion(
        self, job: Job, engine: str, tokens: int, now: float
    ) -> None:
        """Record that a job is complete, with its output tokens."""

    def record_crash(self, engine: str, jobs: list[Job], now: float) -> None:
        """Record that an engine crashed and lost these jobs."""
